package batch

import (
	"encoding/json"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// answer answers a query about a job whose results this daemon holds.
func (k *Manager) answer(e *entry, q question) {
	query := q.ask.Params
	switch query.Kind {
	case QuerySubmit:
		q.ask.Reply(Reply{Status: StatusOK})
	case QueryItemBody:
		q.ask.Reply(e.body(query.Item))
	case QueryEndJob:
		k.end(e, q)
	default:
		k.answerRead(e, q)
	}
}

// answerRead answers with results that are listed. That there are none is said
// only when the list is known to be complete.
func (k *Manager) answerRead(e *entry, q question) {
	query := q.ask.Params
	isWhole := len(e.listed) == len(e.job.Items)
	switch {
	case query.FromPosition < len(e.listed) || isWhole:
		a := e.read(query.FromPosition)
		a.StoreUnreachable = e.phase == phaseOwned && e.cutOff
		if a.StoreUnreachable {
			a.Unpublished = e.pending
		}
		q.ask.Reply(a)
	case e.phase == phaseEnded && k.now().Sub(e.confirmedAt) > confirmTime:
		e.waiting = append(e.waiting, q)
		k.loadResults(e, phaseEnded)
	case e.phase == phaseEnded:
		q.ask.Reply(e.read(query.FromPosition))
	case e.cutOff || query.MaxWait <= 0:
		k.answerEmpty(e, q)
	default:
		q.due = k.now().Add(query.MaxWait)
		e.readers = append(e.readers, q)
		k.loop.After(query.MaxWait, func() { k.wakeReaders(e) })
	}
}

// answerEmpty says that there are no results at the position, after a check of
// ownership unless the list was known to be complete just now.
func (k *Manager) answerEmpty(e *entry, q question) {
	if k.now().Sub(e.confirmedAt) <= confirmTime {
		q.ask.Reply(e.read(q.ask.Params.FromPosition))
		return
	}
	e.unconfirmed = append(e.unconfirmed, q)
	k.checkOwner(e)
}

// yield stops the runs of a job that the asking daemon has taken over.
func (k *Manager) yield(e *entry, ask duty.Query[Query, Reply]) {
	if e.phase == phaseOwned && e.cutOff {
		k.log.WithField("job", e.id).Info("job yielded to another daemon")
		e.state.Owner = Owner{}
		k.closeJob(e, phaseElsewhere)
		delete(k.jobs, e.id)
		k.reply(e, Reply{Status: StatusUnavailable})
	}
	ask.Reply(Reply{Status: StatusOK})
}

func (e *entry) body(id ItemID) Reply {
	for i := range e.job.Items {
		if e.job.Items[i].ID == id {
			return Reply{Status: StatusOK, Body: e.job.Items[i].Body}
		}
	}
	return Reply{Status: StatusNotFound}
}

// read returns the listed results from the position on, at least one if there is one.
func (e *entry) read(after int) Reply {
	a := Reply{Status: StatusOK, Total: len(e.job.Items)}
	size := 0
	for at := max(0, after); at < len(e.listed); at++ {
		size += len(e.listed[at].Text)
		if size > maxAnswerBytes && len(a.Results) > 0 {
			break
		}
		a.Results = append(a.Results, e.listed[at])
	}
	return a
}

// wakeReaders answers the waiting readers that have results or no time left.
func (k *Manager) wakeReaders(e *entry) {
	now := k.now()
	readers := e.readers
	e.readers = nil
	for _, r := range readers {
		switch {
		case r.ask.Params.FromPosition < len(e.listed):
			r.ask.Reply(e.read(r.ask.Params.FromPosition))
		case !r.due.After(now) && e.phase == phaseOwned:
			k.answerEmpty(e, r)
		default:
			e.readers = append(e.readers, r)
		}
	}
}

// end ends a job. The store's answer is the acknowledgement.
func (k *Manager) end(e *entry, q question) {
	if e.state.Ended {
		q.ask.Reply(Reply{Status: StatusOK})
		return
	}
	next := e.state
	next.Ended, next.EndedAt = true, k.now()
	k.writeState(e, next, func(err error) {
		if err != nil {
			q.ask.Reply(Reply{Status: StatusUnavailable, StoreUnreachable: e.cutOff, Unpublished: e.pending})
			return
		}
		k.log.WithFields(logrus.Fields{"job": e.id, "listed": len(e.listed)}).Info("job ended")
		e.state = next
		k.closeJob(e, phaseEnded)
		k.settleWaiting(e)
		q.ask.Reply(Reply{Status: StatusOK})
	})
}

// writeState replaces the state under its version. A conflict loads the job anew.
func (k *Manager) writeState(e *entry, s state, done func(error)) {
	value, err := json.Marshal(s)
	if err != nil {
		done(err)
		return
	}
	op := platform.Op{Kind: platform.OpPut, Key: statePrefix + string(e.id), Value: value, IfVersion: e.stateVersion}
	k.submit(op, func(r platform.Result) {
		if r.Err == nil {
			e.stateVersion = r.Object.Version
		}
		done(r.Err)
		if errors.Is(r.Err, platform.ErrConflict) || errors.Is(r.Err, platform.ErrUnknownOutcome) {
			k.checkOwner(e)
		}
	})
}
