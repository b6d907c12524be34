package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// loadStep is what a load of a job reads or writes now.
type loadStep string

// Steps of a load, in their order.
const (
	loadStepJob      loadStep = "job"
	loadStepItems    loadStep = "items"
	loadStepState    loadStep = "state"
	loadStepTakeover loadStep = "takeover"
	loadStepResults  loadStep = "results"
)

// acceptOrLoadJob stores a submitted job, or reads a job that is not in memory.
func (m *Manager) acceptOrLoadJob(e *jobEntry, request duty.Query[Query, Reply]) {
	q := request.Params
	e.awaitingLoad = append(e.awaitingLoad, m.newPendingQuery(request))
	if q.Kind == QuerySubmit && e.job == nil && e.loadedItems == nil {
		m.acceptJob(e, q.Job)
		return
	}
	e.replaceOwner, e.inherited = q.ReplaceOwner, append(e.inherited, q.Unpublished...)
	m.loadJob(e)
}

// loadJob reads the job and its state from the store, and then its results if
// this daemon owns the job or takes it over, or if the job has ended.
func (m *Manager) loadJob(e *jobEntry) {
	e.phase, e.loadStartedAt = phaseLoading, m.now()
	if e.job != nil {
		m.loadState(e)
		return
	}
	if e.loadedItems != nil {
		m.loadItemParts(e)
		return
	}
	e.loadStep = loadStepJob
	m.submitLoadOp(e, platform.Op{Kind: platform.OpGet, Key: jobPrefix + string(e.id)}, func(r platform.Result) {
		if errors.Is(r.Err, platform.ErrNotFound) {
			m.removeJob(e, StatusNotFound)
			return
		}
		job := &Job{}
		if err := decodeObject(r, job); err != nil {
			m.failLoad(e, err)
			return
		}
		if job.ItemParts > 0 {
			e.loadedItems = job
			m.loadItemParts(e)
			return
		}
		e.setJob(job)
		m.loadState(e)
	})
}

// submitLoadOp sends an operation of a load to the store. A job has one load at a time: the
// reply is ignored if another operation of a load has been sent since.
func (m *Manager) submitLoadOp(e *jobEntry, op platform.Op, reply func(platform.Result)) {
	e.loadOps++
	number := e.loadOps
	m.submitToStore(op, func(r platform.Result) {
		if e.loadOps == number {
			reply(r)
		}
	})
}

// abandonLoad makes the reply to the newest operation of a load count no more.
func (e *jobEntry) abandonLoad() { e.loadOps++ }

// decodeObject decodes the object of a store reply, or returns the reply's error.
func decodeObject(r platform.Result, out any) error {
	if r.Err != nil {
		return r.Err
	}
	return json.Unmarshal(r.Object.Value, out)
}

// failLoad ends a load and answers the queries that wait for it, those for results that
// were read with these. What was read is kept: the objects of a job never change, so the
// next load goes on from there. Otherwise a job that takes longer to read than one query
// may wait could never be read.
func (m *Manager) failLoad(e *jobEntry, err error) {
	m.loadLog(e).WithError(err).Warn("job could not be read")
	e.phase = phaseUnloaded
	waiting := e.awaitingLoad
	e.awaitingLoad = nil
	for _, q := range waiting {
		query := q.request.Params
		switch {
		case e.job != nil && !e.isOpenTo(&query):
			q.request.Reply(denial(&query))
		case e.canAnswerEarly(query):
			q.request.Reply(e.resultsFrom(query.FromPosition))
		case query.Kind == QuerySubmit:
			// The job may have been stored before, and its items may run.
			q.request.Reply(Reply{Status: StatusUnknownOutcome})
		default:
			q.request.Reply(Reply{Status: StatusUnavailable})
		}
	}
}

// canAnswerEarly reports whether the query can be answered before the job is loaded: it is
// for results that are in memory, which never change. A takeover must complete first, since
// the former owner gives the job up when it is answered.
func (e *jobEntry) canAnswerEarly(q Query) bool {
	isTakeover := q.ReplaceOwner != (Owner{})
	return q.Kind == QueryResults && !isTakeover && e.job != nil && q.FromPosition < len(e.published) && e.isOpenTo(&q)
}

// loadLog returns a log entry that says how far the load of a job has come.
func (m *Manager) loadLog(e *jobEntry) *logrus.Entry {
	return m.log.WithFields(logrus.Fields{
		"job": e.id, "step": e.loadStep, "ms": m.now().Sub(e.loadStartedAt).Milliseconds(), "waiting": len(e.awaitingLoad),
	})
}

func (m *Manager) loadState(e *jobEntry) {
	e.loadStep = loadStepState
	e.lease = m.newLease(m.leaseNow())
	m.submitLoadOp(e, platform.Op{Kind: platform.OpGet, Key: statePrefix + string(e.id)}, func(r platform.Result) {
		if err := m.applyState(e, r); err != nil {
			m.failLoad(e, err)
			return
		}
		m.resolveOwnership(e)
	})
}

