package batch

import (
	"encoding/json"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// answerQuery answers a query about a job whose results are in memory.
func (m *Manager) answerQuery(e *jobEntry, q pendingQuery) {
	query := q.request.Params
	if !e.isOpenTo(&query) {
		q.request.Reply(denial(&query))
		return
	}
	switch query.Kind {
	case QuerySubmit:
		q.request.Reply(Reply{Status: StatusOK})
	case QueryItemBody:
		q.request.Reply(e.itemBody(query.Item))
	case QueryEndJob:
		m.endJob(e, q)
	default:
		m.answerResults(e, q)
	}
}

// answerNotOwned answers a query about a job that another daemon owns. If a peer
// considers this daemon the owner, or the query requests a takeover, the state
// is read from the store again.
func (m *Manager) answerNotOwned(e *jobEntry, request duty.Query[Query, Reply]) {
	q := request.Params
	reply := e.replyNotOwned(&q)
	if reply.Status != StatusNotOwner || (!q.Relayed && !q.Reload) {
		request.Reply(reply)
		return
	}
	e.replaceOwner, e.inherited = q.ReplaceOwner, q.Unpublished
	e.awaitingLoad = append(e.awaitingLoad, m.newPendingQuery(request))
	m.loadJob(e)
}

// replyNotOwned returns the reply to a query about a job that has another owner, as far as
// this daemon knows.
func (e *jobEntry) replyNotOwned(q *Query) Reply {
	switch {
	case !e.isOpenTo(q):
		return denial(q)
	case q.Kind == QuerySubmit:
		return Reply{Status: StatusOK}
	}
	return Reply{Status: StatusNotOwner, Owner: e.state.Owner}
}

// answerResults answers with published results. It replies that there are none
// only when the result list is known to be complete.
func (m *Manager) answerResults(e *jobEntry, q pendingQuery) {
	query := q.request.Params
	switch {
	case query.FromPosition < len(e.published) || e.isListComplete():
		a := e.resultsFrom(query.FromPosition)
		a.StoreUnreachable = e.phase == phaseOwned && e.storeUnreachable
		if a.StoreUnreachable {
			a.Unpublished = e.unpublished
		}
		q.request.Reply(a)
	case e.phase == phaseLoading:
		e.awaitingLoad = append(e.awaitingLoad, q)
	case e.phase == phaseEnded && !m.isListConfirmed(e, q):
		e.awaitingLoad = append(e.awaitingLoad, q)
		e.loadStartedAt = m.now()
		m.loadResults(e, phaseEnded)
	case e.phase == phaseEnded:
		q.request.Reply(e.resultsFrom(query.FromPosition))
	case e.storeUnreachable || query.MaxWait <= 0:
		m.answerAtOnce(e, q)
	default:
		q.deadline = m.now().Add(query.MaxWait)
		e.awaitingResults = append(e.awaitingResults, q)
		m.loop.After(query.MaxWait, func() { m.answerReaders(e) })
	}
}

// isListConfirmed reports whether the result list is known to be complete for the query:
// confirmed since it arrived, however long the answer of the store took, or shortly before.
func (m *Manager) isListConfirmed(e *jobEntry, q pendingQuery) bool {
	return !e.confirmedAt.Before(q.arrivedAt) || m.now().Sub(e.confirmedAt) <= confirmationTTL
}

// answerAtOnce answers with published results or that there are none at the
// position. It confirms the result list first, unless it was recently known to be
// complete, and the ownership if that is due.
func (m *Manager) answerAtOnce(e *jobEntry, q pendingQuery) {
	position := q.request.Params.FromPosition
	if position < len(e.published) || m.isListConfirmed(e, q) {
		q.request.Reply(e.resultsFrom(position))
		return
	}
	e.awaitingConfirmation = append(e.awaitingConfirmation, q)
	switch {
	case e.checkingOwnership:
	case m.isOwnershipCheckDue(e):
		m.checkOwnership(e)
	default:
		m.confirmList(e)
	}
}

// relinquishJob stops the runs of a job that another daemon has taken over
// because this one could not reach the store. If it can, it asks the store at once. e is
// nil if the job is not known here.
func (m *Manager) relinquishJob(e *jobEntry, request duty.Query[Query, Reply]) {
	if e == nil {
		request.Reply(Reply{Status: StatusOK})
		return
	}
	if e.phase == phaseOwned && e.storeUnreachable {
		m.log.WithField("job", e.id).Info("job yielded to another daemon")
		e.state.Owner = Owner{}
		m.stopJob(e, phaseNotOwner)
		delete(m.jobs, e.id)
		m.replyToAll(e, Reply{Status: StatusUnavailable})
	}
	m.checkOwnership(e)
	request.Reply(Reply{Status: StatusOK})
}

func (e *jobEntry) itemBody(id ItemID) Reply {
	for i := range e.job.Items {
		if e.job.Items[i].ID == id {
			return Reply{Status: StatusOK, Body: e.job.Items[i].Body}
		}
	}
	return Reply{Status: StatusNotFound}
}

// resultsFrom returns the published results from the position on, up to
// maxReplyTextBytes of text but at least one if there is one.
func (e *jobEntry) resultsFrom(position int) Reply {
	a := Reply{Status: StatusOK, Total: len(e.job.Items)}
	size := 0
	for at := max(0, position); at < len(e.published); at++ {
		size += len(e.published[at].Text)
		if size > maxReplyTextBytes && len(a.Results) > 0 {
			break
		}
		a.Results = append(a.Results, e.published[at])
	}
	return a
}

// answerReaders answers the queries for results that now have results or whose
// wait has ended.
func (m *Manager) answerReaders(e *jobEntry) {
	now := m.now()
	readers := e.awaitingResults
	e.awaitingResults = nil
	for _, r := range readers {
		switch {
		case r.request.Params.FromPosition < len(e.published):
			r.request.Reply(e.resultsFrom(r.request.Params.FromPosition))
		case !r.deadline.After(now) && e.phase == phaseOwned:
			m.answerAtOnce(e, r)
		default:
			e.awaitingResults = append(e.awaitingResults, r)
		}
	}
}

// endJob ends a job. It replies once the store has the new state.
func (m *Manager) endJob(e *jobEntry, q pendingQuery) {
	if e.state.Ended {
		q.request.Reply(Reply{Status: StatusOK})
		return
	}
	next := e.state
	next.Ended, next.EndedAt = true, m.now()
	m.writeState(e, next, func(err error) {
		if err != nil {
			q.request.Reply(Reply{Status: StatusUnavailable, StoreUnreachable: e.storeUnreachable, Unpublished: e.unpublished})
			return
		}
		m.log.WithFields(logrus.Fields{"job": e.id, "listed": len(e.published)}).Info("job ended")
		// Otherwise the end was read from the store before the answer to its write arrived.
		if e.phase == phaseOwned {
			e.state = next
			m.stopJob(e, phaseEnded)
			m.answerAwaitingLoad(e)
		}
		q.request.Reply(Reply{Status: StatusOK})
	})
}

// writeState writes the state if its version is unchanged. After a conflict or an
// unknown outcome it checks the ownership.
func (m *Manager) writeState(e *jobEntry, s state, done func(error)) {
	value, err := json.Marshal(s)
	if err != nil {
		done(err)
		return
	}
	op := platform.Op{Kind: platform.OpPut, Key: statePrefix + string(e.id), Value: value, IfVersion: e.stateVersion}
	m.submitToStore(op, func(r platform.Result) {
		if r.Err == nil {
			e.stateVersion = r.Object.Version
		}
		done(r.Err)
		if errors.Is(r.Err, platform.ErrConflict) || errors.Is(r.Err, platform.ErrUnknownOutcome) {
			m.checkOwnership(e)
		}
	})
}
