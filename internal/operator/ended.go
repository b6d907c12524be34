package operator

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// Bounds on what a record keeps of a call's trace.
const (
	maxTraceLines     = 64
	maxTraceLineBytes = 256
)

// RequestRecord describes a request that has ended and why it went where it went.
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
	Status    int             `json:"status,omitempty"` // HTTP status of a plain service's answer
	Server    core.ServerID   `json:"server,omitempty"`
	Attempts  int             `json:"attempts"`
	Trace     []string        `json:"trace,omitempty"`
}

func newEnded(c *core.Call, e core.End, started, now time.Time) RequestRecord {
	r := c.Request
	ended := RequestRecord{
		ID:       core.RequestID(cut(string(r.ID))),
		Customer: core.CustomerID(cut(string(r.Customer))),
		Service:  cut(r.Service), Operation: cut(r.Operation), Model: cut(r.Model), Class: r.Class,
		Started: started, Latency: core.Duration(now.Sub(started)),
		Verdict: e.Verdict, Status: e.Status, Server: e.Server, Attempts: e.Attempts,
		Trace: boundedTrace(c.RoutingTrace),
	}
	if e.Err != nil {
		ended.Code = e.Err.Code
		ended.Reason = cut(e.Err.Error())
	}
	return ended
}

// boundedTrace copies the first lines, which hold the reasons of admission, and
// the last, which hold those of the last attempt.
func boundedTrace(trace []string) []string {
	kept := make([]string, 0, min(len(trace), maxTraceLines))
	skipped := len(trace) - maxTraceLines
	for i, line := range trace {
		if skipped > 0 && i >= maxTraceLines/2 && i < maxTraceLines/2+skipped {
			continue
		}
		kept = append(kept, cut(line))
	}
	return kept
}

// cut bounds text that callers choose, and copies it, so that a record does not
// keep a whole request body in memory.
func cut(line string) string {
	if len(line) > maxTraceLineBytes {
		line = strings.ToValidUTF8(line[:maxTraceLineBytes], "")
	}
	return strings.Clone(line)
}

// MaxDrainGrace is the longest time that a draining daemon still takes requests,
// so that the load balancer has time to see that it is not ready.
const MaxDrainGrace = 3 * time.Second

// Gate stands before admission. It counts the calls in flight, reports each end
// and refuses calls once the daemon has drained for the grace period. Any goroutine
// may use it.
type Gate struct {
	clock    duty.Clock
	grace    time.Duration
	next     core.Submitter
	report   func(RequestRecord)
	inFlight atomic.Int64
	drained  atomic.Int64 // Unix nanoseconds of the start of the drain; 0 when not draining
}

// NewGate returns a gate before next, which takes calls for the grace period
// after Drain. report must not wait.
func NewGate(clock duty.Clock, grace time.Duration, next core.Submitter, report func(RequestRecord)) *Gate {
	return &Gate{clock: clock, grace: min(grace, MaxDrainGrace), next: next, report: report}
}

// Submit passes the call on.
func (g *Gate) Submit(c *core.Call) bool {
	started := g.clock.Now()
	previous := c.OnEnd
	c.OnEnd = func(call *core.Call, e core.End) {
		g.inFlight.Add(-1)
		g.report(newEnded(call, e, started, g.clock.Now()))
		if previous != nil {
			previous(call, e)
		}
	}
	g.inFlight.Add(1)
	if since := g.drained.Load(); since != 0 && started.UnixNano()-since >= int64(g.grace) {
		refusal := core.NotRunError(core.CodeDraining, "the daemon is draining")
		refusal.RetryAfter = time.Second
		c.Fail(refusal)
		return true
	}
	if !g.next.Submit(c) {
		refusal := core.NotRunError(core.CodeOverloaded, "the daemon takes no more requests now")
		refusal.RetryAfter = time.Second
		c.Fail(refusal)
	}
	return true
}

// SetDraining starts to drain, or with false takes requests again.
func (g *Gate) SetDraining(on bool) {
	if !on {
		g.drained.Store(0)
		return
	}
	g.drained.CompareAndSwap(0, g.clock.Now().UnixNano())
}

// State returns whether the daemon drains and how many calls are in flight.
func (g *Gate) State() DrainState {
	return DrainState{Draining: g.drained.Load() != 0, InFlight: g.inFlight.Load()}
}

// DrainState says how far a drain is.
type DrainState struct {
	Draining bool  `json:"draining"`
	InFlight int64 `json:"inFlight"`
}
