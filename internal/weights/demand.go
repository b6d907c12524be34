package weights

import "time"

// demandWindow is how long work counts. It covers several steps of a trainer
// that sends one each few seconds.
const demandWindow = 20 * time.Second

type workItem struct {
	at    time.Time
	model string
	work  float64
}

// Demand adds up the recent work of each model. One duty uses it.
type Demand struct {
	recent []workItem // oldest first
}

// Add takes work of a model, in any unit that is the same for all models.
func (d *Demand) Add(now time.Time, model string, work float64) {
	d.recent = append(d.recent, workItem{at: now, model: model, work: work})
}

// Recent returns the work of each model within the window.
func (d *Demand) Recent(now time.Time) map[string]float64 {
	old := 0
	for old < len(d.recent) && now.Sub(d.recent[old].at) > demandWindow {
		old++
	}
	d.recent = d.recent[old:]
	sum := map[string]float64{}
	for _, w := range d.recent {
		sum[w.model] += w.work
	}
	return sum
}
