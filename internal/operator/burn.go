package operator

import (
	"fmt"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// burnWindows are the windows over which burn rates are reported.
var burnWindows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour,
}

// Resolution and span of the counters. Windows of up to an hour are sums of fine
// buckets, longer windows are sums of coarse buckets.
const (
	fineBucketWidth   = 15 * time.Second
	fineBucketSpan    = time.Hour
	coarseBucketWidth = 5 * time.Minute
	coarseBucketSpan  = 72 * time.Hour
	// maxSeries bounds the memory of the counters: a series takes about 18 KB.
	maxSeries = 1024
)

// Alert thresholds, as multiples of the rate that spends an error budget of 30
// days in exactly 30 days. A fast burn spends 2% of it in one hour, a slow burn 5%
// in six hours. The shorter window of each pair resolves the alert soon after the
// fault has ended.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6.0
)

// Alert is a kind of burn-rate alert.
type Alert string

// Kinds of alert, with the windows that must both exceed the threshold.
const (
	AlertFast Alert = "fast-burn" // over 1 h and over 5 min
	AlertSlow Alert = "slow-burn" // over 6 h and over 30 min
)

// WindowBurn is the burn rate of one objective over one window.
type WindowBurn struct {
	Window core.Duration `json:"window"`
	Total  uint64        `json:"total"`
	Bad    uint64        `json:"bad"`
	Rate   float64       `json:"rate"` // share of bad requests divided by the share that the objective allows
}

// ObjectiveBurn is the burn rate of one objective over each window, with the
// active alerts.
type ObjectiveBurn struct {
	Customer  core.CustomerID `json:"customer"`
	Objective core.Objective  `json:"objective"`
	Windows   []WindowBurn    `json:"windows"`
	Alerts    []Alert         `json:"alerts,omitempty"`
}

// BurnReport is the burn rate of every objective in force, computed from the
// requests of Daemons.
type BurnReport struct {
	At         time.Time       `json:"at"`
	Daemons    []string        `json:"daemons"`
	Missed     uint64          `json:"missed"` // ended requests that were not counted because the ring was full
	Objectives []ObjectiveBurn `json:"objectives"`
}

// firstServerError is the lowest HTTP status that indicates a failure of the
// service.
const firstServerError = 500

// classifyRequest reports whether the request counts towards the objective and
// whether it met it. Requests that failed because of the caller or the contract's
// limits do not count, and neither do requests that the caller cancelled.
func classifyRequest(o core.Objective, record RequestRecord) (counts, good bool) {
	if record.Service != o.Service || (o.Class != "" && record.Class != o.Class) {
		return false, false
	}
	switch record.Code {
	case core.CodeInvalid, core.CodeTooLarge, core.CodeUnauthorized, core.CodeForbidden, core.CodeNotFound,
		core.CodeConflict, core.CodeLimited, core.CodeCancelled, core.CodeQuarantined:
		return false, false
	}
	failed := record.Verdict != core.Ran || record.Code != "" || record.Status >= firstServerError
	slow := o.Latency > 0 && record.Latency > o.Latency
	return true, !failed && !slow
}

type bucket struct {
	slot  int64 // Unix time divided by the bucket width
	total uint32
	bad   uint32
}

// bucketCounter counts requests in a circular array of time buckets. A bucket is
// reset when its position is used for a newer slot.
type bucketCounter struct {
	width   time.Duration
	buckets []bucket
}

func newBucketCounter(width, span time.Duration) bucketCounter {
	return bucketCounter{width: width, buckets: make([]bucket, span/width)}
}

func (c *bucketCounter) add(now time.Time, good bool) {
	slot := now.UnixNano() / int64(c.width)
	b := &c.buckets[slot%int64(len(c.buckets))]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	b.total++
	if !good {
		b.bad++
	}
}

// sum adds up the current bucket and the preceding ones. Since the current bucket
// is partial, the sum covers between window - width and window.
func (c *bucketCounter) sum(now time.Time, window time.Duration) (total, bad uint64) {
	last := now.UnixNano() / int64(c.width)
	first := last - int64(window/c.width) + 1
	for _, b := range c.buckets {
		if b.slot >= first && b.slot <= last {
			total += uint64(b.total)
			bad += uint64(b.bad)
		}
	}
	return total, bad
}

type seriesKey struct {
	customer  core.CustomerID
	objective core.Objective
}

type series struct {
	fine   bucketCounter
	coarse bucketCounter
}

// burnTracker holds the counters of every objective in force. The counters of a
// changed objective restart at zero, since the old counts apply to the old target.
type burnTracker struct {
	series     map[seriesKey]*series
	byCustomer map[core.CustomerID][]seriesKey
}

func newBurnTracker() *burnTracker {
	return &burnTracker{series: map[seriesKey]*series{}, byCustomer: map[core.CustomerID][]seriesKey{}}
}

