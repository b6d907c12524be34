package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/platform"
)

// load reads the job, then its state, then takes it over or its results.
func (k *Manager) load(e *entry) {
	e.phase = phaseLoading
	if e.job != nil {
		k.loadState(e)
		return
	}
	k.submit(platform.Op{Kind: platform.OpGet, Key: jobPrefix + string(e.id)}, func(r platform.Result) {
		if errors.Is(r.Err, platform.ErrNotFound) {
			k.drop(e, StatusNotFound)
			return
		}
		job := &Job{}
		if err := decode(r, job); err != nil {
			k.loadFailed(e, err)
			return
		}
		if job.ItemParts > 0 {
			k.loadParts(e, job)
			return
		}
		e.job = job
		k.loadState(e)
	})
}

// decode reads the value of a store answer.
func decode(r platform.Result, out any) error {
	if r.Err != nil {
		return r.Err
	}
	return json.Unmarshal(r.Object.Value, out)
}

func (k *Manager) loadFailed(e *entry, err error) {
	k.log.WithError(err).WithField("job", e.id).Warn("job could not be read")
	k.drop(e, StatusUnavailable)
}

func (k *Manager) loadState(e *entry) {
	k.submit(platform.Op{Kind: platform.OpGet, Key: statePrefix + string(e.id)}, func(r platform.Result) {
		if err := k.takeState(e, r); err != nil {
			k.loadFailed(e, err)
			return
		}
		k.placeLoaded(e)
	})
}

// takeState takes over the state that was read. Without an object the daemon
// that accepted the job owns it.
func (k *Manager) takeState(e *entry, r platform.Result) error {
	if errors.Is(r.Err, platform.ErrNotFound) {
		e.state, e.stateVersion = state{Owner: e.job.AcceptedBy}, platform.Absent
		return nil
	}
	var s state
	if err := decode(r, &s); err != nil {
		return err
	}
	e.state, e.stateVersion = s, r.Object.Version
	return nil
}

// placeLoaded decides who goes on with a job whose state was read.
func (k *Manager) placeLoaded(e *entry) {
	// An earlier run of this daemon is gone for good.
	free := e.state.Owner == Owner{} || e.state.Owner.Address == k.self.Address
	switch {
	case e.state.Ended:
		k.loadResults(e, phaseEnded)
	case e.state.Owner == k.self:
		k.loadResults(e, phaseOwned)
	case free || e.state.Owner == e.replace:
		k.takeJob(e)
	default:
		e.phase = phaseElsewhere
		k.settleWaiting(e)
	}
}

// takeJob makes this daemon the owner.
func (k *Manager) takeJob(e *entry) {
	e.replace = Owner{}
	before := e.state.Owner
	next := state{Owner: k.self}
	value, err := json.Marshal(next)
	if err != nil {
		k.loadFailed(e, err)
		return
	}
	op := platform.Op{Kind: platform.OpPut, Key: statePrefix + string(e.id), Value: value, IfVersion: e.stateVersion}
	k.submit(op, func(r platform.Result) {
		switch {
		case r.Err == nil:
			k.log.WithFields(logrus.Fields{"job": e.id, "owner_before": before.Address}).Info("job taken over")
			e.state, e.stateVersion = next, r.Object.Version
			k.loadResults(e, phaseOwned)
		case errors.Is(r.Err, platform.ErrConflict):
			k.loadState(e)
		default:
			k.loadFailed(e, r.Err)
		}
	})
}

// loadResults reads the whole list of results.
func (k *Manager) loadResults(e *entry, next phase) {
	e.phase = phaseLoading
	asked := k.now()
	k.submit(platform.Op{Kind: platform.OpList, Key: resultPrefix + string(e.id) + "."}, func(r platform.Result) {
		if r.Err != nil {
			k.loadFailed(e, r.Err)
			return
		}
		e.listed, e.parts, e.confirmedAt = nil, 0, asked
		for _, o := range r.Listing.Objects {
			var part resultPart
			if err := json.Unmarshal(o.Value, &part); err != nil {
				k.loadFailed(e, fmt.Errorf("decode %s: %w", o.Key, err))
				return
			}
			e.appendPart(part)
		}
		if next == phaseOwned {
			k.open(e)
			return
		}
		e.phase = next
		k.settleWaiting(e)
	})
}

func (e *entry) appendPart(part resultPart) {
	e.listed = append(e.listed, part.Results...)
	e.parts++
}

// checkOwner reads whether this daemon still owns the job and whether it has
// ended, and then answers the questions that wait for that.
func (k *Manager) checkOwner(e *entry) {
	if e.checking || e.phase != phaseOwned {
		return
	}
	e.checking = true
	asked := k.now()
	k.submit(platform.Op{Kind: platform.OpGet, Key: statePrefix + string(e.id)}, func(r platform.Result) {
		e.checking = false
		if e.phase != phaseOwned {
			return
		}
		if err := k.takeState(e, r); err != nil {
			// The store is away: the job goes on, since its results can still
			// be listed only once.
			k.log.WithError(err).WithField("job", e.id).Debug("ownership could not be checked")
			e.cutOff = true
			e.replyUnconfirmed(Reply{Status: StatusUnavailable, StoreUnreachable: true, Unpublished: e.pending})
			return
		}
		k.ownerChecked(e, asked)
	})
}

func (k *Manager) ownerChecked(e *entry, asked time.Time) {
	switch {
	case e.state.Ended:
		k.closeJob(e, phaseLoading)
		k.loadResults(e, phaseEnded)
	case e.state.Owner != k.self:
		k.log.WithFields(logrus.Fields{"job": e.id, "owner": e.state.Owner.Address}).Info("job is owned elsewhere")
		k.closeJob(e, phaseElsewhere)
		k.settleWaiting(e)
	default:
		e.confirmedAt, e.cutOff = asked, false
		for _, q := range e.takeUnconfirmed() {
			q.ask.Reply(e.read(q.ask.Params.FromPosition))
		}
	}
}

func (e *entry) takeUnconfirmed() []question {
	list := e.unconfirmed
	e.unconfirmed = nil
	return list
}

func (e *entry) replyUnconfirmed(a Reply) {
	for _, q := range e.takeUnconfirmed() {
		q.ask.Reply(a)
	}
}
