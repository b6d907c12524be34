package operator

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"github.com/berylfall/berylfall/internal/core"
)

// WriteText writes the report as a table with aligned columns.
func (r BurnReport) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := []string{"CUSTOMER", "OBJECTIVE", "SERVICE", "TARGET"}
	for _, w := range burnWindows {
		header = append(header, "BURN "+formatWindow(core.Duration(w)))
	}
	header = append(header, "BAD/TOTAL 3d", "ALERT")
	_, _ = fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, o := range r.Objectives {
		row := []string{string(o.Customer), o.Objective.Name, o.Objective.Service, fmt.Sprint(o.Objective.Availability)}
		counts := "0/0"
		for _, w := range o.Windows {
			row = append(row, fmt.Sprintf("%.2f", w.Rate))
			counts = fmt.Sprintf("%d/%d", w.Bad, w.Total)
		}
		row = append(row, counts, alertText(o.Alerts))
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if r.Missed > 0 {
		_, _ = fmt.Fprintf(out, "%d request ends were not counted, since the report could not keep up\n", r.Missed)
	}
	_, err := fmt.Fprintf(out, "daemons: %s\n", strings.Join(r.Daemons, ", "))
	return err
}

func alertText(alerts []Alert) string {
	if len(alerts) == 0 {
		return "-"
	}
	list := make([]string, 0, len(alerts))
	for _, a := range alerts {
		list = append(list, string(a))
	}
	return strings.Join(list, ",")
}

// Layout of the chart.
const (
	chartWidth      = 1280  // pixels
	chartHeight     = 640   // pixels
	maxChartSeries  = 8     // more lines cannot be told apart
	lowestChartRate = 0.1   // burn rate at the bottom of the axis
	minTopRate      = 100.0 // lowest burn rate at the top of the axis
)

// seriesColors are distinguishable with all common kinds of colour blindness. The
// thresholds are grey and dashed, so that they are not mistaken for an objective.
var seriesColors = [maxChartSeries]drawing.Color{
	drawing.ColorFromHex("0072b2"), drawing.ColorFromHex("d55e00"), drawing.ColorFromHex("009e73"), drawing.ColorFromHex("cc79a7"),
	drawing.ColorFromHex("e69f00"), drawing.ColorFromHex("56b4e9"), drawing.ColorFromHex("8c564b"), drawing.ColorFromHex("111111"),
}

var thresholdColor = drawing.ColorFromHex("777777")

// WriteChart draws the burn rates over the windows. The axis is logarithmic, since
// rates range from below 1 to 1000. If there are more objectives than colours, the
// ones with the highest rates are shown.
func (r BurnReport) WriteChart(out io.Writer, format ChartFormat) error {
	shown := append([]ObjectiveBurn{}, r.Objectives...)
	sort.SliceStable(shown, func(i, j int) bool { return highestRate(shown[i]) > highestRate(shown[j]) })
	title := "Burn rate by window, " + r.At.UTC().Format("2006-01-02 15:04 UTC")
	if len(shown) > maxChartSeries {
		title += fmt.Sprintf(" (the %d highest of %d objectives)", maxChartSeries, len(shown))
		shown = shown[:maxChartSeries]
	}
	top := minTopRate
	for _, o := range shown {
		top = max(top, highestRate(o))
	}
	graph := chart.Chart{
		Title:      title,
		TitleStyle: chart.Style{FontSize: 14},
		Width:      chartWidth,
		Height:     chartHeight,
		Background: chart.Style{Padding: chart.Box{Top: 60, Left: 330, Right: 30, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "window", Ticks: windowTicks(), Range: &chart.ContinuousRange{Min: 0, Max: float64(len(burnWindows) - 1)}},
		YAxis: chart.YAxis{
			Name: "burn rate (1 spends the budget exactly)", Ticks: rateTicks(top),
			Range: &chart.ContinuousRange{Min: logRate(lowestChartRate), Max: logRate(top)},
		},
	}
	for i, o := range shown {
		graph.Series = append(graph.Series, burnLine(o, seriesColors[i]))
	}
	graph.Series = append(graph.Series,
		thresholdLine("fast-burn alert (1 h, 5 min)", FastBurnRate, []float64{12, 3}),
		thresholdLine("slow-burn alert (6 h, 30 min)", SlowBurnRate, []float64{6, 4}),
		thresholdLine("whole budget", 1, []float64{2, 4}))
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph, chart.Style{FontSize: 9})}
	if format == ChartSVG {
		return graph.Render(chart.SVG, out)
	}
	return graph.Render(chart.PNG, out)
}

// ChartFormat is the image format of a chart.
type ChartFormat string

// Image formats of WriteChart.
const (
	ChartPNG ChartFormat = "png"
	ChartSVG ChartFormat = "svg"
)

func highestRate(o ObjectiveBurn) float64 {
	var highest float64
	for _, w := range o.Windows {
		highest = max(highest, w.Rate)
	}
	return highest
}

func logRate(rate float64) float64 { return math.Log10(max(rate, lowestChartRate)) }

func windowTicks() []chart.Tick {
	ticks := make([]chart.Tick, 0, len(burnWindows))
	for i, w := range burnWindows {
		ticks = append(ticks, chart.Tick{Value: float64(i), Label: formatWindow(core.Duration(w))})
	}
	return ticks
}

func rateTicks(top float64) []chart.Tick {
	ticks := []chart.Tick{{Value: logRate(lowestChartRate), Label: "0.1 or less"}}
	for _, rate := range []float64{1, SlowBurnRate, FastBurnRate, 100, 1000, 10000, 100000, 1000000} {
		if rate <= top {
			ticks = append(ticks, chart.Tick{Value: logRate(rate), Label: strconv.FormatFloat(rate, 'f', -1, 64)})
		}
	}
	return ticks
}

func burnLine(o ObjectiveBurn, color drawing.Color) chart.Series {
	line := chart.ContinuousSeries{
		Name:  fmt.Sprintf("%s / %s (%v)", o.Customer, o.Objective.Name, o.Objective.Availability),
		Style: chart.Style{StrokeColor: color, StrokeWidth: 3, DotColor: color, DotWidth: 4},
	}
	for i, w := range o.Windows {
		line.XValues = append(line.XValues, float64(i))
		line.YValues = append(line.YValues, logRate(w.Rate))
	}
	return line
}

func thresholdLine(name string, rate float64, dashes []float64) chart.Series {
	return chart.ContinuousSeries{
		Name:    name,
		Style:   chart.Style{StrokeColor: thresholdColor, StrokeWidth: 1.5, StrokeDashArray: dashes},
		XValues: []float64{0, float64(len(burnWindows) - 1)},
		YValues: []float64{logRate(rate), logRate(rate)},
	}
}
