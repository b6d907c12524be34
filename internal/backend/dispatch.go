package backend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	// answerLoadRingCapacity bounds the queued load reports; a discarded one is
	// superseded by the report with the server's next answer.
	answerLoadRingCapacity = 4096
	reportRingCapacity     = 256
	// MaxAttemptsInProgress bounds the attempts in progress of one daemon. The
	// ring of attempt ends has the same capacity, so it never refuses an end.
	MaxAttemptsInProgress = 16384
	// maxCallsInProgress bounds the calls in progress. The ring of
	// cancellations has the same capacity, so it never refuses one.
	maxCallsInProgress = 2 * MaxAttemptsInProgress
	// retriedPerEnd is the number of waiting calls that are retried when an
	// attempt ends: one for the slot that became free, and one in case the
	// first cannot use it.
	retriedPerEnd = 2
)

// serverTable is the whole list of servers, or a confirmation that the one before it
// holds.
type serverTable struct {
	servers     []Server
	confirmedAt time.Time // zero for a list
}

// callState is the state of a call in progress.
type callState struct {
	call            *core.Call
	attempts        int
	unreached       int                        // attempts that opened no connection or sent nothing
	runningAttempts map[int]context.CancelFunc // cancel functions of attempts in progress, by number
	progress        core.Progress              // what the caller has received
	interruptedAt   time.Time                  // when the attempt that brought the newest events ended; zero before
	verdict         core.Verdict
	tried           *attemptedServers
	backOff         *backoff.ExponentialBackOff

	waitingSince     time.Time // begin of the first wait since the last attempt
	isWaiting        bool      // for a delay or for capacity
	waitGeneration   int       // distinguishes the timer of an earlier wait from the current one
	stopTimer        func() bool
	stopContextWatch func() bool
}

// Dispatcher is the duty that sends calls to backend servers and retries,
// hedges or ends them.
type Dispatcher struct {
	loop        *duty.Loop
	exchanger   Exchanger
	tryGo       func(func()) bool // runs a blocking function on the pool
	filters     []Filter          // capability filters
	router      *router
	hedgeBudget *hedgeBudget

	calls          *ring.Ring[*core.Call]
	ends           *ring.Ring[AttemptEnd]
	servers        *ring.Ring[serverTable]
	cancels        *ring.Ring[core.RequestID]
	suspectReports *ring.Ring[SuspectReport]
	suspectQueries *duty.QueryRing[struct{}, SuspectReport]
	peerWork       *ring.Ring[[]PeerWork]
	cacheEvents    *ring.Ring[CacheEvents]
	answerLoads    *ring.Ring[answerLoad]
	rateLimits     *ring.Ring[rateLimitReport]
	peerRateLimits *ring.Ring[[]ServerRateLimit]
	permitGrants   *ring.Ring[PermitGrant]

	candidates         map[core.ServerID]*Candidate
	listed             []*Candidate // the listed servers, in the order of the table
	tableVersion       uint64       // number of the newest table update
	firstTableAt       time.Time    // time of the first table update
	callsInProgress    map[core.RequestID]*callState
	attemptsInProgress int

	health                  *health
	retryBudget             *retryBudget
	waitQueue               []*callState
	slotsUpdatePending      bool
	deliverSlots            func([]ServiceSlots)
	sendSuspects            SuspectSender
	deliverSuspectSummary   func(SuspectReport)
	deliverOwnWork          func([]OwnWork)
	onAttemptEnd            func(AttemptEnd)
	onRun                   func(r *core.Request, sentAt time.Time)
	onLeaving               func(LeavingNotice)
	rateLimitObserver       RateLimitObserver
	permitSource            PermitSource
	permitRequestsScheduled bool
	rememberedLimits        map[core.ServerID]observedLimit // of servers that are not in the table
	limitOverload           map[string]time.Time            // by service: end of the immediate refusals
	newEntryLease           func() *core.Lease              // nil if entries are relied upon for ever
}

