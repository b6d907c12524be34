package core

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"
)

// Lease is the right to act on knowledge that was confirmed at a known time and is
// relied upon for a limited term after it, such as that a daemon owns a job. Whoever
// acts on the knowledge checks the lease right before the act, whatever was decided
// earlier: a request may have waited in a queue, or its host may have been suspended.
//
// One goroutine confirms and revokes a lease; any goroutine may check it.
type Lease struct {
	term        time.Duration
	now         func() time.Time
	confirmedAt atomic.Int64 // Unix nanoseconds on the clock now; see neverConfirmed and revoked
}

const (
	neverConfirmed = math.MinInt64
	revoked        = math.MaxInt64
)

// NewLease returns a lease that is not confirmed yet. term is how long a confirmation
// is relied upon. The clock must include the time for which the host is suspended.
func NewLease(term time.Duration, now func() time.Time) *Lease {
	l := &Lease{term: term, now: now}
	l.confirmedAt.Store(neverConfirmed)
	return l
}

// Confirm records that the knowledge held at the time at. For an answer of another
// process, at is the time at which the question was sent. Confirmations that are older
// than the newest one or come after Revoke have no effect.
func (l *Lease) Confirm(at time.Time) {
	if t := at.UnixNano(); t > l.confirmedAt.Load() {
		l.confirmedAt.Store(t)
	}
}

// Revoke ends the lease for good.
func (l *Lease) Revoke() { l.confirmedAt.Store(revoked) }

// Age returns the time since the newest confirmation. ok is false if the lease was never
// confirmed or is revoked.
func (l *Lease) Age() (age time.Duration, ok bool) {
	at := l.confirmedAt.Load()
	if at == neverConfirmed || at == revoked {
		return 0, false
	}
	return time.Duration(l.now().UnixNano() - at), true
}

// IsValid reports whether the lease may be used now. A nil lease is always valid: it
// stands for an act that needs none.
func (l *Lease) IsValid() bool {
	if l == nil {
		return true
	}
	age, ok := l.Age()
	return ok && age >= 0 && age <= l.term
}

// Check returns nil if the lease may be used now, and otherwise an error with the verdict
// NotRun that says why not.
func (l *Lease) Check() *Error {
	if l.IsValid() {
		return nil
	}
	age, ok := l.Age()
	switch {
	case !ok && l.confirmedAt.Load() == revoked:
		return NotRunError(CodeLeaseExpired, "the right to send the request was revoked")
	case !ok:
		return NotRunError(CodeLeaseExpired, "the right to send the request was never confirmed")
	}
	err := NotRunError(CodeLeaseExpired, "the right to send the request has expired")
	err.Field, err.Value, err.Allowed = "confirmation age", age.String(), fmt.Sprintf("at most %v", l.term)
	return err
}
