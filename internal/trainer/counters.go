package trainer

import "github.com/rcrowley/go-metrics"

// Stats are the counters of the duty.
type Stats struct {
	RunsStarted        int64 // runs of samples
	RunsFailed         int64 // runs that ended with an error
	UnlabelledSamples  int64 // samples discarded for an unknown or incomplete span
	StaleSamples       int64 // samples discarded for their age or versions
	StaleGroups        int64 // finished groups of which a part was run again
	StaleRuns          int64 // runs cancelled because they could not be fresh
	SpareRuns          int64 // runs started beside a straggler
	SurplusRuns        int64 // runs cancelled or discarded because the group was complete
	Deliveries         int64 // deliveries, repeats included
	Redeliveries       int64 // deliveries handed out again
	AcknowledgedGroups int64 // groups
	LedgerWrites       int64
	StoreOperations    int64 // operations given to the store duty, ledger writes included
	Takeovers          int64
	UnreadableGroups   int64 // finished groups whose bulk data could not be read
	DiskWriteFailures  int64 // finished groups that stayed in memory because the disk took none
	RecoveredGroups    int64 // finished groups found on disk at a takeover
}

type counters struct {
	started, failed, unlabelled, staleSamples, staleGroups, cancelledEarly metrics.Counter
	spares, losers, handedOut, repeated, acknowledged                      metrics.Counter
	ledgerWrites, storeCalls, takeovers, diskLost, diskRefused, recovered  metrics.Counter
}

func newCounters() counters {
	n := metrics.NewCounter
	return counters{
		n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(), n(),
	}
}

// Stats returns the counters. Any goroutine may call it.
func (t *Manager) Stats() Stats {
	c := t.counters
	return Stats{
		RunsStarted: c.started.Count(), RunsFailed: c.failed.Count(), UnlabelledSamples: c.unlabelled.Count(),
		StaleSamples: c.staleSamples.Count(), StaleGroups: c.staleGroups.Count(), StaleRuns: c.cancelledEarly.Count(),
		SpareRuns: c.spares.Count(), SurplusRuns: c.losers.Count(), Deliveries: c.handedOut.Count(), Redeliveries: c.repeated.Count(),
		AcknowledgedGroups: c.acknowledged.Count(), LedgerWrites: c.ledgerWrites.Count(), StoreOperations: c.storeCalls.Count(),
		Takeovers: c.takeovers.Count(), UnreadableGroups: c.diskLost.Count(), DiskWriteFailures: c.diskRefused.Count(),
		RecoveredGroups: c.recovered.Count(),
	}
}
