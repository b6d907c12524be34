package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

const benchSeed = 7

// fifo is the baseline: a single queue in order of arrival, with the same rings and
// the same bound on running calls.
type fifo struct {
	loop     *duty.Loop
	dispatch core.Submitter
	calls    *ring.Ring[*core.Call]
	ended    *ring.Ring[struct{}]
	queue    []*core.Call
	running  int
	slots    int
}

func newFIFO(clock duty.Clock, dispatch core.Submitter, slots int) *fifo {
	f := &fifo{
		loop: duty.New("fifo", clock), dispatch: dispatch, slots: slots,
		calls: ring.New[*core.Call]("fifo.calls", callRingCapacity),
		ended: ring.New[struct{}]("fifo.ended", MaxInFlightCalls),
	}
	duty.On(f.loop, f.ended, func(struct{}) { f.running--; f.startWaitingCalls() })
	duty.On(f.loop, f.calls, func(c *core.Call) {
		c.OnEnd = func(*core.Call, core.End) { f.ended.TryPut(struct{}{}) }
		f.queue = append(f.queue, c)
		f.startWaitingCalls()
	})
	return f
}

func (f *fifo) Submit(c *core.Call) bool { return f.calls.TryPut(c) }

func (f *fifo) startWaitingCalls() {
	for f.running < f.slots && len(f.queue) > 0 {
		c := f.queue[0]
		f.queue = f.queue[1:]
		f.running++
		f.dispatch.Submit(c)
	}
}

type submitFunc func(*core.Call) bool

func (f submitFunc) Submit(c *core.Call) bool { return f(c) }

// simulation runs simulated work at one daemon on a manual clock: short calls arrive
// at random, and long calls always wait. The plain service runs every call at once.
// The engine runs as many calls as it has slots and pauses rollouts for short work.
type simulation struct {
	clock      *duty.ManualClock
	random     *rand.Rand
	submit     core.Submitter
	loop       *duty.Loop
	isEngine   bool
	latency    *hdrhistogram.Histogram // of short work, in microseconds
	queueWait  *hdrhistogram.Histogram // of short work until dispatch, in microseconds
	arrivals   map[*core.Call]time.Time
	finished   int
	running    []*serverCall
	slotTime   time.Duration // slots in use, integrated over time
	slotTimeAt time.Time
}

// serverCall is a call at the simulated backend servers.
type serverCall struct {
	call      *core.Call
	isLong    bool
	remaining time.Duration
	resumed   time.Time
	stopTimer func() bool // nil while paused
}

const (
	simSlots        = 32
	simShortTime    = 10 * time.Millisecond // mean of an exponential distribution
	simLongTime     = 5 * time.Second
	simLongCalls    = 64
	simShortCalls   = 20000 // short calls per measurement
	simLongOnlyTime = time.Hour
)

// measure returns the p99 of the latency and of the queue wait of short work, in
// microseconds.
func (s *simulation) measure(shortLoad float64, long bool) (latency, wait float64) {
	cluster := &testCluster{clock: s.clock}
	if long {
		s.startAllLong(cluster)
	}
	return s.runShort(cluster, shortLoad)
}

func (s *simulation) startAllLong(cluster *testCluster) {
	for range simLongCalls {
		s.startLong(cluster)
	}
}

// runLongOnly runs long work only and returns the share of the slots that it used.
func (s *simulation) runLongOnly(d time.Duration) float64 {
	s.addSlotTime()
	s.slotTime = 0
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); s.loop.RunPending() {
		s.clock.Advance(limitCheckInterval)
	}
	s.addSlotTime()
	return float64(s.slotTime) / float64(d) / simSlots
}

func (s *simulation) runShort(cluster *testCluster, load float64) (latency, wait float64) {
	gap := float64(simShortTime) / (load * simSlots)
	for s.finished < simShortCalls {
		s.clock.Advance(time.Duration(s.random.ExpFloat64() * gap))
		c := newLookCall(cluster, "c", core.ClassInteractive)
		if s.isEngine {
			c = newModelCall(cluster, "c", 1)
			c.Request.Class = core.ClassInteractive
		}
		s.arrivals[c] = s.clock.Now()
		s.submit.Submit(c)
		s.loop.RunPending()
	}
	return float64(s.latency.ValueAtQuantile(99)), float64(s.queueWait.ValueAtQuantile(99))
}

func (s *simulation) startLong(cluster *testCluster) {
	c := newListCall(cluster, "c", core.ClassRollout)
	if s.isEngine {
		c = newRolloutCall(cluster)
	}
	c.Request.Deadline = time.Time{}
	c.OnEnd = func(*core.Call, core.End) { s.startLong(cluster) }
	s.submit.Submit(c)
	s.loop.RunPending()
}

