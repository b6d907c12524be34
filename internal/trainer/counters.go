package trainer

import "github.com/rcrowley/go-metrics"

// Stats are the counters of the duty.
type Stats struct {
	Started        int64 // runs of samples
	Failed         int64 // runs that ended with an error
	Unlabelled     int64 // samples discarded for an unknown or incomplete span
	StaleSamples   int64 // samples discarded for their age or versions
	StaleGroups    int64 // finished groups of which a part was run again
	CancelledEarly int64 // runs cancelled because they could not be fresh
	Spares         int64 // runs started beside a straggler
	Losers         int64 // runs cancelled or discarded because the group was complete
	HandedOut      int64 // deliveries, repeats included
	Repeated       int64 // deliveries handed out again
	Acknowledged   int64 // groups
	LedgerWrites   int64
	StoreCalls     int64 // operations given to the store duty, ledger writes included
	Takeovers      int64
	DiskLost       int64 // finished groups whose bulk data could not be read
	DiskRefused    int64 // finished groups that stayed in memory because the disk took none
	Recovered      int64 // finished groups found on disk at a takeover
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
func (t *Trainer) Stats() Stats {
	c := t.counters
	return Stats{
		Started: c.started.Count(), Failed: c.failed.Count(), Unlabelled: c.unlabelled.Count(),
		StaleSamples: c.staleSamples.Count(), StaleGroups: c.staleGroups.Count(), CancelledEarly: c.cancelledEarly.Count(),
		Spares: c.spares.Count(), Losers: c.losers.Count(), HandedOut: c.handedOut.Count(), Repeated: c.repeated.Count(),
		Acknowledged: c.acknowledged.Count(), LedgerWrites: c.ledgerWrites.Count(), StoreCalls: c.storeCalls.Count(),
		Takeovers: c.takeovers.Count(), DiskLost: c.diskLost.Count(), DiskRefused: c.diskRefused.Count(),
		Recovered: c.recovered.Count(),
	}
}
