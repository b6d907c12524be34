package platform

import (
	"errors"
	"time"
)

// noAnswerTime is the time without any answer after which the store counts as not
// answering. It is twice the response time of a slow store.
const noAnswerTime = 500 * time.Millisecond

// maxQuietTime is the longest time between two answers of a store that answers a daemon
// whose only calls are pings.
const maxQuietTime = ProbePeriod + noAnswerTime

// minLostCalls is the number of calls without an answer that show a short outage. One is
// no proof, since a quiet daemon has no other answers at that time.
const minLostCalls = 2

// CallEnd is the end of one call of the store: an answer shows that the store answers,
// a failure may show that it does not. Duties that call the store exchange them.
type CallEnd struct {
	Started time.Time
	Ended   time.Time
	Err     error
	IsPing  bool
}

// isAnswer reports whether the store answered. A refusal by the rate limit is an answer,
// and so is one that concerns the object, except to a ping, which has no such refusals.
func (e CallEnd) isAnswer() bool {
	return e.Err == nil || errors.Is(e.Err, ErrRateLimited) || (!e.IsPing && !isOutage(e.Err))
}

// isSilent reports whether the call failed because nothing arrived, as opposed to a
// refusal or a broken connection.
func (e CallEnd) isSilent() bool { return !e.isAnswer() && e.Ended.Sub(e.Started) >= noAnswerTime }

// OutageReason is what showed that the store does not answer.
type OutageReason string

// Reasons of an outage.
const (
	ReasonPingFailed   OutageReason = "ping failed"
	ReasonCallTimedOut OutageReason = "call timed out"
)

// AvailabilityChange is a change of the view whether the store answers.
type AvailabilityChange struct {
	Up     bool
	Reason OutageReason  // of the outage that begins or ends
	Err    error         // of the call that showed the outage; nil if Up
	Lasted time.Duration // of the former state
}

// availability is the view whether the store answers, as known from the ends of calls.
// A call that gets no answer shows an outage only if no other call was answered since it
// began, and a quick refusal only if it is that of a ping.
type availability struct {
	isDown       bool
	reason       OutageReason // of the current or last outage
	since        time.Time    // of the last change
	lastAnswerAt time.Time
	failedFrom   time.Time // start of the call that showed the current outage
	silence      silence   // the last one; cleared once it is known as an outage
}

// silence is a time of noAnswerTime or more without an answer that an answer ended.
type silence struct {
	from, to  time.Time
	lostCalls int // calls that started in it and got no answer
}

func (s silence) contains(t time.Time) bool { return t.After(s.from) && t.Before(s.to) }

// isOutage reports whether the store did not answer in this time, as opposed to a daemon
// that made few calls and lost one answer.
func (s silence) isOutage() bool {
	return s.lostCalls >= minLostCalls || (s.lostCalls > 0 && s.to.Sub(s.from) > maxQuietTime)
}

// newAvailability returns the view of a store that answers.
func newAvailability(now time.Time) availability {
	return availability{since: now, lastAnswerAt: now}
}

// record updates the view by the end of a call and returns the changes. These are two if
// the call shows an outage that has ended meanwhile.
func (a *availability) record(e CallEnd) []AvailabilityChange {
	switch {
	case e.isAnswer():
		return a.recordAnswer(e.Ended)
	case !a.answeredSince(e.Started):
		return a.recordFailure(e)
	case e.isSilent() && !a.isDown && a.silence.contains(e.Started):
		return a.recordLostCall(e)
	}
	return nil
}

// recordLostCall records a call that started in the last silence and got no answer.
func (a *availability) recordLostCall(e CallEnd) []AvailabilityChange {
	a.silence.lostCalls++
	if !a.silence.isOutage() {
		return nil
	}
	outage := AvailabilityChange{Reason: e.outageReason(), Err: e.Err, Lasted: a.silence.from.Sub(a.since)}
	recovery := AvailabilityChange{Up: true, Reason: outage.Reason, Lasted: a.silence.to.Sub(a.silence.from)}
	a.reason, a.since = outage.Reason, a.silence.to
	a.silence = silence{}
	return []AvailabilityChange{outage, recovery}
}

func (a *availability) recordAnswer(at time.Time) []AvailabilityChange {
	if !at.After(a.lastAnswerAt) {
		return nil
	}
	if !a.isDown && at.Sub(a.lastAnswerAt) >= noAnswerTime {
		a.silence = silence{from: a.lastAnswerAt, to: at}
	}
	a.lastAnswerAt = at
	if !a.isDown || at.Before(a.failedFrom) {
		return nil
	}
	c := AvailabilityChange{Up: true, Reason: a.reason, Lasted: at.Sub(a.since)}
	a.isDown, a.since = false, at
	return []AvailabilityChange{c}
}

func (a *availability) recordFailure(e CallEnd) []AvailabilityChange {
	isOutage := e.IsPing || e.isSilent()
	if a.isDown || !isOutage {
		return nil
	}
	c := AvailabilityChange{Reason: e.outageReason(), Err: e.Err, Lasted: e.Ended.Sub(a.since)}
	a.isDown, a.reason, a.since, a.failedFrom = true, c.Reason, e.Ended, e.Started
	return []AvailabilityChange{c}
}

// answeredSince reports whether any call was answered after the time.
func (a *availability) answeredSince(t time.Time) bool { return a.lastAnswerAt.After(t) }

// downFor returns how long the store has been known not to answer; 0 if it answers.
func (a *availability) downFor(now time.Time) time.Duration {
	if !a.isDown {
		return 0
	}
	return now.Sub(a.since)
}

func (e CallEnd) outageReason() OutageReason {
	if e.IsPing {
		return ReasonPingFailed
	}
	return ReasonCallTimedOut
}
