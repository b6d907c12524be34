package caller

import (
	"context"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// Query asks admission for the state of a request or for a customer's contract.
type Query struct {
	Customer  core.CustomerID
	RequestID core.RequestID // empty asks for the contract
}

// Reply answers a Query.
type Reply struct {
	State    RequestState
	Contract *core.Contract // not to be changed
	Err      *core.Error
}

// RequestState is what a daemon knows of a request.
type RequestState struct {
	Phase   string
	Ended   bool
	Verdict core.Verdict // when Ended
	Code    core.Code    // of the error, when Ended with one
	Tokens  int          // generated so far
}

type requestKey struct {
	customer core.CustomerID
	id       core.RequestID
}

func keyOfRequest(r *core.Request) requestKey { return requestKey{r.Customer, r.ID} }

// Query puts the query and waits for the reply. Only handlers may call it.
func (a *Admission) Query(ctx context.Context, q Query) Reply {
	r, err := a.queries.Do(ctx, q)
	if err != nil {
		return Reply{Err: core.AsError(err)}
	}
	return r
}

func (a *Admission) handleQuery(ask duty.Query[Query, Reply]) {
	q := ask.Params
	contract := a.contracts.Lookup(q.Customer)
	if contract == nil {
		ask.Reply(Reply{Err: core.NotRunError(core.CodeNotFound, "no contract is in force for customer %q", q.Customer)})
		return
	}
	if q.RequestID == "" {
		ask.Reply(Reply{Contract: contract})
		return
	}
	key := requestKey{q.Customer, q.RequestID}
	if e := a.active[key]; e != nil {
		ask.Reply(Reply{State: RequestState{Phase: e.phase.String(), Tokens: e.call.Answer.Tokens()}})
		return
	}
	if state, ok := a.recent.Get(key); ok {
		ask.Reply(Reply{State: state})
		return
	}
	// Another daemon may have the request, so nothing is known about it.
	ask.Reply(Reply{Err: core.MayHaveRunError(core.CodeNotFound, "this daemon does not know request %s", q.RequestID)})
}

// forget moves the request from the active ones to the recent ones.
func (a *Admission) forget(e *entry, end core.End) {
	key := keyOfRequest(e.call.Request)
	if a.active[key] != e {
		return
	}
	delete(a.active, key)
	state := RequestState{Phase: phaseEnded.String(), Ended: true, Verdict: end.Verdict, Tokens: e.call.Answer.Tokens()}
	if end.Err != nil {
		state.Code = end.Err.Code
	}
	a.recent.Add(key, state)
}
