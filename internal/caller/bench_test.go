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

// fifo is the baseline: one queue in order of arrival, with the same rings and
// the same bound on calls handed on.
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
	duty.On(f.loop, f.ended, func(struct{}) { f.running--; f.pump() })
	duty.On(f.loop, f.calls, func(c *core.Call) {
		c.OnEnd = func(*core.Call, core.End) { f.ended.TryPut(struct{}{}) }
		f.queue = append(f.queue, c)
		f.pump()
	})
	return f
}

func (f *fifo) Submit(c *core.Call) bool { return f.calls.TryPut(c) }

func (f *fifo) pump() {
	for f.running < f.slots && len(f.queue) > 0 {
		c := f.queue[0]
		f.queue = f.queue[1:]
		f.running++
		f.dispatch.Submit(c)
	}
}

type submitFunc func(*core.Call) bool

func (f submitFunc) Submit(c *core.Call) bool { return f(c) }

// mix is a simulated day at one daemon on a manual clock: short work arrives at
// random, and long work always waits. The plain service runs what it gets. The
// engine runs as many calls as it has slots and pauses rollouts for short work.
type mix struct {
	clock    *duty.ManualClock
	random   *rand.Rand
	submit   core.Submitter
	loop     *duty.Loop
	engine   bool
	latency  *hdrhistogram.Histogram // of short work, in microseconds
	wait     *hdrhistogram.Histogram // of short work until it is handed on, in microseconds
	arrived  map[*core.Call]time.Time
	finished int
	running  []*mixCall
	used     time.Duration // slots times the time that they were in use
	usedAt   time.Time
}

// mixCall is a call at the simulated servers.
type mixCall struct {
	call    *core.Call
	long    bool
	left    time.Duration
	resumed time.Time
	stop    func() bool // nil while paused
}

const (
	mixSlots     = 32
	mixShortTime = 10 * time.Millisecond // mean, exponential
	mixLongTime  = 5 * time.Second
	mixLongCalls = 64
	mixShort     = 20000 // calls measured
	mixQuiet     = time.Hour
)

// run returns the p99 of the latency and of the wait of short work in microseconds.
func (m *mix) run(shortLoad float64, long bool) (latency, wait float64) {
	w := &world{clock: m.clock}
	if long {
		m.fill(w)
	}
	return m.short(w, shortLoad)
}

func (m *mix) fill(w *world) {
	for range mixLongCalls {
		m.startLong(w)
	}
}

// quiet runs long work only and returns the share of the slots that it used.
func (m *mix) quiet(d time.Duration) float64 {
	m.count()
	m.used = 0
	for end := m.clock.Now().Add(d); m.clock.Now().Before(end); m.loop.RunPending() {
		m.clock.Advance(tickPeriod)
	}
	m.count()
	return float64(m.used) / float64(d) / mixSlots
}

func (m *mix) short(w *world, load float64) (latency, wait float64) {
	gap := float64(mixShortTime) / (load * mixSlots)
	for m.finished < mixShort {
		m.clock.Advance(time.Duration(m.random.ExpFloat64() * gap))
		c := lookCall(w, "c", core.ClassInteractive)
		if m.engine {
			c = modelCall(w, "c", 1)
			c.Request.Class = core.ClassInteractive
		}
		m.arrived[c] = m.clock.Now()
		m.submit.Submit(c)
		m.loop.RunPending()
	}
	return float64(m.latency.ValueAtQuantile(99)), float64(m.wait.ValueAtQuantile(99))
}

func (m *mix) startLong(w *world) {
	c := listCall(w, "c", core.ClassRollout)
	if m.engine {
		c = rolloutCall(w)
	}
	c.Request.Deadline = time.Time{}
	c.OnEnd = func(*core.Call, core.End) { m.startLong(w) }
	m.submit.Submit(c)
	m.loop.RunPending()
}

