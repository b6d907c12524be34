// Package caller holds the decisions about callers' requests: admission, limits,
// queues, deadlines and idempotency records. The wire encoding is in callerhttp.
package caller

import (
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Capacities of the admission duty's rings.
const (
	callRingCapacity   = 4096
	configRingCapacity = 4 // only the newest set counts
	// MaxInFlight bounds the calls that a daemon has admitted and not yet
	// ended. The ring of ends has the same capacity, so an end is never refused.
	MaxInFlight = 16384
)

type endedCall struct {
	call *core.Call
	end  core.End
}

// customerState is what admission knows of one customer's work.
type customerState struct {
	inFlight int
}

// Admission is the duty that decides which calls may go on to a backend server.
type Admission struct {
	loop     *duty.Loop
	dispatch core.Submitter
	calls    *ring.Ring[*core.Call]
	ended    *ring.Ring[endedCall]
	configs  *ring.Ring[*core.ContractSet]

	contracts *core.ContractSet
	customers map[core.CustomerID]*customerState
	inFlight  int
}

// NewAdmission returns the admission duty, which hands admitted calls to dispatch.
func NewAdmission(clock duty.Clock, dispatch core.Submitter) *Admission {
	a := &Admission{
		loop:      duty.New("admission", clock),
		dispatch:  dispatch,
		calls:     ring.New[*core.Call]("admission.calls", callRingCapacity),
		ended:     ring.New[endedCall]("admission.ended", MaxInFlight),
		configs:   ring.New[*core.ContractSet]("admission.config", configRingCapacity),
		customers: map[core.CustomerID]*customerState{},
	}
	duty.On(a.loop, a.configs, func(s *core.ContractSet) { a.contracts = s })
	duty.On(a.loop, a.ended, a.handleEnd)
	duty.On(a.loop, a.calls, a.handleCall)
	return a
}

// Loop returns the duty's loop.
func (a *Admission) Loop() *duty.Loop { return a.loop }

// Submit queues the call. When it reports false the call was not taken.
func (a *Admission) Submit(c *core.Call) bool { return a.calls.TryPut(c) }

// SetContracts takes the contract set that is in force.
func (a *Admission) SetContracts(s *core.ContractSet) { a.configs.PutLatest(s) }

func (a *Admission) handleCall(c *core.Call) {
	if err := a.check(c.Request); err != nil {
		c.Fail(err)
		return
	}
	state := a.customer(c.Request.Customer)
	state.inFlight++
	a.inFlight++
	previous := c.OnEnd
	c.OnEnd = func(call *core.Call, e core.End) {
		a.ended.TryPut(endedCall{call: call, end: e})
		if previous != nil {
			previous(call, e)
		}
	}
	if !a.dispatch.Submit(c) {
		c.Fail(core.NotRunError(core.CodeOverloaded, "dispatch queue is full"))
	}
}

func (a *Admission) handleEnd(e endedCall) {
	a.customer(e.call.Request.Customer).inFlight--
	a.inFlight--
}

func (a *Admission) check(r *core.Request) *core.Error {
	contract := a.contracts.Lookup(r.Customer)
	if contract == nil {
		return core.NotRunError(core.CodeNotFound, "no contract is in force for customer %q", r.Customer)
	}
	if err := applyContract(contract, r); err != nil {
		return err
	}
	limit := contract.Limits.Concurrency
	if limit > 0 && a.customer(r.Customer).inFlight >= limit {
		return core.NotRunError(core.CodeLimited, "customer %q has %d requests in flight, its limit", r.Customer, limit)
	}
	if a.inFlight >= MaxInFlight {
		return core.NotRunError(core.CodeOverloaded, "daemon has %d requests in flight", a.inFlight)
	}
	return nil
}

func (a *Admission) customer(id core.CustomerID) *customerState {
	state := a.customers[id]
	if state == nil {
		state = &customerState{}
		a.customers[id] = state
	}
	return state
}
