package backend

import (
	"container/heap"
	"context"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// simClock is a clock whose timers fire in the order of virtual time.
type simClock struct {
	now    time.Time
	events simEvents
	nextID uint64
}

type simEvent struct {
	at time.Time
	id uint64
	f  func()
}

type simEvents []*simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].id < e[j].id)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(*simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (c *simClock) Now() time.Time { return c.now }

func (c *simClock) AfterFunc(d time.Duration, f func()) func() bool {
	c.nextID++
	e := &simEvent{at: c.now.Add(d), id: c.nextID, f: f}
	heap.Push(&c.events, e)
	return func() bool {
		e.f = nil
		return true
	}
}

// simOptions describes a deployment and its load.
type simOptions struct {
	daemons, plain, engines int
	slots                   int
	utilisation             float64 // of the plain servers at normal speed
	serviceTime             time.Duration
	reportLag               time.Duration
	skew                    func(server int) time.Duration // of the server's clock
	hedgeShare              float64
	repeatable              bool
	configure               func(*router) // replaces the picker
	slowdown                func(s *sim, server int) float64
	rateLimit               func(s *sim, server int) RateLimit // that the server declares; nil for none
	isDown                  func(s *sim, daemon int) bool      // whether the daemon answers no permit requests; nil for none
	duration, warmUp        time.Duration
}

// sim runs the dispatch duties of several daemons against simulated servers. An
// attempt that a daemon cancels continues on its server, as it does on plain
// services.
type sim struct {
	simOptions
	clock             *simClock
	random            *rand.Rand
	daemons           []*Dispatcher
	limiters          []*RateLimiter // of the daemons
	servers           []*simServer
	starting          *simAttempt
	attemptsByRequest map[core.RequestID][]*simAttempt
	latency           *hdrhistogram.Histogram
	calls             int
	attempts          int
	permitRequests    int // between daemons
	failed            int
}

type simServer struct {
	index           int
	busy            int
	queue           []*simAttempt
	received        int // attempts received
	arrivals        []simArrival
	maxWork         int
	limitKnownAt    map[*Dispatcher]time.Time // first answer with a rate limit
	reportedRunning int                       // at the last report
	reportedWaiting int
}

// simArrival is the arrival of an attempt at a server.
type simArrival struct {
	at        time.Time
	knewLimit bool // the daemon had an answer with a rate limit limitNoticePeriod before
}

type simAttempt struct {
	daemon    *Dispatcher
	attempt   Attempt
	startedAt time.Time
	end       *AttemptEnd
	resume    func() (struct{}, bool)
	yield     func(struct{}) bool
}

const (
	simNetworkDelay      = 500 * time.Microsecond // one way
	simReportPeriod      = 500 * time.Millisecond
	simPeerWorkPeriod    = 500 * time.Millisecond
	simSigma             = 0.5 // standard deviation of the logarithm of service times
	simMaxLatencyMicros  = 60_000_000
	simSignificantDigits = 3
)

func newSim(tb testing.TB, o simOptions) *sim {
	tb.Helper()
	s := &sim{
		simOptions: o, clock: &simClock{now: time.Unix(1e9, 0)}, random: rand.New(rand.NewPCG(seed, 1)),
		attemptsByRequest: map[core.RequestID][]*simAttempt{}, latency: hdrhistogram.New(1, simMaxLatencyMicros, simSignificantDigits),
	}
	pool, err := duty.NewPool("unused", 1)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(pool.Release)
	for i := range o.plain + o.engines {
		s.servers = append(s.servers, &simServer{index: i})
	}
	for i := range o.daemons {
		d := NewDispatcher(s.clock, rand.New(rand.NewPCG(seed, uint64(i)+2)), s, pool, func(SuspectReport) {})
		d.tryGo = func(f func()) bool { return s.startAttempt(d, f) }
		if o.configure != nil {
			o.configure(d.router)
		}
		s.daemons = append(s.daemons, d)
		s.addRateLimiter(d)
	}
	s.deliverReports()
	s.exchangePeerWork()
	return s
}

func (s *sim) every(period time.Duration, f func()) {
	f()
	s.clock.AfterFunc(period, func() { s.every(period, f) })
}

// deliverReports delivers the same delayed report of every server to all
// daemons.
func (s *sim) deliverReports() {
	s.every(simReportPeriod, func() {
		for _, server := range s.servers {
			server.reportedRunning, server.reportedWaiting = server.busy, len(server.queue)
		}
		measuredAt := s.clock.now
		reports := s.serverReports(measuredAt)
		s.clock.AfterFunc(s.reportLag, func() {
			for _, d := range s.daemons {
				received := make([]Server, len(reports))
				copy(received, reports)
				for i := range received {
					received[i].Load.ReceivedAt = s.clock.now
				}
				d.SetServers(received)
			}
		})
	})
}

func (s *sim) serverReports(measuredAt time.Time) []Server {
	var reports []Server
	for i, server := range s.servers {
		at := measuredAt
		if s.skew != nil {
			at = at.Add(s.skew(i))
		}
		description := Description{Service: "desk", Incarnation: "1", Operations: []string{"look"}, Slots: s.slots}
		if i >= s.plain {
			description = Description{Service: "wear", Incarnation: "1", Models: []ModelDescription{{Name: "wear", Version: 1}}, Slots: 8}
		}
		reports = append(reports, Server{
			ID: core.ServerID(fmt.Sprintf("s%03d", i)), Address: fmt.Sprint(i), Description: description,
			Load: Load{MeasuredAt: at, Running: server.reportedRunning, Waiting: server.reportedWaiting},
		})
	}
	return reports
}

// exchangePeerWork delivers the outstanding work of the other daemons to each
// daemon.
func (s *sim) exchangePeerWork() {
	s.every(simPeerWorkPeriod, func() {
		for _, d := range s.daemons {
			var work []PeerWork
			for _, c := range d.listed {
				n := 0
				for _, other := range s.daemons {
					if candidate := other.candidates[c.Server.ID]; other != d && candidate != nil {
						n += candidate.Outstanding
					}
				}
				work = append(work, PeerWork{Server: c.Server.ID, Outstanding: n})
			}
			d.UpdatePeerWork(work)
		}
	})
}

// startAttempt starts an attempt. A coroutine stands for its pool goroutine;
// the simulation resumes it when the server has answered.
func (s *sim) startAttempt(d *Dispatcher, f func()) bool {
	j := &simAttempt{daemon: d, startedAt: s.clock.now}
	j.resume, _ = iter.Pull(func(yield func(struct{}) bool) {
		j.yield = yield
		f()
	})
	s.starting = j
	j.resume()
	return true
}

// Exchange sends the attempt to its server and waits for the answer.
func (s *sim) Exchange(a Attempt) AttemptEnd {
	j := s.starting
	j.attempt = a
	s.attempts++
	s.attemptsByRequest[a.Call.Request.ID] = append(s.attemptsByRequest[a.Call.Request.ID], j)
	var index int
	_, _ = fmt.Sscan(a.Address, &index)
	s.clock.AfterFunc(simNetworkDelay, func() { s.arrive(s.servers[index], j) })
	j.yield(struct{}{})
	j.end.Attempt = a
	j.end.Duration = s.clock.now.Sub(j.startedAt)
	return *j.end
}

func (s *sim) Cancel(Attempt) {}

func (s *sim) arrive(server *simServer, j *simAttempt) {
	server.received++
	server.arrivals = append(server.arrivals, simArrival{at: s.clock.now, knewLimit: s.knewLimit(server, j.daemon)})
	if server.busy >= s.slots {
		server.queue = append(server.queue, j)
		server.maxWork = max(server.maxWork, server.busy+len(server.queue))
		return
	}
	s.serve(server, j)
}

func (s *sim) serve(server *simServer, j *simAttempt) {
	server.busy++
	server.maxWork = max(server.maxWork, server.busy)
	factor := math.Exp(simSigma*s.random.NormFloat64() - simSigma*simSigma/2)
	if s.slowdown != nil {
		factor *= s.slowdown(s, server.index)
	}
	s.clock.AfterFunc(time.Duration(factor*float64(s.serviceTime)), func() {
		server.busy--
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			s.serve(server, next)
		}
		s.clock.AfterFunc(simNetworkDelay, func() {
			s.declareRateLimit(server, j)
			s.finish(j, completed(j.attempt))
		})
	})
}