// dispatch starts a call at the servers.
func (m *mix) dispatch(c *core.Call) bool {
	at, short := m.arrived[c]
	r := &mixCall{call: c, long: !short, left: mixLongTime}
	if short {
		r.left = time.Duration(m.random.ExpFloat64() * float64(mixShortTime))
		_ = m.wait.RecordValue(m.clock.Now().Sub(at).Microseconds())
	}
	m.count()
	m.running = append(m.running, r)
	m.schedule()
	return true
}

// schedule runs short calls first, then long calls in order of arrival.
func (m *mix) schedule() {
	free := mixSlots
	for _, long := range []bool{false, true} {
		for _, r := range m.running {
			if r.long != long {
				continue
			}
			free--
			switch run := free >= 0 || !m.engine; {
			case run && r.stop == nil:
				r.resumed = m.clock.Now()
				r.stop = m.clock.AfterFunc(r.left, func() { m.finish(r) })
			case !run && r.stop != nil:
				r.stop()
				r.stop = nil
				r.left -= m.clock.Now().Sub(r.resumed)
			}
		}
	}
}

func (m *mix) finish(r *mixCall) {
	m.count()
	m.running = slices.DeleteFunc(m.running, func(other *mixCall) bool { return other == r })
	if at, short := m.arrived[r.call]; short {
		_ = m.latency.RecordValue(m.clock.Now().Sub(at).Microseconds() + 1)
		delete(m.arrived, r.call)
		m.finished++
	}
	m.schedule()
	r.call.End(core.End{Verdict: core.Ran})
	m.loop.RunPending()
}

// count adds the use of slots since the last call.
func (m *mix) count() {
	now := m.clock.Now()
	m.used += time.Duration(min(len(m.running), mixSlots)) * now.Sub(m.usedAt)
	m.usedAt = now
}

func newMix() *mix {
	return &mix{
		clock: duty.NewManualClock(testStart), random: rand.New(rand.NewPCG(benchSeed, 1)), usedAt: testStart,
		latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		wait:    hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		arrived: map[*core.Call]time.Time{},
	}
}

func admissionMix(engine bool) *mix {
	m := newMix()
	m.engine = engine
	w := newWorld(0, benchSeed, contractOf("c", core.Limits{}))
	claims := NewClaims(m.clock, nil, m.random, "d")
	a := NewAdmission(m.clock, submitFunc(m.dispatch), claims, rand.New(rand.NewPCG(benchSeed, 2)))
	a.SetContracts(w.set)
	a.SetSlots("desk", mixSlots)
	a.SetSlots("engine", mixSlots)
	m.submit, m.loop = a, a.Loop()
	m.loop.RunPending()
	return m
}

func fifoMix() *mix {
	m := newMix()
	f := newFIFO(m.clock, submitFunc(m.dispatch), mixSlots)
	m.submit, m.loop = f, f.loop
	return m
}

// BenchmarkShortBesideLong compares the p99 latency of short work beside long
// work with that of short work alone, for admission and for one FIFO. Latency is
// from arrival to end, since short work alone does not wait at all. The target
// for admission is at most 1.3.
func BenchmarkShortBesideLong(b *testing.B) {
	forEachMix(b, func(b *testing.B, engine bool, load float64) {
		alone, aloneWait := admissionMix(engine).run(load, false)
		beside, besideWait := admissionMix(engine).run(load, true)
		b.ReportMetric(aloneWait/1000, "alone-wait-p99-ms")
		b.ReportMetric(besideWait/1000, "beside-wait-p99-ms")
		b.ReportMetric(alone/1000, "alone-p99-ms")
		b.ReportMetric(beside/alone, "ratio")
		if !engine {
			inFIFO, _ := fifoMix().run(load, true)
			b.ReportMetric(inFIFO/alone, "fifo-ratio")
		}
	})
}

