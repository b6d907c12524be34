package operator

import (
	"fmt"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Windows of the burn report.
var burnWindows = []time.Duration{
	5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour,
}

// Resolutions of the counters. A window of up to an hour is the sum of fine
// buckets, a longer one of coarse buckets.
const (
	fineWidth   = 15 * time.Second
	fineSpan    = time.Hour
	coarseWidth = 5 * time.Minute
	coarseSpan  = 72 * time.Hour
	// maxSeries bounds memory: a series takes about 18 KB.
	maxSeries = 1024
)

// Alert thresholds, as multiples of the rate that spends a budget of 30 days in
// exactly 30 days. A fast burn spends 2% of it in an hour, a slow burn 5% in
// six hours. The shorter window of each pair ends the alert soon after the
// fault has ended.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6.0
)

// Alert names a kind of alert.
type Alert string

// Kinds of alert.
const (
	AlertFast Alert = "fast-burn" // over 1 h and over 5 min
	AlertSlow Alert = "slow-burn" // over 6 h and over 30 min
)

// WindowBurn is the burn of one objective over one window.
type WindowBurn struct {
	Window core.Duration `json:"window"`
	Total  uint64        `json:"total"`
	Bad    uint64        `json:"bad"`
	Rate   float64       `json:"rate"` // share of bad requests over the share that the objective allows
}

// ObjectiveBurn is the burn of one objective.
type ObjectiveBurn struct {
	Customer  core.CustomerID `json:"customer"`
	Objective core.Objective  `json:"objective"`
	Windows   []WindowBurn    `json:"windows"`
	Alerts    []Alert         `json:"alerts,omitempty"`
}

// BurnReport is the burn of every objective in force, as seen by Daemons.
type BurnReport struct {
	At         time.Time       `json:"at"`
	Daemons    []string        `json:"daemons"`
	Missed     uint64          `json:"missed"` // request ends that found the ring full
	Objectives []ObjectiveBurn `json:"objectives"`
}

// firstServerError is the lowest HTTP status that says that the service failed.
const firstServerError = 500

// score says whether the request counts for the objective and whether it was
// good. Requests that the caller or the contract's limits are at fault for do
// not count; neither do those whose caller went away.
func score(o core.Objective, e RequestRecord) (counts, good bool) {
	if e.Service != o.Service || (o.Class != "" && e.Class != o.Class) {
		return false, false
	}
	switch e.Code {
	case core.CodeInvalid, core.CodeTooLarge, core.CodeUnauthorized, core.CodeForbidden, core.CodeNotFound,
		core.CodeConflict, core.CodeLimited, core.CodeCancelled, core.CodeQuarantined:
		return false, false
	}
	failed := e.Verdict != core.Ran || e.Code != "" || e.Status >= firstServerError
	slow := o.Latency > 0 && e.Latency > o.Latency
	return true, !failed && !slow
}

type bucket struct {
	slot  int64 // time divided by the width
	total uint32
	bad   uint32
}

// counter counts requests in buckets of one width over one span.
type counter struct {
	width   time.Duration
	buckets []bucket
}

func newCounter(width, span time.Duration) counter {
	return counter{width: width, buckets: make([]bucket, span/width)}
}

func (c *counter) add(now time.Time, good bool) {
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

// sum covers the current bucket and those before it, so it reaches back between
// window - width and window.
func (c *counter) sum(now time.Time, window time.Duration) (total, bad uint64) {
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
	fine   counter
	coarse counter
}

// burnBook holds the counters of every objective in force. A changed objective
// starts anew, since the old counts were judged by the old target.
type burnBook struct {
	series     map[seriesKey]*series
	byCustomer map[core.CustomerID][]seriesKey
}

func newBurnBook() *burnBook {
	return &burnBook{series: map[seriesKey]*series{}, byCustomer: map[core.CustomerID][]seriesKey{}}
}

func (b *burnBook) setContracts(set *core.ContractSet) {
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
				kept[key] = &series{fine: newCounter(fineWidth, fineSpan), coarse: newCounter(coarseWidth, coarseSpan)}
			}
			b.byCustomer[customer] = append(b.byCustomer[customer], key)
		}
	}
	b.series = kept
}

func (b *burnBook) add(now time.Time, e RequestRecord) {
	for _, key := range b.byCustomer[e.Customer] {
		counts, good := score(key.objective, e)
		if !counts {
			continue
		}
		s := b.series[key]
		s.fine.add(now, good)
		s.coarse.add(now, good)
	}
}

func (b *burnBook) report(now time.Time) []ObjectiveBurn {
	list := make([]ObjectiveBurn, 0, len(b.series))
	for key, s := range b.series {
		burn := ObjectiveBurn{Customer: key.customer, Objective: key.objective}
		for _, window := range burnWindows {
			w := WindowBurn{Window: core.Duration(window)}
			if window <= fineSpan {
				w.Total, w.Bad = s.fine.sum(now, window)
			} else {
				w.Total, w.Bad = s.coarse.sum(now, window)
			}
			burn.Windows = append(burn.Windows, w)
		}
		burn.finish()
		list = append(list, burn)
	}
	sortBurns(list)
	return list
}

// finish computes the rates and alerts from the counts.
func (o *ObjectiveBurn) finish() {
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
// availability allows. 1 spends the error budget exactly.
func BurnRate(total, bad uint64, availability float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - availability)
}

// MergeBurnReports adds up the reports of several daemons. Since each request ends at
// one daemon, the counts add up exactly.
func MergeBurnReports(reports []BurnReport) BurnReport {
	var merged BurnReport
	at := map[seriesKey]int{}
	for _, r := range reports {
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		merged.Daemons = append(merged.Daemons, r.Daemons...)
		merged.Missed += r.Missed
		for _, o := range r.Objectives {
			key := seriesKey{customer: o.Customer, objective: o.Objective}
			i, known := at[key]
			if !known {
				at[key] = len(merged.Objectives)
				o.Windows = append([]WindowBurn{}, o.Windows...)
				merged.Objectives = append(merged.Objectives, o)
				continue
			}
			merged.Objectives[i].addCounts(o.Windows)
		}
	}
	for i := range merged.Objectives {
		merged.Objectives[i].finish()
	}
	sortBurns(merged.Objectives)
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

func sortBurns(list []ObjectiveBurn) {
	key := func(o ObjectiveBurn) string { return fmt.Sprint(o.Customer, "/", o.Objective) }
	sort.Slice(list, func(i, j int) bool { return key(list[i]) < key(list[j]) })
}

// windowName writes a window as people say it, such as "5m" or "3d".
func windowName(d core.Duration) string {
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