// NewDispatcher returns the dispatch duty. The size of the pool bounds the
// attempts in progress. sendSuspects passes reports to the MergeSuspectReport of all other
// daemons: a request that crashes servers may come to each of them.
func NewDispatcher(clock duty.Clock, random *rand.Rand, exchanger Exchanger, pool *duty.Pool, sendSuspects SuspectSender) *Dispatcher {
	d := &Dispatcher{
		loop:             duty.New("dispatch", clock),
		exchanger:        exchanger,
		sendSuspects:     sendSuspects,
		tryGo:            pool.TryGo,
		filters:          CapabilityFilters(),
		router:           newRouter(clock.Now, random),
		hedgeBudget:      newHedgeBudget(),
		calls:            ring.New[*core.Call]("dispatch.calls", callRingCapacity),
		ends:             ring.New[AttemptEnd]("dispatch.ends", MaxAttemptsInProgress),
		servers:          ring.New[serverTable]("dispatch.servers", serverRingCapacity),
		cancels:          ring.New[core.RequestID]("dispatch.cancels", maxCallsInProgress),
		suspectReports:   ring.New[SuspectReport]("dispatch.suspects", reportRingCapacity),
		suspectQueries:   duty.NewQueryRing[struct{}, SuspectReport]("dispatch.suspectqueries", reportRingCapacity),
		peerWork:         ring.New[[]PeerWork]("dispatch.others", reportRingCapacity),
		cacheEvents:      ring.New[CacheEvents]("dispatch.cache", reportRingCapacity),
		answerLoads:      ring.New[answerLoad]("dispatch.told", answerLoadRingCapacity),
		peerRateLimits:   ring.New[[]ServerRateLimit]("dispatch.peerlimits", reportRingCapacity),
		permitGrants:     ring.New[PermitGrant]("dispatch.permits", permitGrantRingCapacity),
		permitSource:     &localPermits{now: clock.Now, buckets: rateBuckets{}},
		rateLimits:       ring.New[rateLimitReport]("dispatch.limits", rateLimitRingCapacity),
		candidates:       map[core.ServerID]*Candidate{},
		rememberedLimits: map[core.ServerID]observedLimit{},
		limitOverload:    map[string]time.Time{},
		callsInProgress:  map[core.RequestID]*callState{},
		health:           newHealth(clock.Now),
		retryBudget:      newRetryBudget(clock.Now()),
	}
	d.health.onCrash = d.handleCrash
	d.bindRouter()
	duty.On(d.loop, d.servers, d.handleTable)
	duty.On(d.loop, d.ends, d.handleAttemptEnd)
	duty.On(d.loop, d.cancels, d.handleCancel)
	duty.On(d.loop, d.suspectReports, d.handleSuspectReport)
	duty.OnQuery(d.loop, d.suspectQueries, func(q duty.Query[struct{}, SuspectReport]) {
		q.Reply(d.health.suspects.Report(d.loop.Clock().Now()))
	})
	duty.On(d.loop, d.calls, d.handleCall)
	duty.On(d.loop, d.peerWork, d.handlePeerWork)
	duty.On(d.loop, d.cacheEvents, d.handleCacheEvents)
	duty.On(d.loop, d.answerLoads, func(t answerLoad) { d.applyLoad(d.candidates[t.server], t.load) })
	duty.On(d.loop, d.rateLimits, d.handleRateLimit)
	duty.On(d.loop, d.peerRateLimits, d.handlePeerRateLimits)
	duty.On(d.loop, d.permitGrants, d.handlePermitGrant)
	d.loop.Every(suspectPeriod, d.expireSuspects)
	d.loop.Every(routingPeriod, d.routingTick)
	d.loop.Every(rateUsagePeriod, d.reportRateUsage)
	d.loop.Every(rememberedLimitTTL, d.forgetOldLimits)
	return d
}

// Loop returns the duty's loop, which the caller runs.
func (d *Dispatcher) Loop() *duty.Loop { return d.loop }

// SetAttemptEndHandler sets a function that receives the end of each attempt.
// The function must not block. SetAttemptEndHandler must be called before the
// duty starts.
func (d *Dispatcher) SetAttemptEndHandler(f func(AttemptEnd)) { d.onAttemptEnd = f }

// SetRunHandler sets a function that receives the request and the time at which it was
// sent, for each attempt that a server is known to have run. The function runs on the
// goroutine of the attempt and must not block. SetRunHandler must be called before the
// duty starts.
func (d *Dispatcher) SetRunHandler(f func(r *core.Request, sentAt time.Time)) { d.onRun = f }

// Submit queues the call. It returns false if the ring is full; the call is
// then not accepted.
func (d *Dispatcher) Submit(c *core.Call) bool { return d.calls.TryPut(c) }

// SetServers replaces the table of backend servers.
func (d *Dispatcher) SetServers(s []Server) { d.servers.PutLatest(serverTable{servers: s}) }