// BenchmarkShortAfterQuiet is the same after an hour of long work only, in which
// the reserve has fallen to its floor.
func BenchmarkShortAfterQuiet(b *testing.B) {
	forEachMix(b, func(b *testing.B, engine bool, load float64) {
		alone, _ := admissionMix(engine).run(load, false)
		m := admissionMix(engine)
		w := &world{clock: m.clock}
		m.fill(w)
		m.quiet(mixQuiet)
		beside, _ := m.short(w, load)
		b.ReportMetric(beside/alone, "ratio")
	})
}

func forEachMix(b *testing.B, measure func(b *testing.B, engine bool, load float64)) {
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

// BenchmarkOnlyLong measures the share of the slots that long work uses when
// there is no other: in the first minute, in the first hour, and after it.
func BenchmarkOnlyLong(b *testing.B) {
	for _, engine := range []bool{false, true} {
		b.Run(fmt.Sprintf("engine=%v", engine), func(b *testing.B) {
			for range b.N {
				m := admissionMix(engine)
				m.fill(&world{clock: m.clock})
				first := m.quiet(time.Minute)
				rest := m.quiet(mixQuiet - time.Minute)
				b.ReportMetric(first, "first-minute")
				b.ReportMetric((first+59*rest)/60, "first-hour")
				b.ReportMetric(m.quiet(time.Minute), "after-an-hour")
			}
		})
	}
}

// BenchmarkDecision measures one call through admission without waiting, and
// the same through the FIFO.
func BenchmarkDecision(b *testing.B) {
	measure := func(b *testing.B, submit core.Submitter, loop *duty.Loop, dispatch *fakeDispatch, w *world) {
		b.ReportAllocs()
		calls := make([]*core.Call, 256)
		// The front's context carries the deadline already.
		ctx, cancel := context.WithDeadline(context.Background(), testStart)
		defer cancel()
		for i := 0; i < b.N; i += len(calls) {
			b.StopTimer()
			for j := range calls {
				calls[j] = lookCall(w, "c", "")
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
		w := newWorld(1, benchSeed, contractOf("c", core.Limits{RequestsPerSecond: 1e9, Concurrency: 100}))
		d := w.first()
		measure(b, d.admission, d.admission.Loop(), d.dispatch, w)
	})
	b.Run("fifo", func(b *testing.B) {
		w := newWorld(0, benchSeed)
		dispatch := &fakeDispatch{}
		f := newFIFO(w.clock, dispatch, mixSlots)
		measure(b, f, f.loop, dispatch, w)
	})
}

// BenchmarkClaimWrites counts the store writes of 1,000 bookings with a store
// that takes 5 ms. One object per claim needs 2,000: one for the start and one
// for the outcome of each.
func BenchmarkClaimWrites(b *testing.B) {
	const bookings, tick = 1000, time.Millisecond
	for _, perTick := range []int{1, 10, bookings} {
		b.Run(fmt.Sprintf("perMs=%d", perTick), func(b *testing.B) {
			for range b.N {
				w := newWorld(1, benchSeed, contractOf("c", core.Limits{}))
				d := w.first()
				sent, done := 0, 0
				for done < bookings || len(d.admission.local) > 0 {
					for range min(perTick, bookings-sent) {
						sent++
						d.admission.Submit(newCall(w, "c", "book", fmt.Sprint("key-", sent), "slot"))
					}
					w.clock.Advance(tick)
					for d.step() > 0 {
						for len(d.dispatch.calls) > 0 {
							d.dispatch.take().End(ranEnd("booked"))
							done++
						}
						delayStore(w)
					}
				}
				b.ReportMetric(float64(w.store.writes), "writes/1000-bookings")
				b.ReportMetric(float64(w.store.writes)/(2*bookings), "ratio-to-object-per-claim")
			}
		})
	}
}

// delayStore carries out the waiting operations 5 ms from now.
func delayStore(w *world) {
	ops := w.store.queue
	w.store.queue = nil
	for _, op := range ops {
		w.clock.AfterFunc(5*time.Millisecond, func() { op.Reply(w.store.apply(op)) })
	}
}

var _ Store = (*platform.Store)(nil)
