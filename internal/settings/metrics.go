package settings

import (
	"fmt"
	"io"
	"runtime"
	"sort"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"

	"github.com/berylfall/berylfall/internal/duty"
)

const metricPrefix = "berylfall_"

// Label is one label of a metric.
type Label struct {
	Name  string
	Value string
}

// Metrics is a daemon's metrics registry. It is safe for concurrent use. A metric
// whose name ends in "_total" is written as a counter, a histogram as a summary
// and any other as a gauge.
type Metrics struct {
	registry metrics.Registry
	loops    func() []*duty.Loop
}

// NewMetrics returns a registry that also exports the counters of the duty loops,
// which it reads each time the metrics are written.
func NewMetrics(loops func() []*duty.Loop) *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), loops: loops}
}

// Count increments the counter with the name and labels by one.
func (m *Metrics) Count(name string, labels ...Label) { m.Add(name, 1, labels...) }

// Add increments the counter with the name and labels by n.
func (m *Metrics) Add(name string, n int64, labels ...Label) {
	metrics.GetOrRegisterCounter(metricKey(name, labels), m.registry).Inc(n)
}

// Set sets the value of the gauge with the name and labels.
func (m *Metrics) Set(name string, value float64, labels ...Label) {
	metrics.GetOrRegisterGaugeFloat64(metricKey(name, labels), m.registry).Update(value)
}

// Parameters of a histogram's exponentially decaying reservoir, which weights its
// samples towards the last five minutes.
const (
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// quantiles that are exported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Observe adds a duration to a histogram, with a resolution of one microsecond.
func (m *Metrics) Observe(name string, value time.Duration, labels ...Label) {
	h := m.registry.GetOrRegister(metricKey(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
	})
	h.(metrics.Histogram).Update(value.Microseconds())
}

// The registry has no labels, so they are encoded in the metric's name. The
// separators are removed from label values.
const (
	labelSeparator = "\x1f"
	valueSeparator = "\x1e"
)

var separatorRemover = strings.NewReplacer(labelSeparator, "", valueSeparator, "")

func metricKey(name string, labels []Label) string {
	var b strings.Builder
	b.WriteString(metricPrefix + name)
	for _, l := range labels {
		b.WriteString(labelSeparator + l.Name + valueSeparator + separatorRemover.Replace(l.Value))
	}
	return b.String()
}

func (m *Metrics) collect() {
	for _, loop := range m.loops() {
		dutyLabel := Label{"duty", loop.Name()}
		m.Set("duty_handled_total", float64(loop.Handled()), dutyLabel)
		for _, r := range loop.RingStats() {
			ringLabel := Label{"ring", r.Name}
			m.Set("ring_capacity", float64(r.Capacity), dutyLabel, ringLabel)
			m.Set("ring_depth", float64(r.Depth), dutyLabel, ringLabel)
			m.Set("ring_depth_peak", float64(r.Peak), dutyLabel, ringLabel)
			m.Set("ring_put_total", float64(r.Put), dutyLabel, ringLabel)
			m.Set("ring_refused_total", float64(r.Refused), dutyLabel, ringLabel)
			m.Set("ring_dropped_total", float64(r.Dropped), dutyLabel, ringLabel)
		}
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m.Set("heap_bytes", float64(memory.HeapAlloc))
	m.Set("goroutines", float64(runtime.NumGoroutine()))
}

// WriteText writes all metrics in the Prometheus text format, sorted by name and
// labels.
func (m *Metrics) WriteText(out io.Writer) error {
	m.collect()
	families := map[string]*dto.MetricFamily{}
	m.registry.Each(func(name string, metric any) { addMetric(families, name, metric) })
	names := make([]string, 0, len(families))
	for name := range families {
		names = append(names, name)
	}
	sort.Strings(names)
	encoder := expfmt.NewEncoder(out, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, name := range names {
		family := families[name]
		sort.Slice(family.Metric, func(i, j int) bool { return family.Metric[i].String() < family.Metric[j].String() })
		if err := encoder.Encode(family); err != nil {
			return fmt.Errorf("write metric %s: %w", name, err)
		}
	}
	return nil
}

// newSummary converts a histogram of microseconds to seconds.
func newSummary(h metrics.Histogram) *dto.Summary {
	count, sum := uint64(h.Count()), float64(h.Sum())/1e6
	s := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, value := range h.Percentiles(quantiles) {
		seconds := value / 1e6
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &seconds})
	}
	return s
}

func addMetric(families map[string]*dto.MetricFamily, name string, metric any) {
	var value float64
	var summary *dto.Summary
	switch v := metric.(type) {
	case metrics.Histogram:
		summary = newSummary(v.Snapshot())
	case metrics.Counter:
		value = float64(v.Count())
	case metrics.GaugeFloat64:
		value = v.Value()
	default:
		return
	}
	parts := strings.Split(name, labelSeparator)
	sample := &dto.Metric{}
	for _, part := range parts[1:] {
		label, text, _ := strings.Cut(part, valueSeparator)
		sample.Label = append(sample.Label, &dto.LabelPair{Name: &label, Value: &text})
	}
	kind := dto.MetricType_GAUGE
	switch {
	case summary != nil:
		kind = dto.MetricType_SUMMARY
		sample.Summary = summary
	case strings.HasSuffix(parts[0], "_total"):
		kind = dto.MetricType_COUNTER
		sample.Counter = &dto.Counter{Value: &value}
	default:
		sample.Gauge = &dto.Gauge{Value: &value}
	}
	family := families[parts[0]]
	if family == nil {
		family = &dto.MetricFamily{Name: &parts[0], Type: &kind}
		families[parts[0]] = family
	}
	family.Metric = append(family.Metric, sample)
}
