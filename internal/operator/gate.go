package operator

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// Bounds on the size of a request record. maxTextBytes also applies to the texts
// that callers choose.
const (
	maxTraceLines = 64
	maxTextBytes  = 256
)

// RequestRecord describes an ended request: its outcome, the backend server that
// handled it and the trace of the routing decisions.
type RequestRecord struct {
	ID        core.RequestID  `json:"id"`
	Customer  core.CustomerID `json:"customer"`
	Service   string          `json:"service,omitempty"`
	Operation string          `json:"operation,omitempty"`
	Model     string          `json:"model,omitempty"`
	Class     core.Class      `json:"class,omitempty"`
	Started   time.Time       `json:"started"`
	Latency   core.Duration   `json:"latency"`
	Verdict   core.Verdict    `json:"verdict"`
	Code      core.Code       `json:"code,omitempty"` // of the error, if any
	Reason    string          `json:"reason,omitempty"`
	Status    int             `json:"status,omitempty"` // HTTP status of a plain service's answer, otherwise 0
	Server    core.ServerID   `json:"server,omitempty"`
	Attempts  int             `json:"attempts"`
	Trace     []string        `json:"trace,omitempty"`
}

func newRequestRecord(c *core.Call, end core.End, started, now time.Time) RequestRecord {
	r := c.Request
	record := RequestRecord{
		ID:       core.RequestID(truncateText(string(r.ID))),
		Customer: core.CustomerID(truncateText(string(r.Customer))),
		Service:  truncateText(r.Service), Operation: truncateText(r.Operation), Model: truncateText(r.Model), Class: r.Class,
		Started: started, Latency: core.Duration(now.Sub(started)),
		Verdict: end.Verdict, Status: end.Status, Server: end.Server, Attempts: end.Attempts,
		Trace: truncateTrace(c.RoutingTrace),
	}
	if end.Err != nil {
		record.Code = end.Err.Code
		record.Reason = truncateText(end.Err.Error())
	}
	return record
}

// truncateTrace copies the first lines, which explain the admission decision, and
// the last lines, which explain the last attempt.
func truncateTrace(trace []string) []string {
	kept := make([]string, 0, min(len(trace), maxTraceLines))
	skipped := len(trace) - maxTraceLines
	for i, line := range trace {
		if skipped > 0 && i >= maxTraceLines/2 && i < maxTraceLines/2+skipped {
			continue
		}
		kept = append(kept, truncateText(line))
	}
	return kept
}

// truncateText limits the length of text that callers choose. It copies the text,
// so that a record does not keep a whole request body in memory.
func truncateText(text string) string {
	if len(text) > maxTextBytes {
		text = strings.ToValidUTF8(text[:maxTextBytes], "")
	}
	return strings.Clone(text)
}

// MaxDrainGrace bounds how long a draining daemon still accepts requests while load
// balancers notice that it is not ready.
const MaxDrainGrace = 3 * time.Second

// Gate is a core.Submitter in front of admission. It counts the calls in flight,
// records each ended call and rejects calls once the daemon has been draining for
// the grace period. It is safe for concurrent use.
type Gate struct {
	clock         duty.Clock
	grace         time.Duration
	next          core.Submitter
	recordRequest func(RequestRecord)
	inFlight      atomic.Int64
	drainStarted  atomic.Int64 // Unix nanoseconds of the start of the drain; 0 when not draining
}

// NewGate returns a gate in front of next. The grace period is limited to
// MaxDrainGrace, and recordRequest must not block.
func NewGate(clock duty.Clock, grace time.Duration, next core.Submitter, recordRequest func(RequestRecord)) *Gate {
	return &Gate{clock: clock, grace: min(grace, MaxDrainGrace), next: next, recordRequest: recordRequest}
}

// Submit passes the call to admission, or fails it if the daemon is draining or
// the queue of calls is full. It always returns true, since every call gets an
// answer.
func (g *Gate) Submit(c *core.Call) bool {
	started := g.clock.Now()
	previous := c.OnEnd
	c.OnEnd = func(call *core.Call, e core.End) {
		g.inFlight.Add(-1)
		g.recordRequest(newRequestRecord(call, e, started, g.clock.Now()))
		if previous != nil {
			previous(call, e)
		}
	}
	g.inFlight.Add(1)
	if drainStarted := g.drainStarted.Load(); drainStarted != 0 && started.UnixNano()-drainStarted >= int64(g.grace) {
		refusal := core.NotRunError(core.CodeDraining, "the daemon is draining")
		refusal.RetryAfter = time.Second
		c.Fail(refusal)
		return true
	}
	if !g.next.Submit(c) {
		refusal := core.NotRunError(core.CodeOverloaded, "the daemon's request queue is full")
		refusal.RetryAfter = time.Second
		c.Fail(refusal)
	}
	return true
}

// SetDraining starts or ends a drain. Starting a drain again does not restart its
// grace period.
func (g *Gate) SetDraining(draining bool) {
	if !draining {
		g.drainStarted.Store(0)
		return
	}
	g.drainStarted.CompareAndSwap(0, g.clock.Now().UnixNano())
}

// State returns whether the daemon is draining and the number of calls in flight.
func (g *Gate) State() DrainState {
	return DrainState{Draining: g.drainStarted.Load() != 0, InFlight: g.inFlight.Load()}
}

// DrainState is the progress of a drain.
type DrainState struct {
	Draining bool  `json:"draining"`
	InFlight int64 `json:"inFlight"`
}
