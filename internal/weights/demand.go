package weights

import "time"

// demandWindow is the time for which work counts as demand. It covers several
// steps of a trainer that opens one every few seconds.
const demandWindow = 20 * time.Second

type demandEntry struct {
	at    time.Time
	model string
	work  float64
}

// Demand sums the recent work of each model. One duty at a time owns it.
type Demand struct {
	entries []demandEntry // oldest first
}

// Add records work of a model. The unit must be the same for all models.
func (d *Demand) Add(now time.Time, model string, work float64) {
	d.entries = append(d.entries, demandEntry{at: now, model: model, work: work})
}

// Recent returns the work of each model within the last demandWindow.
func (d *Demand) Recent(now time.Time) map[string]float64 {
	expired := 0
	for expired < len(d.entries) && now.Sub(d.entries[expired].at) > demandWindow {
		expired++
	}
	d.entries = d.entries[expired:]
	sums := map[string]float64{}
	for _, e := range d.entries {
		sums[e.model] += e.work
	}
	return sums
}