func (b *burnTracker) setContracts(set *core.ContractSet) {
	kept := map[seriesKey]*series{}
	b.byCustomer = map[core.CustomerID][]seriesKey{}
	for customer, stored := range set.Contracts {
		if stored.Contract == nil {
			continue
		}
		for _, o := range stored.Contract.Objectives {
			if len(kept) >= maxSeries {
				break
			}
			key := seriesKey{customer: customer, objective: o}
			kept[key] = b.series[key]
			if kept[key] == nil {
				kept[key] = &series{fine: newBucketCounter(fineBucketWidth, fineBucketSpan), coarse: newBucketCounter(coarseBucketWidth, coarseBucketSpan)}
			}
			b.byCustomer[customer] = append(b.byCustomer[customer], key)
		}
	}
	b.series = kept
}

func (b *burnTracker) add(now time.Time, record RequestRecord) {
	for _, key := range b.byCustomer[record.Customer] {
		counts, good := classifyRequest(key.objective, record)
		if !counts {
			continue
		}
		s := b.series[key]
		s.fine.add(now, good)
		s.coarse.add(now, good)
	}
}

func (b *burnTracker) report(now time.Time) []ObjectiveBurn {
	list := make([]ObjectiveBurn, 0, len(b.series))
	for key, s := range b.series {
		burn := ObjectiveBurn{Customer: key.customer, Objective: key.objective}
		for _, window := range burnWindows {
			w := WindowBurn{Window: core.Duration(window)}
			if window <= fineBucketSpan {
				w.Total, w.Bad = s.fine.sum(now, window)
			} else {
				w.Total, w.Bad = s.coarse.sum(now, window)
			}
			burn.Windows = append(burn.Windows, w)
		}
		burn.computeRates()
		list = append(list, burn)
	}
	sortObjectives(list)
	return list
}

// computeRates derives the burn rates and the alerts from the counts.
func (o *ObjectiveBurn) computeRates() {
	rates := map[time.Duration]float64{}
	for i := range o.Windows {
		w := &o.Windows[i]
		w.Rate = BurnRate(w.Total, w.Bad, o.Objective.Availability)
		rates[time.Duration(w.Window)] = w.Rate
	}
	o.Alerts = nil
	if rates[time.Hour] >= FastBurnRate && rates[5*time.Minute] >= FastBurnRate {
		o.Alerts = append(o.Alerts, AlertFast)
	}
	if rates[6*time.Hour] >= SlowBurnRate && rates[30*time.Minute] >= SlowBurnRate {
		o.Alerts = append(o.Alerts, AlertSlow)
	}
}

// BurnRate returns the share of bad requests divided by the share that the
// availability target allows. A rate of 1 spends exactly the error budget.
func BurnRate(total, bad uint64, availability float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - availability)
}

// MergeBurnReports merges the reports of several daemons and recomputes the rates
// from the summed counts. Each request ends at exactly one daemon, so no request is
// counted twice.
func MergeBurnReports(reports []BurnReport) BurnReport {
	var merged BurnReport
	indexByKey := map[seriesKey]int{}
	for _, r := range reports {
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		merged.Daemons = append(merged.Daemons, r.Daemons...)
		merged.Missed += r.Missed
		for _, o := range r.Objectives {
			key := seriesKey{customer: o.Customer, objective: o.Objective}
			i, known := indexByKey[key]
			if !known {
				indexByKey[key] = len(merged.Objectives)
				o.Windows = append([]WindowBurn{}, o.Windows...)
				merged.Objectives = append(merged.Objectives, o)
				continue
			}
			merged.Objectives[i].addCounts(o.Windows)
		}
	}
	for i := range merged.Objectives {
		merged.Objectives[i].computeRates()
	}
	sortObjectives(merged.Objectives)
	return merged
}

func (o *ObjectiveBurn) addCounts(windows []WindowBurn) {
	for _, w := range windows {
		for i := range o.Windows {
			if o.Windows[i].Window == w.Window {
				o.Windows[i].Total += w.Total
				o.Windows[i].Bad += w.Bad
			}
		}
	}
}

func sortObjectives(list []ObjectiveBurn) {
	key := func(o ObjectiveBurn) string { return fmt.Sprint(o.Customer, "/", o.Objective) }
	sort.Slice(list, func(i, j int) bool { return key(list[i]) < key(list[j]) })
}

// formatWindow formats a window in its largest whole unit, such as "5m" or "3d".
func formatWindow(d core.Duration) string {
	w := time.Duration(d)
	switch {
	case w >= 24*time.Hour:
		return fmt.Sprintf("%dd", w/(24*time.Hour))
	case w >= time.Hour:
		return fmt.Sprintf("%dh", w/time.Hour)
	default:
		return fmt.Sprintf("%dm", w/time.Minute)
	}
}
