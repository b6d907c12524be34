package trainer

import "github.com/rcrowley/go-metrics"

// Stats are the counters of the duty since its start.
type Stats struct {
	RunsStarted        int64 // runs of samples
	RunsFailed         int64 // runs that ended with an error
	UnlabelledSamples  int64 // samples discarded because a token has no known weight version
	StaleSamples       int64 // samples discarded for their age or weight versions
	StaleGroups        int64 // complete groups of which some samples were run again
	StaleRuns          int64 // runs cancelled because their weight version was too old
	SpareRuns          int64 // runs started beside a straggler
	SurplusRuns        int64 // runs cancelled or discarded because the group was complete
	Deliveries         int64 // groups delivered, repeats included
	Redeliveries       int64 // groups delivered again
	AcknowledgedGroups int64 // groups acknowledged by trainers
	LedgerWrites       int64
	StoreOperations    int64 // operations submitted to the store duty, ledger writes included
	Takeovers          int64
	UnreadableGroups   int64 // complete groups whose record on disk could not be read
	DiskWriteFailures  int64 // complete groups that stayed in memory because they were not written
	RecoveredGroups    int64 // complete groups found on disk at a takeover
}

type counters struct {
	runsStarted, runsFailed, unlabelledSamples, staleSamples, staleGroups, staleRuns               metrics.Counter
	spareRuns, surplusRuns, deliveries, redeliveries, acknowledgedGroups                           metrics.Counter
	ledgerWrites, storeOperations, takeovers, unreadableGroups, diskWriteFailures, recoveredGroups metrics.Counter
}

func newCounters() counters {
	n := metrics.NewCounter
	return counters{
		n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(),
	}
}

// Stats returns the counters. Any goroutine may call it.
func (m *Manager) Stats() Stats {
	c := m.counters
	return Stats{
		RunsStarted: c.runsStarted.Count(), RunsFailed: c.runsFailed.Count(), UnlabelledSamples: c.unlabelledSamples.Count(),
		StaleSamples: c.staleSamples.Count(), StaleGroups: c.staleGroups.Count(), StaleRuns: c.staleRuns.Count(),
		SpareRuns: c.spareRuns.Count(), SurplusRuns: c.surplusRuns.Count(), Deliveries: c.deliveries.Count(), Redeliveries: c.redeliveries.Count(),
		AcknowledgedGroups: c.acknowledgedGroups.Count(), LedgerWrites: c.ledgerWrites.Count(), StoreOperations: c.storeOperations.Count(),
		Takeovers: c.takeovers.Count(), UnreadableGroups: c.unreadableGroups.Count(), DiskWriteFailures: c.diskWriteFailures.Count(),
		RecoveredGroups: c.recoveredGroups.Count(),
	}
}
