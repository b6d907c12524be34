package usage

import (
	"maps"
	"time"
)

// Ledger holds the totals of daemons by window. The larger of two totals of one run,
// window and customer holds, so that their order and repetitions do not matter. It
// belongs to one duty.
type Ledger struct {
	length  time.Duration
	windows map[Window]map[string]CustomerCounts // by run
}

// NewLedger returns an empty ledger of windows of the length.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, windows: map[Window]map[string]CustomerCounts{}}
}

// Merge adds the totals. Windows that are too old at the time, or in the future, are
// left out.
func (l *Ledger) Merge(list []Totals, now time.Time) {
	for _, t := range list {
		if !t.Window.isCurrent(now, l.length) {
			continue
		}
		runs := l.windows[t.Window]
		if runs == nil {
			runs = map[string]CustomerCounts{}
			l.windows[t.Window] = runs
		}
		if runs[t.Run] == nil {
			runs[t.Run] = CustomerCounts{}
		}
		runs[t.Run].raise(t.Counts)
	}
}

// raise sets each count to the larger of the two.
func (c CustomerCounts) raise(other CustomerCounts) {
	for customer, n := range other {
		if customer != "" && n > c[customer] {
			c[customer] = n
		}
	}
}

// Sum returns the requests of all runs in the window.
func (l *Ledger) Sum(w Window) CustomerCounts {
	sum := CustomerCounts{}
	for _, counts := range l.windows[w] {
		for customer, n := range counts {
			sum[customer] += n
		}
	}
	return sum
}

// Since returns copies of all totals from the window on.
func (l *Ledger) Since(first Window) []Totals {
	var list []Totals
	for w, runs := range l.windows {
		for run, counts := range runs {
			if w >= first {
				list = append(list, Totals{Run: run, Window: w, Counts: maps.Clone(counts)})
			}
		}
	}
	return list
}

// Forget removes the windows that are too old at the time.
func (l *Ledger) Forget(now time.Time) {
	maps.DeleteFunc(l.windows, func(w Window, _ map[string]CustomerCounts) bool { return !w.isCurrent(now, l.length) })
}

// missing returns how many requests of the window a report does not contain.
func (l *Ledger) missing(r Report) int64 {
	missing := int64(0)
	for customer, n := range l.Sum(r.Window) {
		missing += max(0, n-r.Counts[customer])
	}
	return missing
}