func (d *Dispatcher) handleCall(c *core.Call) {
	if d.callsInProgress[c.Request.ID] != nil {
		c.Fail(core.NotRunError(core.CodeConflict, "request %s is in progress already", c.Request.ID))
		return
	}
	if len(d.callsInProgress) >= maxCallsInProgress {
		c.Fail(core.NotRunError(core.CodeOverloaded, "too many requests in progress"))
		return
	}
	s := &callState{call: c, verdict: core.NotRun, runningAttempts: map[int]context.CancelFunc{}, progress: c.Request.Resume.Clone(), tried: &attemptedServers{servers: map[core.ServerID]bool{}}}
	if !s.progress.IsEmpty() {
		s.progress.Software = d.softwareOf(c.Request)
		s.interruptedAt = d.loop.Clock().Now()
	}
	d.callsInProgress[c.Request.ID] = s
	d.retryBudget.creditFirstAttempt()
	d.hedgeBudget.creditFirstAttempt(c.Request)
	d.startNextAttempt(s)
}

// startNextAttempt starts the next attempt of the call, makes it wait, or ends
// it.
func (d *Dispatcher) startNextAttempt(s *callState) {
	if err := s.call.Context.Err(); err != nil {
		d.fail(s, ContextError(err, s.verdict, "before an attempt"))
		return
	}
	if err := s.call.Request.Lease.Check(); err != nil {
		d.fail(s, err)
		return
	}
	if d.refuseQuarantined(s) {
		return
	}
	if !d.router.canContinue(s.call.Request, s.progress) {
		d.fail(s, notContinuedError(s.progress, "no backend server runs its software version %q any more"))
		return
	}
	chosen, missing := d.chooseServer(s)
	switch {
	case chosen == nil && missing == "":
		d.waitForServer(s)
	case chosen == nil:
		d.fail(s, &core.Error{Code: core.CodeNoCapability, Reason: fmt.Sprintf("no backend server meets a requirement of the request: %s (service %q)", missing, s.call.Request.Service)})
	case d.startAttempt(s, chosen):
		d.scheduleOverdueCheck(s, chosen)
	default:
		d.fail(s, &core.Error{Code: core.CodeOverloaded, Reason: "too many attempts in progress", RetryAfter: overloadedRetryAfter})
	}
}

// handleAttemptEnd applies the end of an attempt. The first complete answer
// ends the call; a failure takes effect only when no other attempt is in
// progress.
func (d *Dispatcher) handleAttemptEnd(e AttemptEnd) {
	d.attemptsInProgress--
	if d.onAttemptEnd != nil {
		d.onAttemptEnd(e)
	}
	d.recordEnd(e)
	maySuspectsRun := d.health.recordEnd(e)
	d.cancelCopies()
	if s := d.callsInProgress[e.Attempt.Call.Request.ID]; s != nil {
		d.applyAttemptEnd(s, e)
	}
	if maySuspectsRun {
		d.retryAllWaiting()
		return
	}
	d.retryOldestWaiting(retriedPerEnd)
}

func (d *Dispatcher) applyAttemptEnd(s *callState, e AttemptEnd) {
	delete(s.runningAttempts, e.Attempt.Number)
	if len(e.Tokens) > 0 {
		s.progress, s.interruptedAt = s.progress.Append(e.Attempt.Software, e.Tokens...), d.loop.Clock().Now()
	}
	s.verdict = s.verdict.Combine(e.Verdict)
	if e.Unreachable || e.Unsent {
		s.unreached++
	}
	if e.Err == nil {
		d.finish(s, e.End)
		return
	}
	if len(s.runningAttempts) == 0 {
		d.retry(s, e)
	}
}

// fail ends the call with an error that carries the combined verdict of all its
// attempts.
func (d *Dispatcher) fail(s *callState, err *core.Error) {
	err.Verdict = s.verdict
	d.finish(s, core.End{Verdict: s.verdict, Err: err})
}

// failWithAttempt ends the call with the failure of its last attempt, and with
// the server's own error answer if there was one.
func (d *Dispatcher) failWithAttempt(s *callState, e AttemptEnd) {
	e.Err.Verdict = s.verdict
	end := e.End
	end.Verdict, end.Err, end.Server = s.verdict, e.Err, e.Attempt.Server
	d.finish(s, end)
}

func (d *Dispatcher) finish(s *callState, e core.End) {
	delete(d.callsInProgress, s.call.Request.ID)
	s.cancelAttempts()
	e.Attempts = s.attempts
	s.call.End(e)
}

// ContextError returns the error for a request whose context has ended:
// CodeDeadline after its deadline, CodeCancelled otherwise.
func ContextError(cause error, verdict core.Verdict, when string) *core.Error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return &core.Error{Code: core.CodeDeadline, Verdict: verdict, Reason: "the deadline passed " + when}
	}
	return &core.Error{Code: core.CodeCancelled, Verdict: verdict, Reason: "the caller cancelled the request " + when}
}
