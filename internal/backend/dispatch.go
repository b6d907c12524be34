package backend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the dispatch duty.
const (
	callRingCapacity   = 4096
	serverRingCapacity = 256
	// toldRingCapacity bounds the loads that wait; one that is lost is told
	// again with the next answer.
	toldRingCapacity   = 4096
	reportRingCapacity = 256
	// MaxAttemptsInProgress bounds attempts of one daemon. The ring of attempt
	// ends has the same capacity, so an end is never refused.
	MaxAttemptsInProgress = 16384
	// maxCalls bounds the calls in progress. The ring of cancels has the same
	// capacity, so a cancel is never refused.
	maxCalls = 2 * MaxAttemptsInProgress
	// roomPerEnd is the number of waiting calls that try again when an attempt
	// has ended: one for its slot, and one in case the first cannot use it.
	roomPerEnd = 2
)

// callState is a call in progress.
type callState struct {
	call     *core.Call
	attempts int
	running  map[int]context.CancelFunc // attempts in progress, by number
	tokens   []int32                    // tokens that the caller has
	verdict  core.Verdict
	tried    *attempted
	backOff  *backoff.ExponentialBackOff

	waiting   bool // for a time or for room
	waits     int  // tells a timer of an earlier wait from the current one
	stopTimer func() bool
	stopWatch func() bool
}

// Dispatcher is the duty that sends calls to backend servers.
type Dispatcher struct {
	loop      *duty.Loop
	exchanger Exchanger
	tryGo     func(func()) bool // runs a blocking call on the pool
	filters   []Filter          // what a server can do
	router    *router
	hedges    *hedgeBudget

	calls   *ring.Ring[*core.Call]
	ends    *ring.Ring[AttemptEnd]
	servers *ring.Ring[[]Server]
	cancels *ring.Ring[core.RequestID]
	reports *ring.Ring[SuspectReport]
	others  *ring.Ring[[]PeerWork]
	cache   *ring.Ring[CacheEvents]
	told    *ring.Ring[toldLoad]

	table      map[core.ServerID]*Candidate
	order      []*Candidate // the listed servers in a fixed order
	round      uint64       // of table updates
	listedAt   time.Time    // of the first table
	inProgress map[core.RequestID]*callState
	running    int

	health          *health
	budget          *retryBudget
	parked          []*callState
	slotsDue        bool
	deliverSlots    func([]ServiceSlots)
	deliverSuspects func(SuspectReport)
	deliverWork     func([]OwnWork)
	onAttemptEnd    func(AttemptEnd)
}

// NewDispatcher returns the dispatch duty. The pool bounds the attempts in progress.
func NewDispatcher(clock duty.Clock, random *rand.Rand, exchanger Exchanger, pool *duty.Pool) *Dispatcher {
	d := &Dispatcher{
		loop:       duty.New("dispatch", clock),
		exchanger:  exchanger,
		tryGo:      pool.TryGo,
		filters:    CapabilityFilters(),
		router:     newRouter(clock.Now, random),
		hedges:     newHedgeBudget(),
		calls:      ring.New[*core.Call]("dispatch.calls", callRingCapacity),
		ends:       ring.New[AttemptEnd]("dispatch.ends", MaxAttemptsInProgress),
		servers:    ring.New[[]Server]("dispatch.servers", serverRingCapacity),
		cancels:    ring.New[core.RequestID]("dispatch.cancels", maxCalls),
		reports:    ring.New[SuspectReport]("dispatch.suspects", reportRingCapacity),
		others:     ring.New[[]PeerWork]("dispatch.others", reportRingCapacity),
		cache:      ring.New[CacheEvents]("dispatch.cache", reportRingCapacity),
		told:       ring.New[toldLoad]("dispatch.told", toldRingCapacity),
		table:      map[core.ServerID]*Candidate{},
		inProgress: map[core.RequestID]*callState{},
		health:     newHealth(clock.Now),
		budget:     newRetryBudget(clock.Now()),
	}
	d.bindRouter()
	duty.On(d.loop, d.servers, d.handleServers)
	duty.On(d.loop, d.ends, d.handleEnd)
	duty.On(d.loop, d.cancels, d.handleCancel)
	duty.On(d.loop, d.reports, d.handleReport)
	duty.On(d.loop, d.calls, d.handleCall)
	duty.On(d.loop, d.others, d.handleOtherWork)
	duty.On(d.loop, d.cache, d.handleCacheEvents)
	duty.On(d.loop, d.told, func(t toldLoad) { d.takeLoad(d.table[t.server], t.load) })
	d.loop.Every(suspectPeriod, d.suspectTick)
	d.loop.Every(routingPeriod, d.routingTick)
	return d
}