// dispatch starts a call at the simulated backend servers.
func (s *simulation) dispatch(c *core.Call) bool {
	at, short := s.arrivals[c]
	r := &serverCall{call: c, isLong: !short, remaining: simLongTime}
	if short {
		r.remaining = time.Duration(s.random.ExpFloat64() * float64(simShortTime))
		_ = s.queueWait.RecordValue(s.clock.Now().Sub(at).Microseconds())
	}
	s.addSlotTime()
	s.running = append(s.running, r)
	s.schedule()
	return true
}

// schedule runs short calls first, then long calls in order of arrival.
func (s *simulation) schedule() {
	free := simSlots
	for _, long := range []bool{false, true} {
		for _, r := range s.running {
			if r.isLong != long {
				continue
			}
			free--
			switch run := free >= 0 || !s.isEngine; {
			case run && r.stopTimer == nil:
				r.resumed = s.clock.Now()
				r.stopTimer = s.clock.AfterFunc(r.remaining, func() { s.finish(r) })
			case !run && r.stopTimer != nil:
				r.stopTimer()
				r.stopTimer = nil
				r.remaining -= s.clock.Now().Sub(r.resumed)
			}
		}
	}
}

func (s *simulation) finish(r *serverCall) {
	s.addSlotTime()
	s.running = slices.DeleteFunc(s.running, func(other *serverCall) bool { return other == r })
	if at, short := s.arrivals[r.call]; short {
		_ = s.latency.RecordValue(s.clock.Now().Sub(at).Microseconds() + 1)
		delete(s.arrivals, r.call)
		s.finished++
	}
	s.schedule()
	r.call.End(core.End{Verdict: core.Ran})
	s.loop.RunPending()
}

// addSlotTime adds the slots in use since the last update to slotTime.
func (s *simulation) addSlotTime() {
	now := s.clock.Now()
	s.slotTime += time.Duration(min(len(s.running), simSlots)) * now.Sub(s.slotTimeAt)
	s.slotTimeAt = now
}

func newSimulation() *simulation {
	return &simulation{
		clock: duty.NewManualClock(testStart), random: rand.New(rand.NewPCG(benchSeed, 1)), slotTimeAt: testStart,
		latency:   hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		queueWait: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		arrivals:  map[*core.Call]time.Time{},
	}
}

func newAdmissionSimulation(engine bool) *simulation {
	s := newSimulation()
	s.isEngine = engine
	cluster := newTestCluster(0, benchSeed, newContract("c", core.Limits{}))
	claims := NewClaims(s.clock, nil, s.random, "d")
	a := NewAdmission(s.clock, submitFunc(s.dispatch), claims, rand.New(rand.NewPCG(benchSeed, 2)))
	a.SetContracts(cluster.contracts)
	a.SetSlots("desk", simSlots)
	a.SetSlots("engine", simSlots)
	s.submit, s.loop = a, a.Loop()
	s.loop.RunPending()
	return s
}

func newFIFOSimulation() *simulation {
	s := newSimulation()
	f := newFIFO(s.clock, submitFunc(s.dispatch), simSlots)
	s.submit, s.loop = f, f.loop
	return s
}

// BenchmarkShortBesideLong compares the p99 latency of short work beside long work
// with that of short work alone, for admission and for a FIFO queue. Latency is
// measured from arrival to end, since short work alone does not wait at all. The
// target for admission is a ratio of at most 1.3.
func BenchmarkShortBesideLong(b *testing.B) {
	forEachLoad(b, func(b *testing.B, engine bool, load float64) {
		alone, aloneWait := newAdmissionSimulation(engine).measure(load, false)
		beside, besideWait := newAdmissionSimulation(engine).measure(load, true)
		b.ReportMetric(aloneWait/1000, "alone-wait-p99-ms")
		b.ReportMetric(besideWait/1000, "beside-wait-p99-ms")
		b.ReportMetric(alone/1000, "alone-p99-ms")
		b.ReportMetric(beside/alone, "ratio")
		if !engine {
			inFIFO, _ := newFIFOSimulation().measure(load, true)
			b.ReportMetric(inFIFO/alone, "fifo-ratio")
		}
	})
}

// BenchmarkShortAfterQuiet measures the same ratio after an hour of long work only,
// when the reserve is at its minimum.
func BenchmarkShortAfterQuiet(b *testing.B) {
	forEachLoad(b, func(b *testing.B, engine bool, load float64) {
		alone, _ := newAdmissionSimulation(engine).measure(load, false)
		s := newAdmissionSimulation(engine)
		cluster := &testCluster{clock: s.clock}
		s.startAllLong(cluster)
		s.runLongOnly(simLongOnlyTime)
		beside, _ := s.runShort(cluster, load)
		b.ReportMetric(beside/alone, "ratio")
	})
}

