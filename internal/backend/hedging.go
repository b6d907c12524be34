package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// maxHedgeShare bounds the extra attempts of hedging, whatever the contract.
	maxHedgeShare = 0.05
	// hedgeBurst bounds the hedges that a customer can save up.
	hedgeBurst = 20
	// hedgeReserve is kept for attempts that have lasted twice the p95. One in
	// 20 attempts reaches the p95, which uses up the whole budget, so that
	// nothing is left when a server slows down.
	hedgeReserve = hedgeBurst / 2
	// maxHedgeDepth is the mean work per slot of a service above which nothing
	// is hedged, since extra work makes an overload worse.
	maxHedgeDepth = 0.7
	// maxHedgeCustomers bounds the memory for budgets.
	maxHedgeCustomers = 4096
)

// hedgeBudget is a token bucket per customer that first attempts fill and
// hedges empty. It starts empty, so the share holds from the first attempt on.
type hedgeBudget struct {
	tokens map[core.CustomerID]float64
}

func newHedgeBudget() *hedgeBudget { return &hedgeBudget{tokens: map[core.CustomerID]float64{}} }

func (b *hedgeBudget) firstAttempt(r *core.Request) {
	share := min(r.HedgeShare, maxHedgeShare)
	if share <= 0 {
		return
	}
	if len(b.tokens) >= maxHedgeCustomers {
		clear(b.tokens)
	}
	b.tokens[r.Customer] = min(b.tokens[r.Customer]+share, hedgeBurst)
}

// has reports whether a hedge is in the budget and leaves the reserve.
func (b *hedgeBudget) has(r *core.Request, reserve float64) bool {
	return b.tokens[r.Customer] >= 1+reserve
}

func (b *hedgeBudget) take(r *core.Request) { b.tokens[r.Customer]-- }

// watchAttempt calls attemptOverdue when the call's newest attempt has lasted
// the p95 of its kind of work.
func (d *Dispatcher) watchAttempt(s *callState, c *Candidate) {
	delay, known := d.router.times.of(s.call.Request).delay.delay()
	if !known {
		return
	}
	number := s.attempts
	d.loop.After(delay, func() { d.attemptDue(s, number, c, delay) })
}

// attemptDue takes an attempt that has ended or lasted the p95.
func (d *Dispatcher) attemptDue(s *callState, number int, c *Candidate, delay time.Duration) {
	r := s.call.Request
	inProgress := d.inProgress[r.ID] == s && s.running[number] != nil
	started := !inProgress || s.call.Answer.Tokens() > 0
	if r.IsModelCall() && number == 1 {
		d.router.times.of(r).delay.move(!started)
	}
	if started {
		if r.IsModelCall() {
			c.use.overdueRow = 0
		}
		return
	}
	d.router.overdue(r, number, c, delay)
	if number > 1 || d.hedge(s, hedgeReserve) {
		return
	}
	d.loop.After(delay, func() {
		if d.inProgress[r.ID] == s && s.running[number] != nil && s.call.Answer.Tokens() == 0 {
			d.hedge(s, 0)
		}
	})
}

// hedge starts a second attempt on another server, if the work is repeatable,
// the budget allows it and the service has room. It reports whether it did.
func (d *Dispatcher) hedge(s *callState, reserve float64) bool {
	r := s.call.Request
	mayHedge := r.Repeatable && !s.waiting && s.attempts == 1 && s.maxAttempts() > 1 && s.call.Context.Err() == nil &&
		d.hedges.has(r, reserve) && d.router.hasRoom(r)
	if !mayHedge {
		return false
	}
	other := d.router.pickOther(r, s.tried)
	if other == nil || !d.startAttempt(s, other) {
		return false
	}
	d.hedges.take(r)
	return true
}
