package hosted

import "testing"

// Guards against calls of the store that grow with the number of daemons: each daemon
// is a candidate for each lease and reads it.
func TestLeaseReadsHardlyGrowWithDaemons(t *testing.T) {
	readsPerSecond := func(daemons int) float64 {
		sum := 0.0
		for rank := range daemons {
			sum += 1 / candidatePollPeriod(rank, false).Seconds()
		}
		return sum
	}
	const maxGrowth = 1.3 // from 30 to 300 daemons
	few, many := readsPerSecond(30), readsPerSecond(300)
	if many > maxGrowth*few {
		t.Errorf("%.2f reads a second of 30 daemons and %.2f of 300, want at most %v times as many", few, many, maxGrowth)
	}
}

// Guards against one daemon that holds the leases of all groups: a candidate that holds
// another lease leaves this one to the others.
func TestHolderLeavesOtherLeases(t *testing.T) {
	if p := candidatePollPeriod(0, true); p < distantPollPeriod {
		t.Errorf("a holder polls another lease each %v, want at least %v", p, distantPollPeriod)
	}
}
