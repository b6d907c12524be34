package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// suspectPeriod is how often suspicions expire and are reported.
const suspectPeriod = time.Second

// SetSuspectReportHandler sets the function that takes this daemon's suspicions and
// convictions. It must not wait, and it is set before the duty starts.
func (d *Dispatcher) SetSuspectReportHandler(deliver func(SuspectReport)) {
	d.deliverSuspects = deliver
}

// MergeSuspectReport takes what another daemon knows of crash suspects. When it
// reports false the ring was full; the next report repeats what was in it.
func (d *Dispatcher) MergeSuspectReport(r SuspectReport) bool { return d.reports.TryPut(r) }

func (d *Dispatcher) handleReport(r SuspectReport) {
	d.health.suspects.Merge(r, d.loop.Clock().Now())
	d.unpark()
}

// suspectTick expires suspicions and reports the rest.
func (d *Dispatcher) suspectTick() {
	now := d.loop.Clock().Now()
	d.health.suspects.Expire(now)
	if d.deliverSuspects != nil {
		d.deliverSuspects(d.health.suspects.Report(now))
	}
	d.unpark()
}

// stopCopies ends the attempts at further copies of a new suspect. Their calls
// wait until the suspect may run again. A call that must not be repeated goes on.
func (d *Dispatcher) stopCopies() {
	for _, key := range d.health.copies {
		s := d.inProgress[key.request]
		if s == nil || !s.call.Request.Repeatable {
			continue
		}
		if stop := s.running[key.number]; stop != nil {
			stop()
		}
	}
	d.health.copies = nil
}

// refuseConvicted ends the call when its content is convicted, and reports
// whether it did. The verdict stays that of the attempts so far.
func (d *Dispatcher) refuseConvicted(s *callState) bool {
	remaining := d.health.suspects.Convicted(s.call.Request.Fingerprint, d.loop.Clock().Now())
	if remaining == 0 {
		return false
	}
	d.fail(s, &core.Error{
		Code: core.CodeQuarantined, Reason: "requests with this content crashed several backend servers", RetryAfter: remaining,
	})
	return true
}
