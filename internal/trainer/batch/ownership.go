package batch

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// ownershipTerm is how long an owner relies on the store's last confirmation when it
// sends an item. It leaves time for the item to arrive within 3 s of the end of its job,
// and time for one failed check and the next.
const ownershipTerm = 2500 * time.Millisecond

// newLease returns the lease of an ownership that the answer to a question sent at the
// time at shows.
func (m *Manager) newLease(at time.Time) *core.Lease {
	l := core.NewLease(ownershipTerm, m.leaseNow)
	l.Confirm(at)
	return l
}

// checkFailures are the checks of ownership that have failed in a row.
type checkFailures struct {
	count  int
	reason string // of the last one
	since  time.Time
}

// isOwnershipCheckDue reports whether the store has confirmed the owner of the job
// longer than ownershipCheckPeriod ago.
func (m *Manager) isOwnershipCheckDue(e *jobEntry) bool {
	age, ok := e.lease.Age()
	return !ok || age > ownershipCheckPeriod
}

// checkOwnership reads from the store whether this daemon still owns the job and
// whether the job has ended. If queries wait for a confirmed result list, it then
// confirms the list.
func (m *Manager) checkOwnership(e *jobEntry) {
	if e.checkingOwnership || e.phase != phaseOwned {
		return
	}
	e.checkingOwnership = true
	generation, sentAt := e.generation, m.leaseNow()
	m.submitToStore(platform.Op{Kind: platform.OpGet, Key: statePrefix + string(e.id)}, func(r platform.Result) {
		e.checkingOwnership = false
		if e.generation != generation {
			return // the answer is about an earlier ownership
		}
		if errors.Is(r.Err, platform.ErrNotFound) && !e.lease.IsValid() {
			m.checkJobExists(e, generation, sentAt)
			return
		}
		if err := m.applyState(e, r); err != nil {
			// The store is unreachable. Runs in progress continue, because conditional
			// writes still publish each result only once, and the lease bounds how
			// long new ones start.
			m.recordCheckFailure(e, err)
			m.handleStoreUnreachable(e)
			if e.recheckOwnership {
				e.recheckOwnership = false
				m.checkOwnership(e)
			}
			return
		}
		m.handleOwnershipChecked(e, sentAt)
	})
}

// checkJobExists completes a check that found no state of the job. The daemon that
// accepted a job owns it without a state, but also finds none after the job was taken
// over, ended and removed, which takes longer than a lease.
func (m *Manager) checkJobExists(e *jobEntry, generation int, sentAt time.Time) {
	e.checkingOwnership = true
	m.submitToStore(platform.Op{Kind: platform.OpGet, Key: jobPrefix + string(e.id)}, func(r platform.Result) {
		e.checkingOwnership = false
		switch {
		case e.generation != generation:
		case r.Err == nil:
			m.handleOwnershipChecked(e, sentAt)
		case errors.Is(r.Err, platform.ErrNotFound):
			m.ownershipLog(e).Info("job has ended at another daemon and was removed")
			m.stopJob(e, phaseNotOwner)
			m.removeJob(e, StatusNotFound)
		default:
			m.recordCheckFailure(e, r.Err)
			m.handleStoreUnreachable(e)
		}
	})
}

func (m *Manager) handleOwnershipChecked(e *jobEntry, sentAt time.Time) {
	m.endCheckFailures(e)
	switch {
	case e.state.Ended:
		m.ownershipLog(e).Info("job has ended at another daemon")
		m.stopJob(e, phaseLoading)
		m.loadResults(e, phaseEnded)
	case e.state.Owner != m.self:
		m.ownershipLog(e).WithField("owner", e.state.Owner.Address).Info("job is owned elsewhere")
		m.stopJob(e, phaseNotOwner)
		m.answerAwaitingLoad(e)
	default:
		m.confirmOwnership(e, sentAt)
		if len(e.awaitingConfirmation) > 0 {
			m.confirmList(e)
		}
	}
}

// confirmOwnership records that this daemon owned the job at the time sentAt, and starts
// the items that have waited for that.
func (m *Manager) confirmOwnership(e *jobEntry, sentAt time.Time) {
	wasValid := e.lease.IsValid()
	e.lease.Confirm(sentAt)
	e.storeUnreachable = false
	if !wasValid {
		m.launchDueItems(e)
	}
}

// ownershipLog returns a log entry with the age of the job's last confirmation.
func (m *Manager) ownershipLog(e *jobEntry) *logrus.Entry {
	age, _ := e.lease.Age()
	return m.log.WithFields(logrus.Fields{"job": e.id, "confirmed_ms_ago": age.Milliseconds(), "running": e.runningItems()})
}

func (e *jobEntry) runningItems() int {
	n := 0
	for _, r := range e.items {
		if r.running {
			n++
		}
	}
	return n
}

// recordCheckFailure logs the first failed check in a row and each new reason.
func (m *Manager) recordCheckFailure(e *jobEntry, err error) {
	f := &e.checkFailures
	if f.count == 0 {
		f.since = m.now()
	}
	f.count++
	if reason := failureReason(err); reason != f.reason {
		f.reason = reason
		m.ownershipLog(e).WithError(err).WithField("failures", f.count).Info("ownership of a job could not be checked")
	}
}

// failureReason returns the kind of the error. Its text may hold times and ports, which
// differ each time.
func failureReason(err error) string {
	kinds := []error{platform.ErrStoreDown, platform.ErrQueueDeadline, platform.ErrQueueFull, platform.ErrUnknownOutcome, platform.ErrUnavailable}
	for _, kind := range kinds {
		if errors.Is(err, kind) {
			return kind.Error()
		}
	}
	return err.Error()
}

// endCheckFailures logs how long checks have failed, if they have.
func (m *Manager) endCheckFailures(e *jobEntry) {
	f := e.checkFailures
	if f.count == 0 {
		return
	}
	e.checkFailures = checkFailures{}
	m.ownershipLog(e).WithFields(logrus.Fields{"failures": f.count, "ms": m.now().Sub(f.since).Milliseconds()}).Info("ownership of a job is checked again")
}
