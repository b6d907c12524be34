package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Attempt is one sending of a request to one backend server.
type Attempt struct {
	Number  int // starts at 1
	Call    *core.Call
	Server  core.ServerID
	Address string
	// Software is the software version of the server when the attempt was sent. It is
	// that of DescribedRun unless ReachRun finds another run.
	Software core.SoftwareVersion
	// DescribedRun is the run of the server that its entry described when the attempt
	// was started, and Entry is the right to rely on that; nil if it needs none.
	DescribedRun string
	Entry        *core.Lease
	// MustAskRun is set if the request may be sent only to the described run, or if
	// that run is known to have ended.
	MustAskRun bool
	// IsRunAsked is set if the server was asked for its run for this attempt.
	IsRunAsked bool
	// IsRunReplaced is set if the server is not the described run any more.
	IsRunReplaced bool
	// Incarnation is the last known run of the server when the attempt was
	// sent. A connection that is lost while the incarnation changes indicates a
	// crash.
	Incarnation string
	Context     context.Context // cancelled when the attempt is no longer needed
	// LeaseAge is the age of the last confirmation of the request's lease when the
	// attempt was sent; 0 for a request without a lease.
	LeaseAge time.Duration
	// Resume is the part of the answer that the caller has already received.
	Resume core.Progress
	// OnLoadReport receives the load that the server reports in the header of
	// its answer. It must not block; nil disables it.
	OnLoadReport func(Load)
	// OnRateLimit receives the rate limit that the server declares in the header of
	// its answer, also if it declares none. It must not block; nil disables it.
	OnRateLimit func(RateLimit)
	// OnLeaving is called if the server says with its answer that it is leaving. It must
	// not block; nil disables it.
	OnLeaving func()
	// OnRun receives the wall-clock time at which the request was sent, once the head of an
	// answer shows that the server ran it. It must not block; nil disables it.
	OnRun func(sentAt time.Time)
	// IsTooSlow reports whether a stream that produced this number of events in
	// the time since its first event should continue on another server. Nil
	// disables the check.
	IsTooSlow func(events int, took time.Duration) bool
}

// AttemptEnd is the outcome of an attempt.
type AttemptEnd struct {
	Attempt Attempt
	Verdict core.Verdict
	Err     *core.Error // nil when the answer is complete
	Tokens  []int32     // tokens that this attempt added to the answer
	// End is the caller's answer when Err is nil. If Err is set, End may hold
	// the server's own error answer, which the caller receives when no further
	// attempt is made.
	End core.End
	// Version is the weight version with which the engine began its answer; 0
	// if unknown.
	Version core.Version
	// Load is the load that the server reported with its answer; nil if it
	// reported none.
	Load     *Load
	Duration time.Duration
	// Crashed reports that the connection was lost because the server crashed.
	Crashed bool
	// Incarnation is the run of the server observed after a failure; empty if
	// none was observed.
	Incarnation string
	// Unreachable reports that no connection could be opened.
	Unreachable bool
	// Unsent reports that a connection was open and the request was not sent on it, since
	// the server is not the run that the attempt is meant for, or did not say which it is.
	Unsent bool
	// Endless reports that the server's answer exceeded its limits, as that of a
	// faulty server may. One such answer suffices to eject the server.
	Endless bool
	// CancelAtServer requests a cancellation over a new connection, because the
	// server may still be processing the request.
	CancelAtServer bool
}

// Exchanger carries out attempts. Its methods block and run on pool goroutines.
type Exchanger interface {
	Exchange(a Attempt) AttemptEnd
	// Cancel tells the server to stop processing the attempt's request. It uses
	// a connection of its own and returns within a bounded time.
	Cancel(a Attempt)
}

// runAttempt runs on a pool goroutine. It reports the end before it cancels the
// request at the server, so that an unresponsive server does not delay the
// caller.
func (d *Dispatcher) runAttempt(a Attempt, cancel context.CancelFunc) {
	end := d.exchanger.Exchange(a)
	cancel()
	d.ends.TryPut(end)
	if end.CancelAtServer {
		d.exchanger.Cancel(a)
	}
}

// startAttempt sends the call to the chosen server and reports whether a pool
// goroutine was free for it.
func (d *Dispatcher) startAttempt(s *callState, chosen *Candidate) bool {
	ctx, cancel := context.WithCancel(s.call.Context)
	number := s.attempts + 1
	server := chosen.Server.ID
	a := Attempt{
		Number:       number,
		Call:         s.call,
		Server:       server,
		Address:      chosen.Server.Address,
		Software:     chosen.Server.Description.Software,
		DescribedRun: chosen.Server.Description.Incarnation,
		Entry:        chosen.entry,
		MustAskRun:   !s.progress.IsEmpty() || d.health.isRunReplaced(chosen, d.loop.Clock().Now()),
		Incarnation:  d.health.incarnationOf(chosen.Server),
		Context:      ctx,
		LeaseAge:     leaseAge(s.call.Request),
		Resume:       s.progress,
		OnLoadReport: func(l Load) { d.answerLoads.TryPut(answerLoad{server: server, load: l}) },
		OnRateLimit:  d.rateLimitHandler(chosen),
		OnLeaving:    d.leavingHandler(&chosen.Server),
	}
	if onRun := d.onRun; onRun != nil {
		a.OnRun = func(sentAt time.Time) { onRun(s.call.Request, sentAt) }
	}
	if s.call.Request.Class == core.ClassRollout && number <= maxPaceMoves {
		a.IsTooSlow = d.slowStreamCheck(s.call.Request, a.Software)
	}
	for previous := 1; previous < number && len(s.runningAttempts) == 0; previous++ {
		if s.call.Answer.Transfer(previous, number) {
			break
		}
	}
	if d.attemptsInProgress >= MaxAttemptsInProgress || !d.tryGo(func() { d.runAttempt(a, cancel) }) {
		cancel()
		return false
	}
	s.attempts = number
	s.tried.record(a.Server)
	s.runningAttempts[number] = cancel
	d.attemptsInProgress++
	d.health.recordStart(a, s.call.Request.Fingerprint)
	d.recordStart(chosen)
	chosen.rate.use(d.loop.Clock().Now())
	chosen.countRateUsage(number)
	s.waitingSince = time.Time{}
	return true
}

// slowStreamCheck returns the check that moves a slow stream to another server. A stream
// stays where it is while the lease of its request does not allow another attempt.
func (d *Dispatcher) slowStreamCheck(r *core.Request, software core.SoftwareVersion) func(events int, took time.Duration) bool {
	pace := d.router.paceOf(r.Service, software)
	return func(events int, took time.Duration) bool { return r.Lease.IsValid() && pace.isTooSlow(events, took) }
}

// CheckSend returns an error if the attempt must not be sent any more: it was cancelled,
// or the lease of its request has expired, since it was started. Exchangers call it
// right before they write the request.
func (a *Attempt) CheckSend() *core.Error {
	if cause := core.ContextCause(a.Context); cause != nil {
		return ContextError(cause, core.NotRun, "before the request was sent")
	}
	return a.Call.Request.Lease.Check()
}

func leaseAge(r *core.Request) time.Duration {
	if r.Lease == nil {
		return 0
	}
	age, _ := r.Lease.Age()
	return age
}

func (s *callState) cancelAttempts() {
	for _, cancel := range s.runningAttempts {
		cancel()
	}
}
