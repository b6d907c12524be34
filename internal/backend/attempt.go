package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Attempt is one try of a request at one backend server.
type Attempt struct {
	Number  int // from 1
	Call    *core.Call
	Server  core.ServerID
	Address string
	// Incarnation is the run of the server that the attempt was sent to, as
	// far as this daemon knows. A connection lost together with a change of it
	// is a crash.
	Incarnation string
	Context     context.Context // ends when the attempt is no longer wanted
	// ResumeTokens are the tokens that the caller already has.
	ResumeTokens []int32
	// OnLoadReport is told what the server says of its load as soon as its answer
	// begins. It never waits; nil if nobody wants to know.
	OnLoadReport func(Load)
	// IsTooSlow reports whether a stream with so many events in the time since
	// the first of them should go on at another server; nil for none.
	IsTooSlow func(events int, took time.Duration) bool
}

// AttemptEnd is the outcome of an attempt.
type AttemptEnd struct {
	Attempt Attempt
	Verdict core.Verdict
	Err     *core.Error // nil when the answer is whole
	Tokens  []int32     // tokens added to the answer by this attempt
	// End is what the caller gets when Err is nil. With an Err it may hold the
	// server's own failure, which the caller gets when no attempt is left.
	End core.End
	// Version is that of the weights under which an engine began its answer; 0
	// if it is not known.
	Version core.Version
	// Load is what the server said of its load with its answer; nil if nothing.
	Load     *Load
	Duration time.Duration
	// Crashed reports that the server lost the connection because it crashed.
	Crashed bool
	// Incarnation is the run of the server that was seen after a failure;
	// empty when none was.
	Incarnation string
	// Unreachable reports that no connection could be opened.
	Unreachable bool
	// CancelAtServer asks for a cancel over another connection, since the
	// server may still work on the request.
	CancelAtServer bool
}

// Exchanger carries out attempts. Its methods block, so they run on a pool worker.
type Exchanger interface {
	Exchange(a Attempt) AttemptEnd
	// Cancel tells the server to stop working on the attempt's request. It
	// uses a connection of its own and ends within a bounded time.
	Cancel(a Attempt)
}

// runAttempt runs on a pool worker. The end is reported before the cancel, so
// that a server that does not answer the cancel delays nobody.
func (d *Dispatcher) runAttempt(a Attempt, stop context.CancelFunc) {
	end := d.exchanger.Exchange(a)
	stop()
	d.ends.TryPut(end)
	if end.CancelAtServer {
		d.exchanger.Cancel(a)
	}
}

// startAttempt sends the call to the chosen server and reports whether a
// worker was free for it.
func (d *Dispatcher) startAttempt(s *callState, chosen *Candidate) bool {
	ctx, stop := context.WithCancel(s.call.Context)
	number := s.attempts + 1
	a := Attempt{
		Number:       number,
		Call:         s.call,
		Server:       chosen.Server.ID,
		Address:      chosen.Server.Address,
		Incarnation:  d.health.incarnation(chosen.Server),
		Context:      ctx,
		ResumeTokens: s.tokens,
		OnLoadReport: func(l Load) { d.told.TryPut(toldLoad{server: chosen.Server.ID, load: l}) },
	}
	if s.call.Request.Class == core.ClassRollout && number <= maxMoves {
		a.IsTooSlow = d.router.paceOf(s.call.Request.Service).isTooSlow
	}
	for previous := 1; previous < number && len(s.running) == 0; previous++ {
		if s.call.Answer.Transfer(previous, number) {
			break
		}
	}
	if d.running >= MaxAttemptsInProgress || !d.tryGo(func() { d.runAttempt(a, stop) }) {
		stop()
		return false
	}
	s.attempts = number
	s.tried.add(a.Server)
	s.running[number] = stop
	d.running++
	d.health.started(a, s.call.Request.Fingerprint)
	d.observeStart(chosen)
	return true
}

// stopAttempts ends the attempts of the call that are still in progress.
func (s *callState) stopAttempts() {
	for _, stop := range s.running {
		stop()
	}
}