// applyState records the state that was read. If there is no state object, the
// daemon that accepted the job owns it.
func (m *Manager) applyState(e *jobEntry, r platform.Result) error {
	if errors.Is(r.Err, platform.ErrNotFound) {
		e.state, e.stateVersion = state{Owner: e.job.AcceptedBy}, platform.Absent
		return nil
	}
	var s state
	if err := decodeObject(r, &s); err != nil {
		return err
	}
	e.state, e.stateVersion = s, r.Object.Version
	return nil
}

// resolveOwnership decides whether this daemon owns a job whose state was read.
func (m *Manager) resolveOwnership(e *jobEntry) {
	// An owner with this daemon's address and another run has exited: an earlier
	// start of this daemon.
	isUnowned := e.state.Owner == Owner{} || e.state.Owner.Address == m.self.Address
	switch {
	case e.state.Ended:
		m.loadResults(e, phaseEnded)
	case e.state.Owner == m.self:
		m.loadResults(e, phaseOwned)
	case isUnowned || e.state.Owner == e.replaceOwner:
		m.takeOverJob(e)
	default:
		e.phase = phaseNotOwner
		m.answerAwaitingLoad(e)
	}
}

// takeOverJob makes this daemon the owner by a conditional write of the state.
func (m *Manager) takeOverJob(e *jobEntry) {
	e.loadStep = loadStepTakeover
	e.replaceOwner = Owner{}
	previousOwner := e.state.Owner
	next := state{Owner: m.self}
	value, err := json.Marshal(next)
	if err != nil {
		m.failLoad(e, err)
		return
	}
	op := platform.Op{Kind: platform.OpPut, Key: statePrefix + string(e.id), Value: value, IfVersion: e.stateVersion}
	e.lease = m.newLease(m.leaseNow())
	m.submitLoadOp(e, op, func(r platform.Result) {
		switch {
		case r.Err == nil:
			m.log.WithFields(logrus.Fields{"job": e.id, "owner_before": previousOwner.Address}).Info("job taken over")
			e.state, e.stateVersion = next, r.Object.Version
			m.loadResults(e, phaseOwned)
		case errors.Is(r.Err, platform.ErrConflict):
			m.loadState(e)
		default:
			m.failLoad(e, r.Err)
		}
	})
}

// loadResults reads the parts of the result list that are not in memory, one after
// another, and then enters the phase next. The key after the last part holds nothing.
func (m *Manager) loadResults(e *jobEntry, next phase) {
	e.phase, e.loadStep = phaseLoading, loadStepResults
	sentAt := m.now()
	if e.isListComplete() {
		m.finishLoad(e, next, sentAt)
		return
	}
	m.submitLoadOp(e, platform.Op{Kind: platform.OpGet, Key: resultPartKey(e.id, e.resultParts)}, func(r platform.Result) {
		var part resultPart
		err := decodeObject(r, &part)
		switch {
		case err == nil:
			e.appendResultPart(part)
			m.loadResults(e, next)
		case errors.Is(err, platform.ErrNotFound):
			m.finishLoad(e, next, sentAt)
		default:
			m.failLoad(e, fmt.Errorf("part %d of the results: %w", e.resultParts, err))
		}
	})
}

// finishLoad enters the phase next with a result list that was complete at the time
// confirmedAt.
func (m *Manager) finishLoad(e *jobEntry, next phase, confirmedAt time.Time) {
	e.confirmedAt = confirmedAt
	e.abandonLoad()
	m.loadLog(e).WithField("results", len(e.published)).Info("job loaded")
	if next == phaseOwned {
		m.startJob(e)
		return
	}
	e.phase = next
	m.answerAwaitingLoad(e)
}

// isListComplete reports whether each item of the job has a result in memory.
func (e *jobEntry) isListComplete() bool { return len(e.published) == len(e.job.Items) }

func (e *jobEntry) appendResultPart(part resultPart) {
	e.published = append(e.published, part.Results...)
	e.resultParts++
}

// handleStoreUnreachable records that the owner cannot use the store, and answers
// the queries that wait for a confirmed result list.
func (m *Manager) handleStoreUnreachable(e *jobEntry) {
	e.storeUnreachable = true
	for _, q := range e.removeAwaitingConfirmation() {
		q.request.Reply(Reply{Status: StatusUnavailable, StoreUnreachable: true, Unpublished: e.unpublished})
	}
}

func (e *jobEntry) removeAwaitingConfirmation() []pendingQuery {
	queries := e.awaitingConfirmation
	e.awaitingConfirmation = nil
	return queries
}

// answerAwaitingConfirmation answers the queries that waited for a confirmed result
// list, or confirms the list again if that was too long ago.
func (m *Manager) answerAwaitingConfirmation(e *jobEntry) {
	for _, q := range e.removeAwaitingConfirmation() {
		m.answerAtOnce(e, q)
	}
}
