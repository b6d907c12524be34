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

// Metrics is the registry of a daemon. Any goroutine may use it. A metric whose
// name ends in "_total" is written as a counter, any other as a gauge.
type Metrics struct {
	registry metrics.Registry
	loops    func() []*duty.Loop
}

// NewMetrics returns a registry that collects the counters of the loops.
func NewMetrics(loops func() []*duty.Loop) *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), loops: loops}
}

// Count adds one to a counter.
func (m *Metrics) Count(name string, labels ...Label) {
	metrics.GetOrRegisterCounter(key(name, labels), m.registry).Inc(1)
}

// Set sets a value.
func (m *Metrics) Set(name string, value float64, labels ...Label) {
	metrics.GetOrRegisterGaugeFloat64(key(name, labels), m.registry).Update(value)
}

// Samples that a histogram keeps, weighted towards the last five minutes.
const (
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// quantiles that a histogram is written with.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Observe adds a value to a histogram.
func (m *Metrics) Observe(name string, value time.Duration, labels ...Label) {
	h := m.registry.GetOrRegister(key(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
	})
	h.(metrics.Histogram).Update(value.Microseconds())
}

// The registry knows names only, so labels are part of the name, separated by
// characters that no label value may hold.
const (
	labelSeparator = "\x1f"
	valueSeparator = "\x1e"
)

var separators = strings.NewReplacer(labelSeparator, "", valueSeparator, "")

func key(name string, labels []Label) string {
	var b strings.Builder
	b.WriteString(metricPrefix + name)
	for _, l := range labels {
		b.WriteString(labelSeparator + l.Name + valueSeparator + separators.Replace(l.Value))
	}
	return b.String()
}

func (m *Metrics) collect() {
	for _, loop := range m.loops() {
		byDuty := Label{"duty", loop.Name()}
		m.Set("duty_handled_total", float64(loop.Handled()), byDuty)
		for _, r := range loop.RingStats() {
			byRing := Label{"ring", r.Name}
			m.Set("ring_capacity", float64(r.Capacity), byDuty, byRing)
			m.Set("ring_depth", float64(r.Depth), byDuty, byRing)
			m.Set("ring_depth_peak", float64(r.Peak), byDuty, byRing)
			m.Set("ring_put_total", float64(r.Put), byDuty, byRing)
			m.Set("ring_refused_total", float64(r.Refused), byDuty, byRing)
			m.Set("ring_dropped_total", float64(r.Dropped), byDuty, byRing)
		}
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m.Set("heap_bytes", float64(memory.HeapAlloc))
	m.Set("goroutines", float64(runtime.NumGoroutine()))
}

// WriteText writes every metric in the text format of scrapers.
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

// summaryOf converts a histogram of microseconds to seconds.
func summaryOf(h metrics.Histogram) *dto.Summary {
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
		summary = summaryOf(v.Snapshot())
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