// finish ends the attempt and those attempts of the same call that were
// cancelled.
func (s *sim) finish(j *simAttempt, e AttemptEnd) {
	if j.end != nil {
		return
	}
	j.end = &e
	j.resume()
	j.daemon.loop.RunPending()
	id := j.attempt.Call.Request.ID
	for _, other := range s.attemptsByRequest[id] {
		if other.end == nil && other.attempt.Context.Err() != nil {
			s.finish(other, AttemptEnd{Verdict: core.MayHaveRun, Err: core.MayHaveRunError(core.CodeCancelled, "stopped")})
		}
	}
	delete(s.attemptsByRequest, id)
}

// submit sends one lookup through a random daemon.
func (s *sim) submit() {
	s.calls++
	c := core.NewCall(context.Background(), &core.Request{
		ID: core.RequestID(fmt.Sprint(s.calls)), Customer: "prairie", Service: "desk", Operation: "look",
		Class: core.ClassInteractive, Repeatable: s.repeatable, HedgeShare: s.hedgeShare, Fingerprint: uint64(s.calls),
	})
	startedAt := s.clock.now
	c.OnEnd = func(_ *core.Call, e core.End) {
		if e.Err != nil {
			s.failed++
		}
		if startedAt.Sub(time.Unix(1e9, 0)) >= s.warmUp {
			_ = s.latency.RecordValue(s.clock.now.Sub(startedAt).Microseconds())
		}
	}
	d := s.daemons[s.random.IntN(len(s.daemons))]
	d.Submit(c)
	d.loop.RunPending()
}

func (s *sim) run() {
	rate := s.utilisation * float64(s.plain*s.slots) / s.serviceTime.Seconds()
	until := s.clock.now.Add(s.duration)
	var arrive func()
	arrive = func() {
		s.submit()
		s.clock.AfterFunc(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.clock.AfterFunc(s.reportLag+time.Second, arrive)
	for s.clock.events[0].at.Before(until) {
		e := heap.Pop(&s.clock.events).(*simEvent)
		s.clock.now = e.at
		if e.f == nil {
			continue
		}
		e.f()
		for i, d := range s.daemons {
			s.limiters[i].loop.RunPending()
			d.loop.RunPending()
		}
	}
	s.finishRemaining()
}

// finishRemaining ends the coroutines of attempts in progress.
func (s *sim) finishRemaining() {
	for _, attempts := range s.attemptsByRequest {
		for _, j := range attempts {
			if j.end == nil {
				e := completed(j.attempt)
				j.end = &e
				j.resume()
			}
		}
	}
}

func (s *sim) percentile(p float64) float64 {
	return float64(s.latency.ValueAtPercentile(p)) / 1000
}

func (s *sim) extraShare() float64 { return float64(s.attempts-s.calls) / float64(s.calls) }

// busiestToMean returns the attempts received by the busiest plain server as a
// multiple of the mean.
func (s *sim) busiestToMean() float64 {
	most, total := 0, 0
	for _, server := range s.servers[:s.plain] {
		most = max(most, server.received)
		total += server.received
	}
	return float64(most) * float64(s.plain) / float64(total)
}