func forEachLoad(b *testing.B, measure func(b *testing.B, engine bool, load float64)) {
	for _, engine := range []bool{false, true} {
		for _, load := range []float64{0.1, 0.25, 0.4} {
			b.Run(fmt.Sprintf("engine=%v/load=%.0f%%", engine, load*100), func(b *testing.B) {
				for range b.N {
					measure(b, engine, load)
				}
			})
		}
	}
}

// BenchmarkOnlyLong measures the share of the slots that long work uses when there
// is no other work: in the first minute, in the first hour, and after it.
func BenchmarkOnlyLong(b *testing.B) {
	for _, engine := range []bool{false, true} {
		b.Run(fmt.Sprintf("engine=%v", engine), func(b *testing.B) {
			for range b.N {
				s := newAdmissionSimulation(engine)
				s.startAllLong(&testCluster{clock: s.clock})
				first := s.runLongOnly(time.Minute)
				restOfHour := s.runLongOnly(simLongOnlyTime - time.Minute)
				b.ReportMetric(first, "first-minute")
				b.ReportMetric((first+59*restOfHour)/60, "first-hour")
				b.ReportMetric(s.runLongOnly(time.Minute), "after-an-hour")
			}
		})
	}
}

// BenchmarkDecision measures a call through admission without waiting, and through
// the FIFO queue.
func BenchmarkDecision(b *testing.B) {
	measure := func(b *testing.B, submit core.Submitter, loop *duty.Loop, dispatch *fakeDispatch, cluster *testCluster) {
		b.ReportAllocs()
		calls := make([]*core.Call, 256)
		// The context that callerhttp passes already has the deadline.
		ctx, cancel := context.WithDeadline(context.Background(), testStart)
		defer cancel()
		for i := 0; i < b.N; i += len(calls) {
			b.StopTimer()
			for j := range calls {
				calls[j] = newLookCall(cluster, "c", "")
				calls[j].Context = ctx
			}
			b.StartTimer()
			for _, c := range calls {
				submit.Submit(c)
				loop.RunPending()
				dispatch.calls = dispatch.calls[:0]
				c.End(core.End{Verdict: core.Ran})
				loop.RunPending()
			}
		}
	}
	b.Run("admission", func(b *testing.B) {
		cluster := newTestCluster(1, benchSeed, newContract("c", core.Limits{RequestsPerSecond: 1e9, Concurrency: 100}))
		d := cluster.firstDaemon()
		measure(b, d.admission, d.admission.Loop(), d.dispatch, cluster)
	})
	b.Run("fifo", func(b *testing.B) {
		cluster := newTestCluster(0, benchSeed)
		dispatch := &fakeDispatch{}
		f := newFIFO(cluster.clock, dispatch, simSlots)
		measure(b, f, f.loop, dispatch, cluster)
	})
}

// BenchmarkClaimWrites counts the store writes for 1,000 bookings with a store
// latency of 5 ms. One object per claim would need 2,000 writes: one for the start
// and one for the outcome of each booking.
func BenchmarkClaimWrites(b *testing.B) {
	const bookings, tick = 1000, time.Millisecond
	for _, perTick := range []int{1, 10, bookings} {
		b.Run(fmt.Sprintf("perMs=%d", perTick), func(b *testing.B) {
			for range b.N {
				cluster := newTestCluster(1, benchSeed, newContract("c", core.Limits{}))
				d := cluster.firstDaemon()
				sent, done := 0, 0
				for done < bookings || len(d.admission.localClaims) > 0 {
					for range min(perTick, bookings-sent) {
						sent++
						d.admission.Submit(newCall(cluster, "c", "book", fmt.Sprint("key-", sent), "slot"))
					}
					cluster.clock.Advance(tick)
					for d.runPending() > 0 {
						for len(d.dispatch.calls) > 0 {
							d.dispatch.removeOldest().End(newRanEnd("booked"))
							done++
						}
						delayStoreOps(cluster)
					}
				}
				b.ReportMetric(float64(cluster.store.writes), "writes/1000-bookings")
				b.ReportMetric(float64(cluster.store.writes)/(2*bookings), "ratio-to-object-per-claim")
			}
		})
	}
}

// delayStoreOps executes the queued operations 5 ms from now.
func delayStoreOps(cluster *testCluster) {
	ops := cluster.store.queue
	cluster.store.queue = nil
	for _, op := range ops {
		cluster.clock.AfterFunc(5*time.Millisecond, func() { op.Reply(cluster.store.execute(op)) })
	}
}

var _ Store = (*platform.Store)(nil)