// Loop returns the duty's loop.
func (d *Dispatcher) Loop() *duty.Loop { return d.loop }

// SetAttemptEndHandler sets a function that is told of each attempt that has ended.
// It must not wait, and it is set before the duty starts.
func (d *Dispatcher) SetAttemptEndHandler(f func(AttemptEnd)) { d.onAttemptEnd = f }

// Submit queues the call. When it reports false the call was not taken.
func (d *Dispatcher) Submit(c *core.Call) bool { return d.calls.TryPut(c) }

// SetServers takes the backend servers as they are known now.
func (d *Dispatcher) SetServers(s []Server) { d.servers.PutLatest(s) }

func (d *Dispatcher) handleCall(c *core.Call) {
	if d.inProgress[c.Request.ID] != nil {
		c.Fail(core.NotRunError(core.CodeConflict, "request %s is in progress already", c.Request.ID))
		return
	}
	if len(d.inProgress) >= maxCalls {
		c.Fail(core.NotRunError(core.CodeOverloaded, "too many requests in progress"))
		return
	}
	s := &callState{call: c, verdict: core.NotRun, running: map[int]context.CancelFunc{}, tokens: slices.Clone(c.Request.Resume), tried: &attempted{servers: map[core.ServerID]bool{}}}
	d.inProgress[c.Request.ID] = s
	d.budget.firstAttempt()
	d.hedges.firstAttempt(c.Request)
	d.start(s)
}

// start begins the next attempt of the call, lets it wait, or ends it.
func (d *Dispatcher) start(s *callState) {
	if err := s.call.Context.Err(); err != nil {
		d.fail(s, ContextError(err, s.verdict, "before an attempt"))
		return
	}
	if d.refuseConvicted(s) {
		return
	}
	chosen, missing := d.choose(s)
	switch {
	case chosen == nil && missing == "":
		d.waitForServer(s)
	case chosen == nil:
		d.fail(s, &core.Error{Code: core.CodeNoCapability, Reason: fmt.Sprintf("no backend server has the %s that the request needs (service %q)", missing, s.call.Request.Service)})
	case d.startAttempt(s, chosen):
		d.watchAttempt(s, chosen)
	default:
		d.fail(s, &core.Error{Code: core.CodeOverloaded, Reason: "no worker is free for the request", RetryAfter: overloadedWait})
	}
}

// handleEnd takes the end of an attempt. The first whole answer ends the call;
// a failure counts once no other attempt is in progress.
func (d *Dispatcher) handleEnd(e AttemptEnd) {
	d.running--
	if d.onAttemptEnd != nil {
		d.onAttemptEnd(e)
	}
	d.observeEnd(e)
	roomForSuspects := d.health.ended(e)
	d.stopCopies()
	if s := d.inProgress[e.Attempt.Call.Request.ID]; s != nil {
		d.advance(s, e)
	}
	if roomForSuspects {
		d.unpark()
		return
	}
	d.unparkSome(roomPerEnd)
}

func (d *Dispatcher) advance(s *callState, e AttemptEnd) {
	delete(s.running, e.Attempt.Number)
	s.tokens = append(s.tokens, e.Tokens...)
	s.verdict = s.verdict.Combine(e.Verdict)
	if e.Err == nil {
		d.finish(s, e.End)
		return
	}
	if len(s.running) == 0 {
		d.retry(s, e)
	}
}

// fail ends the call with an error that carries the verdict of all its attempts.
func (d *Dispatcher) fail(s *callState, err *core.Error) {
	err.Verdict = s.verdict
	d.finish(s, core.End{Verdict: s.verdict, Err: err})
}

// failWith ends the call with the failure of its last attempt, and with the
// server's own answer if there was one.
func (d *Dispatcher) failWith(s *callState, e AttemptEnd) {
	e.Err.Verdict = s.verdict
	end := e.End
	end.Verdict, end.Err, end.Server = s.verdict, e.Err, e.Attempt.Server
	d.finish(s, end)
}

func (d *Dispatcher) finish(s *callState, e core.End) {
	delete(d.inProgress, s.call.Request.ID)
	s.stopAttempts()
	e.Attempts = s.attempts
	s.call.End(e)
}

// ContextError returns the error for a request whose context has ended.
func ContextError(cause error, verdict core.Verdict, when string) *core.Error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return &core.Error{Code: core.CodeDeadline, Verdict: verdict, Reason: "the deadline passed " + when}
	}
	return &core.Error{Code: core.CodeCancelled, Verdict: verdict, Reason: "the caller went away " + when}
}
