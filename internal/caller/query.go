package caller

import (
	"context"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// Query requests the state of a request or the contract of a customer.
type Query struct {
	Customer  core.CustomerID
	RequestID core.RequestID // empty requests the contract
}

// Reply is the result of a Query.
type Reply struct {
	State    RequestState
	Contract *core.Contract // shared and read-only
	Err      *core.Error
}

// RequestState is the state of a request at this daemon.
type RequestState struct {
	Phase   string
	Ended   bool
	Verdict core.Verdict // if Ended
	Code    core.Code    // if Ended with an error
	Tokens  int          // generated so far
}

type requestKey struct {
	customer core.CustomerID
	id       core.RequestID
}

func requestKeyOf(r *core.Request) requestKey { return requestKey{r.Customer, r.ID} }

// Query sends the query to the duty and waits for the reply. Only handlers may
// call it, not duties.
func (a *Admission) Query(ctx context.Context, q Query) Reply {
	r, err := a.queries.Do(ctx, q)
	if err != nil {
		return Reply{Err: core.AsError(err)}
	}
	return r
}

func (a *Admission) handleQuery(query duty.Query[Query, Reply]) {
	params := query.Params
	contract := a.contracts.Lookup(params.Customer)
	if contract == nil {
		query.Reply(Reply{Err: core.NotRunError(core.CodeNotFound, "no contract is in force for customer %q", params.Customer)})
		return
	}
	if params.RequestID == "" {
		query.Reply(Reply{Contract: contract})
		return
	}
	key := requestKey{params.Customer, params.RequestID}
	if active := a.activeCalls[key]; active != nil {
		query.Reply(Reply{State: RequestState{Phase: active.phase.String(), Tokens: active.call.Answer.Tokens()}})
		return
	}
	if state, ok := a.recentStates.Get(key); ok {
		query.Reply(Reply{State: state})
		return
	}
	// MayHaveRun, because another daemon may have the request.
	query.Reply(Reply{Err: core.MayHaveRunError(core.CodeNotFound, "this daemon does not know request %s", params.RequestID)})
}

// moveToRecent moves an ended request from the active to the recent requests.
func (a *Admission) moveToRecent(active *activeCall, end core.End) {
	key := requestKeyOf(active.call.Request)
	if a.activeCalls[key] != active {
		return
	}
	delete(a.activeCalls, key)
	state := RequestState{Phase: phaseEnded.String(), Ended: true, Verdict: end.Verdict, Tokens: active.call.Answer.Tokens()}
	if end.Err != nil {
		state.Code = end.Err.Code
	}
	a.recentStates.Add(key, state)
}
