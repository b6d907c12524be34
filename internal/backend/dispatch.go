package backend

import (
	"math/rand/v2"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the dispatch duty.
const (
	callRingCapacity   = 4096
	serverRingCapacity = 256
	// MaxAttemptsInProgress bounds attempts of one daemon. The ring of attempt
	// ends has the same capacity, so an end is never refused.
	MaxAttemptsInProgress = 16384
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// serviceTimeWeight is the weight of the newest attempt in the mean.
	serviceTimeWeight = 0.1
)

type callState struct {
	call     *core.Call
	attempts int
	tokens   []int32 // tokens that the caller has
	verdict  core.Verdict
	tried    map[core.ServerID]bool
}

// Dispatch is the duty that sends calls to backend servers.
type Dispatch struct {
	loop      *duty.Loop
	exchanger Exchanger
	pool      *duty.Pool
	picker    Picker
	scorer    Scorer
	filters   []Filter

	calls   *ring.Ring[*core.Call]
	ends    *ring.Ring[AttemptEnd]
	servers *ring.Ring[[]Server]

	table      map[core.ServerID]*Candidate
	order      []*Candidate // the table in a fixed order
	inProgress map[core.RequestID]*callState
	running    int
	eligible   []*Candidate // scratch space of choose
}

// NewDispatch returns the dispatch duty. The pool bounds the attempts in progress.
func NewDispatch(clock duty.Clock, random *rand.Rand, exchanger Exchanger, pool *duty.Pool) *Dispatch {
	d := &Dispatch{
		loop:       duty.New("dispatch", clock),
		exchanger:  exchanger,
		pool:       pool,
		picker:     TwoChoicePicker{Random: random},
		scorer:     OutstandingScorer{},
		filters:    CapabilityFilters(),
		calls:      ring.New[*core.Call]("dispatch.calls", callRingCapacity),
		ends:       ring.New[AttemptEnd]("dispatch.ends", MaxAttemptsInProgress),
		servers:    ring.New[[]Server]("dispatch.servers", serverRingCapacity),
		table:      map[core.ServerID]*Candidate{},
		inProgress: map[core.RequestID]*callState{},
	}
	duty.On(d.loop, d.servers, d.handleServers)
	duty.On(d.loop, d.ends, d.handleEnd)
	duty.On(d.loop, d.calls, d.handleCall)
	return d
}

// Loop returns the duty's loop.
func (d *Dispatch) Loop() *duty.Loop { return d.loop }

// Submit queues the call. When it reports false the call was not taken.
func (d *Dispatch) Submit(c *core.Call) bool { return d.calls.TryPut(c) }

// SetServers takes the backend servers as they are known now.
func (d *Dispatch) SetServers(s []Server) { d.servers.PutLatest(s) }

func (d *Dispatch) handleServers(servers []Server) {
	table := make(map[core.ServerID]*Candidate, len(servers))
	d.order = d.order[:0]
	for _, s := range servers {
		candidate := d.table[s.ID]
		if candidate == nil {
			candidate = &Candidate{}
		}
		candidate.Server = s
		table[s.ID] = candidate
		d.order = append(d.order, candidate)
	}
	d.table = table
}

func (d *Dispatch) handleCall(c *core.Call) {
	if d.inProgress[c.Request.ID] != nil {
		c.Fail(core.NotRunError(core.CodeConflict, "request %s is in progress already", c.Request.ID))
		return
	}
	state := &callState{call: c, verdict: core.NotRun, tried: map[core.ServerID]bool{}}
	d.inProgress[c.Request.ID] = state
	d.start(state)
}

// start begins the next attempt of the call, or ends it.
func (d *Dispatch) start(s *callState) {
	r := s.call.Request
	if err := s.call.Context.Err(); err != nil {
		d.finish(s, core.End{Verdict: s.verdict, Err: &core.Error{Code: core.CodeDeadline, Verdict: s.verdict, Reason: "deadline passed before an attempt", Err: err}})
		return
	}
	chosen, missing := d.choose(s)
	if chosen == nil {
		d.finish(s, core.End{Verdict: s.verdict, Err: &core.Error{
			Code: core.CodeNoCapability, Verdict: s.verdict, Reason: "no backend server has the " + missing + " that the request needs",
		}})
		return
	}
	if d.running >= MaxAttemptsInProgress {
		d.finish(s, core.End{Verdict: s.verdict, Err: &core.Error{Code: core.CodeOverloaded, Verdict: s.verdict, Reason: "too many attempts in progress", RetryAfter: time.Second}})
		return
	}
	s.attempts++
	s.tried[chosen.Server.ID] = true
	if s.attempts > 1 {
		s.call.Answer.Transfer(s.attempts-1, s.attempts)
	}
	a := Attempt{
		Number:       s.attempts,
		Call:         s.call,
		Server:       chosen.Server.ID,
		Address:      chosen.Server.Address,
		Context:      s.call.Context,
		ResumeTokens: s.tokens,
	}
	if !d.pool.TryGo(func() { d.ends.TryPut(d.exchanger.Exchange(a)) }) {
		d.finish(s, core.End{Verdict: s.verdict, Err: &core.Error{Code: core.CodeOverloaded, Verdict: s.verdict, Reason: "no worker is free for " + string(r.ID), RetryAfter: time.Second}})
		return
	}
	chosen.Outstanding++
	d.running++
}

// choose returns the server for the next attempt, or what no server has.
func (d *Dispatch) choose(s *callState) (chosen *Candidate, missing string) {
	r := s.call.Request
	d.eligible = append(d.eligible[:0], d.order...)
	for _, f := range d.filters {
		kept := d.eligible[:0]
		for _, c := range d.eligible {
			if f.Keep(r, c) {
				kept = append(kept, c)
			}
		}
		d.eligible = kept
		if len(kept) == 0 {
			return nil, f.Reason()
		}
	}
	d.eligible = preferUntried(d.eligible, s.tried)
	i := d.picker.Pick(r, d.eligible, d.scorer)
	return d.eligible[i], ""
}

// preferUntried drops the servers that were tried, unless all were.
func preferUntried(candidates []*Candidate, tried map[core.ServerID]bool) []*Candidate {
	if len(tried) == 0 {
		return candidates
	}
	untried := make([]*Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !tried[c.Server.ID] {
			untried = append(untried, c)
		}
	}
	if len(untried) == 0 {
		return candidates
	}
	return untried
}

func (d *Dispatch) handleEnd(e AttemptEnd) {
	d.running--
	if c := d.table[e.Attempt.Server]; c != nil {
		c.Outstanding--
		c.ServiceTime += time.Duration(serviceTimeWeight * float64(e.Duration-c.ServiceTime))
	}
	s := d.inProgress[e.Attempt.Call.Request.ID]
	if s == nil {
		return
	}
	s.tokens = append(s.tokens, e.Tokens...)
	s.verdict = s.verdict.Combine(e.Verdict)
	if e.Err == nil {
		d.finish(s, e.End)
		return
	}
	if d.mayRetry(s, e) {
		d.start(s)
		return
	}
	e.Err.Verdict = s.verdict
	d.finish(s, core.End{Verdict: s.verdict, Err: e.Err, Server: e.Attempt.Server})
}

func (d *Dispatch) mayRetry(s *callState, e AttemptEnd) bool {
	if s.attempts >= maxAttempts || s.call.Context.Err() != nil {
		return false
	}
	return e.Verdict == core.NotRun || s.call.Request.Repeatable
}

func (d *Dispatch) finish(s *callState, e core.End) {
	delete(d.inProgress, s.call.Request.ID)
	e.Attempts = s.attempts
	if e.Verdict == core.Ran {
		e.Err = nil
	}
	s.call.End(e)
}
