package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// maxHedgeShare bounds the share of extra attempts by hedging, whatever the
	// contract allows.
	maxHedgeShare = 0.05
	// hedgeBurst bounds the unused hedges that a customer accumulates.
	hedgeBurst = 20
	// hedgeReserve is kept for attempts that have lasted twice the p95. One in
	// 20 attempts reaches the p95, which would use up the whole budget and
	// leave nothing for a server that slows down.
	hedgeReserve = hedgeBurst / 2
	// maxHedgeDepth is the mean work per slot of a service above which no
	// attempt is hedged, because extra work aggravates an overload.
	maxHedgeDepth = 0.7
	// maxHedgeCustomers bounds the memory for budgets.
	maxHedgeCustomers = 4096
)

// hedgeBudget is a token bucket per customer that first attempts fill and
// hedges drain. It starts empty, so that the share is never exceeded.
type hedgeBudget struct {
	tokens map[core.CustomerID]float64
}

func newHedgeBudget() *hedgeBudget { return &hedgeBudget{tokens: map[core.CustomerID]float64{}} }

func (b *hedgeBudget) creditFirstAttempt(r *core.Request) {
	share := min(r.HedgeShare, maxHedgeShare)
	if share <= 0 {
		return
	}
	if len(b.tokens) >= maxHedgeCustomers {
		clear(b.tokens)
	}
	owner := budgetOwner(r)
	b.tokens[owner] = min(b.tokens[owner]+share, hedgeBurst)
}

// allows reports whether the customer's budget covers a hedge and still leaves
// the reserve.
func (b *hedgeBudget) allows(r *core.Request, reserve float64) bool {
	return b.tokens[budgetOwner(r)] >= 1+reserve
}

func (b *hedgeBudget) consume(r *core.Request) { b.tokens[budgetOwner(r)]-- }

// budgetOwner returns the customer whose contract permits the hedges of the request. The
// share of a forwarded message is the daemon's own, so all of these share one budget:
// split by customer, those with few requests would never earn a hedge.
func budgetOwner(r *core.Request) core.CustomerID {
	if r.Forward != nil {
		return ""
	}
	return r.Customer
}

// scheduleOverdueCheck calls checkOverdue when the call's newest attempt has
// lasted for the p95 of its kind of work.
func (d *Dispatcher) scheduleOverdueCheck(s *callState, c *Candidate) {
	p95, known := d.router.serviceTimes.timesFor(s.call.Request).hedgeDelay.estimate()
	if !known {
		return
	}
	number := s.attempts
	d.loop.After(p95, func() { d.checkOverdue(s, number, c, p95) })
}

// checkOverdue examines an attempt after the p95 of its kind of work. An
// attempt that is overdue is hedged, at the latest after twice the p95.
func (d *Dispatcher) checkOverdue(s *callState, number int, c *Candidate, p95 time.Duration) {
	r := s.call.Request
	inProgress := d.callsInProgress[r.ID] == s && s.runningAttempts[number] != nil
	isOnTime := !inProgress || s.call.Answer.Tokens() > 0
	if r.IsModelCall() && number == 1 {
		d.router.serviceTimes.timesFor(r).hedgeDelay.adjust(!isOnTime)
	}
	if isOnTime {
		if r.IsModelCall() {
			c.ejection.consecutiveOverdue = 0
		}
		return
	}
	d.router.recordOverdue(r, number, c, p95)
	if number > 1 || d.tryHedge(s, hedgeReserve) {
		return
	}
	d.loop.After(p95, func() {
		if d.callsInProgress[r.ID] == s && s.runningAttempts[number] != nil && s.call.Answer.Tokens() == 0 {
			d.tryHedge(s, 0)
		}
	})
}

// tryHedge starts a second attempt on another server if the request is
// repeatable, the budget allows it and the service has capacity. It reports
// whether it did.
func (d *Dispatcher) tryHedge(s *callState, reserve float64) bool {
	r := s.call.Request
	mayHedge := r.Repeatable && !s.isWaiting && s.attempts == 1 && s.maxAttempts() > 1 && s.call.Context.Err() == nil && r.Lease.IsValid() &&
		d.hedgeBudget.allows(r, reserve) && d.router.hasHedgeRoom(r)
	if !mayHedge {
		return false
	}
	other := d.router.pickHedgeServer(r, s.progress, s.tried)
	if other == nil || !d.startAttempt(s, other) {
		return false
	}
	d.hedgeBudget.consume(r)
	return true
}
