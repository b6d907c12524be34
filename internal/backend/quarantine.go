package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// suspectPeriod is the interval at which suspects expire and are summarized.
const suspectPeriod = time.Second

// SuspectSender passes what this daemon learns of crashes to the other daemons, at once. It
// must not block.
type SuspectSender func(SuspectReport)

// SetSuspectSummaryHandler sets the function that receives all suspects and confirmed causes
// each suspectPeriod, for an exchange that repeats them. It must not block.
// SetSuspectSummaryHandler must be called before the duty starts.
func (d *Dispatcher) SetSuspectSummaryHandler(deliver func(SuspectReport)) {
	d.deliverSuspectSummary = deliver
}

// MergeSuspectReport queues the crash suspects of another daemon. It returns
// false if the ring is full; the next report repeats the content.
func (d *Dispatcher) MergeSuspectReport(r SuspectReport) bool { return d.suspectReports.TryPut(r) }

func (d *Dispatcher) handleSuspectReport(r SuspectReport) {
	d.health.suspects.Merge(r, d.loop.Clock().Now())
	if len(r.Crashes) > 0 {
		d.loop.After(crashSettleTime, d.judgeCrashes)
	}
	d.retryAllWaiting()
}

// handleCrash arranges the report of a crash to the other daemons and its judgement.
func (d *Dispatcher) handleCrash(id CrashID) {
	d.loop.After(crashPartDelay, func() { d.reportCrash(id) })
	d.loop.After(crashSettleTime, d.judgeCrashes)
}

func (d *Dispatcher) reportCrash(id CrashID) {
	if part, ok := d.health.suspects.ownPart(id); ok {
		d.sendSuspects(SuspectReport{Crashes: []CrashReport{part}})
	}
}

// judgeCrashes judges the crashes of which all reports should have arrived.
func (d *Dispatcher) judgeCrashes() {
	if confirmed := d.health.suspects.Judge(d.loop.Clock().Now()); len(confirmed) > 0 {
		d.sendSuspects(SuspectReport{ConfirmedCauses: confirmed})
	}
	d.retryAllWaiting()
}

// Suspects returns the suspects and confirmed causes of this daemon, for one that has just
// started. It blocks until the duty replies; duties must not call it.
func (d *Dispatcher) Suspects(ctx context.Context) (SuspectReport, error) {
	return d.suspectQueries.Do(ctx, struct{}{})
}

// expireSuspects removes expired suspects and passes the others on.
func (d *Dispatcher) expireSuspects() {
	now := d.loop.Clock().Now()
	d.health.suspects.RemoveExpired(now)
	if d.deliverSuspectSummary != nil {
		d.deliverSuspectSummary(d.health.suspects.Report(now))
	}
	d.retryAllWaiting()
}

// cancelCopies cancels the surplus attempts of a new suspect. Their calls wait
// until the suspect may run again. The attempt of a call that must not be
// repeated continues.
func (d *Dispatcher) cancelCopies() {
	for _, key := range d.health.copiesToCancel {
		s := d.callsInProgress[key.request]
		if s == nil || !s.call.Request.Repeatable {
			continue
		}
		if cancel := s.runningAttempts[key.number]; cancel != nil {
			cancel()
		}
	}
	d.health.copiesToCancel = nil
}

// refuseQuarantined ends the call if its content is a confirmed cause of
// crashes, and reports whether it did. The verdict remains that of the attempts
// so far.
func (d *Dispatcher) refuseQuarantined(s *callState) bool {
	if s.call.Request.Accepted {
		return false
	}
	remaining := d.health.suspects.QuarantineRemaining(s.call.Request.Fingerprint, d.loop.Clock().Now())
	if remaining == 0 {
		return false
	}
	d.fail(s, &core.Error{
		Code: core.CodeQuarantined, Reason: "requests with this content crashed several backend servers", RetryAfter: remaining,
	})
	return true
}
