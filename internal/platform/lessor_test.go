package platform

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const testLease = 2 * time.Second

// contender is one daemon: a clock, a store duty and a lessor of its own.
type contender struct {
	*storeRig
	lessor  *LeaseManager
	holding Lease // the newest one that a listener was given
	events  []LeaseEvent
	speed   float64 // of its clock
	paused  int     // steps for which its duties do not run
	onEvent func(LeaseEvent)
}

func newContender(api *fakeAPI, name string, seed uint64) *contender {
	c := &contender{storeRig: newStoreRig(StoreOptions{Random: rand.New(rand.NewPCG(seed, 1))}), speed: 1}
	c.api = api
	c.store.api = api
	c.lessor = NewLeaseManager(c.clock, c.store, name, rand.New(rand.NewPCG(seed, 2)))
	return c
}

func (c *contender) acquire() {
	c.lessor.Acquire("x", LeaseOptions{Duration: testLease, Listener: c.listen})
}

func (c *contender) listen(e LeaseEvent) {
	c.events = append(c.events, e)
	switch e.Kind {
	case LeaseGained, LeaseRenewed:
		c.holding = e.Lease
	case LeaseLost:
		c.holding = Lease{}
	}
	if c.onEvent != nil {
		c.onEvent(e)
	}
}

func (c *contender) valid() bool { return c.holding.IsValidAt(c.clock.Now()) }

func (c *contender) step() {
	for c.lessor.Loop().RunPending()+c.store.Loop().RunPending()+c.pool.run() > 0 {
	}
}

const leaseStep = 20 * time.Millisecond

// run advances the contenders together. The clock of a paused one goes on.
func run(d time.Duration, contenders ...*contender) {
	for ; d > 0; d -= leaseStep {
		for _, c := range contenders {
			if c.paused == 0 {
				c.step()
			}
			c.clock.Advance(time.Duration(float64(leaseStep) * c.speed))
			c.paused = max(0, c.paused-1)
		}
	}
}

// Guards against a lease that is not kept, not handed over at a release, or
// taken from a live holder.
func TestLessorAcquireRenewReleaseObserve(t *testing.T) {
	api := newFakeAPI()
	a, b, o := newContender(api, "a", 1), newContender(api, "b", 2), newContender(api, "o", 3)
	a.acquire()
	run(time.Second, a, b, o)
	b.acquire()
	o.lessor.Observe("x", LeaseOptions{Duration: testLease, Listener: o.listen})
	run(time.Minute, a, b, o)
	if !a.valid() || b.valid() || a.holding.Fence != 1 || a.lessor.Stats().Lost != 0 {
		t.Fatalf("after a minute: %+v %+v", a.holding, b.holding)
	}
	if fence, ok := a.lessor.Check("x"); !ok || fence != 1 {
		t.Fatalf("check: %d %v", fence, ok)
	}
	a.lessor.Release("x")
	run(testLease, a, b, o)
	if a.valid() || !b.valid() || b.holding.Fence != 2 {
		t.Fatalf("after the release: %+v %+v", a.holding, b.holding)
	}
	if e := o.events[len(o.events)-1]; e.Kind != LeaseObserved || e.Holder != "b" || e.Lease.Fence != 2 {
		t.Fatalf("observed %+v", e)
	}
}

// Guards against a restarted daemon that waits for the lease of its own earlier
// run, and against one that takes the lease of another daemon at once.
func TestLessorReclaimsFromEarlierRun(t *testing.T) {
	api := newFakeAPI()
	a := newContender(api, "host/1", 1)
	a.acquire()
	run(time.Second, a)
	again, other := newContender(api, "host/2", 2), newContender(api, "other/1", 3)
	isEarlier := func(prefix string) func(string) bool {
		return func(holder string) bool { return strings.HasPrefix(holder, prefix) }
	}
	other.lessor.Acquire("x", LeaseOptions{Duration: testLease, Listener: other.listen, IsEarlierRun: isEarlier("other/")})
	run(testLease/4, other)
	again.lessor.Acquire("x", LeaseOptions{Duration: testLease, Listener: again.listen, IsEarlierRun: isEarlier("host/")})
	run(testLease/4, again, other)
	if !again.valid() || other.valid() || again.holding.Fence != 2 {
		t.Fatalf("the restarted daemon holds %+v, the other one %+v", again.holding, other.holding)
	}
	if e := again.events[len(again.events)-1]; e.PreviousHolder != "host/1" && again.events[0].PreviousHolder != "host/1" {
		t.Errorf("the holder before is %q", e.PreviousHolder)
	}
}

// Guards against a takeover before the duration and the drift margin have
// passed, and against one that never comes.
func TestLessorTakesOverOnlyAfterDurationAndMargin(t *testing.T) {
	api := newFakeAPI()
	a, b := newContender(api, "a", 1), newContender(api, "b", 2)
	a.acquire()
	run(time.Second, a)
	b.acquire()
	run(time.Second, b) // a is dead from here on
	run(testLease+testLease/driftDivisor-time.Second-leaseStep, b)
	if b.valid() {
		t.Fatal("taken over too early")
	}
	run(testLease, b)
	if !b.valid() || b.holding.Fence != 2 {
		t.Fatalf("not taken over: %+v", b.holding)
	}
}

// Guards against a contender that reads seldom and writes at the lease of a live
// holder each time its own knowledge has grown old: such writes grow with the
// number of daemons. It must still take over from a dead holder.
func TestLessorSlowContenderDoesNotWrite(t *testing.T) {
	const slowPoll = 4 * testLease
	api := newFakeAPI()
	a, b := newContender(api, "a", 1), newContender(api, "b", 2)
	a.acquire()
	run(time.Second, a)
	b.lessor.Acquire("x", LeaseOptions{Duration: testLease, Listener: b.listen, PollPeriod: func() time.Duration { return slowPoll }})
	run(10*slowPoll, a, b)
	if calls := b.store.Stats().Calls; calls > 11 {
		t.Errorf("%d calls in 10 periods", calls)
	}
	if s := b.lessor.Stats(); s.Failed > 0 {
		t.Errorf("%d writes failed", s.Failed)
	}
	run(2*slowPoll+testLease, b) // a is dead from here on
	if !b.valid() || b.holding.Fence != 2 {
		t.Errorf("not taken over: %+v", b.holding)
	}
}

// Guards against a paused holder that still believes in its lease: the clock
// jumps while nothing of the daemon runs.
func TestLessorPausedHolder(t *testing.T) {
	api := newFakeAPI()
	a := newContender(api, "a", 1)
	a.acquire()
	run(time.Second, a)
	kept := a.holding
	a.clock.Advance(testLease)
	if kept.IsValidAt(a.clock.Now()) {
		t.Fatal("the holding is valid after the pause")
	}
	if _, ok := a.lessor.Check("x"); ok {
		t.Fatal("Check passes after the pause, before the duty has run")
	}
	run(testLease, a)
	if !a.valid() || a.holding.Fence <= kept.Fence {
		t.Fatalf("gained again with %+v after %+v", a.holding, kept)
	}
}

// Guards against validity that is counted from the answer: it starts before
// the renewal is sent, and a late answer brings nothing.
func TestLessorCountsValidityFromSending(t *testing.T) {
	a := newContender(newFakeAPI(), "a", 1)
	a.acquire()
	var sentAt time.Time
	for range 10 { // the read, then the write, which is held back
		a.lessor.Loop().RunPending()
		a.store.Loop().RunPending()
		if len(a.api.calls) > 0 && len(a.pool.calls) > 0 {
			sentAt = a.clock.Now()
			break
		}
		a.pool.run()
	}
	a.clock.Advance(time.Second)
	a.step()
	// A renewal follows at once, so the gain is looked at.
	for _, e := range a.events {
		if want := sentAt.Add(usable(testLease)); e.Kind == LeaseGained && !e.Lease.Deadline.Equal(want) {
			t.Fatalf("deadline %v, want %v", e.Lease.Deadline, want)
		}
	}
	if a.lessor.Stats().Gained != 1 {
		t.Fatalf("events %+v, want one gain", a.events)
	}
	late := newContender(newFakeAPI(), "late", 1)
	late.acquire()
	late.lessor.Loop().RunPending()
	late.step()
	granted := len(late.events)
	late.clock.Advance(testLease / renewDivisor)
	late.lessor.Loop().RunPending()
	late.store.Loop().RunPending()
	// The old holding has ended, the renewal in progress would last a little longer.
	late.clock.Advance(testLease * 6 / 10)
	late.step()
	for _, e := range late.events[granted:] {
		if e.Kind == LeaseRenewed {
			t.Fatalf("a renewal brings back a lost holding: %+v", e)
		}
		if e.Kind == LeaseGained {
			break
		}
	}
}

// Guards against a holder that keeps its lease through an outage longer than
// 3/4 of the duration, and against one that loses it in a shorter one.
func TestLessorOutage(t *testing.T) {
	a := newContender(newFakeAPI(), "a", 1)
	a.acquire()
	run(time.Second, a)
	outage := func(d time.Duration) {
		a.api.choose = func(bool) outcome { return refuse }
		run(d, a)
		a.api.choose = func(bool) outcome { return carryOut }
	}
	outage(testLease / 4)
	run(4*testLease, a)
	if a.lessor.Stats().Lost != 0 {
		t.Fatal("lost in a short outage")
	}
	outage(testLease)
	if a.valid() || a.lessor.Stats().Lost != 1 {
		t.Fatal("kept through a long outage")
	}
	run(4*testLease, a)
	if !a.valid() || a.holding.Fence != 2 {
		t.Fatalf("after the outage: %+v", a.holding)
	}
}

// Guards against a renewal that is lost for a lost answer, in every way that
// an answer can be lost.
func TestLessorLostAnswers(t *testing.T) {
	for _, lost := range []outcome{loseAnswer, loseCall, carryOutLate} {
		a := newContender(newFakeAPI(), "a", 1)
		a.api.script(lost)
		a.acquire()
		run(time.Second, a)
		a.api.script(lost)
		run(testLease, a)
		a.api.late()
		run(4*testLease, a)
		if !a.valid() || a.lessor.Stats().Lost != 0 || a.holding.Fence != 1 {
			t.Errorf("outcome %d: %+v, counters %+v", lost, a.holding, a.lessor.Stats())
		}
	}
}

// Guards against fencing numbers that start again when somebody deletes the
// lease object.
func TestLessorKeepsFenceOverDelete(t *testing.T) {
	api := newFakeAPI()
	a, b := newContender(api, "a", 1), newContender(api, "b", 2)
	a.acquire()
	run(time.Second, a, b)
	b.acquire()
	run(time.Second, a, b)
	remove := func() { _, _ = api.apply(Write{Key: LeasePrefix + "x", IfVersion: AnyVersion}, true) }
	remove()
	run(10*testLease, a, b)
	if !a.valid() || b.valid() || a.lessor.Stats().Lost != 0 {
		t.Fatalf("the holder lost its lease by the delete: %+v %+v", a.holding, b.holding)
	}
	remove() // the holder is dead from here on
	run(10*testLease, b)
	if !b.valid() || b.holding.Fence != 2 {
		t.Fatalf("after the delete: %+v", b.holding)
	}
}

const (
	leaseSeeds      = 240
	leaseTrialSteps = 1500 // 30 s
)

// Guards against two holders at once and against fencing numbers that do not
// grow, with pauses, clocks of different speed, outages, lost answers and late
// writes. All times are on the common time line of the loop.
func TestLessorsNeverHoldTogether(t *testing.T) {
	t.Logf("seeds 1 to %d", leaseSeeds)
	gains := 0
	for seed := uint64(1); seed <= leaseSeeds; seed++ {
		gained, err := leaseTrial(seed)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		gains += gained
	}
	if gains < 5*leaseSeeds {
		t.Fatalf("%d gains in %d trials: the trials do not contend", gains, leaseSeeds)
	}
}

func leaseTrial(seed uint64) (gains int, err error) {
	random := rand.New(rand.NewPCG(seed, seed))
	api := newFakeAPI()
	trouble := 0.0
	api.choose = func(bool) outcome {
		if random.Float64() >= trouble {
			return carryOut
		}
		return outcome(1 + random.IntN(int(limitRate)))
	}
	highest := int64(0)
	contenders := make([]*contender, 2+random.IntN(2))
	for i := range contenders {
		c := newContender(api, fmt.Sprint("daemon-", i), seed*10+uint64(i))
		c.speed = 0.95 + 0.1*random.Float64()
		c.onEvent = func(e LeaseEvent) {
			if e.Kind != LeaseGained {
				return
			}
			gains++
			if e.Lease.Fence <= highest {
				err = fmt.Errorf("gained with fencing number %d after %d", e.Lease.Fence, highest)
			}
			highest = e.Lease.Fence
		}
		c.acquire()
		contenders[i] = c
	}
	for step := 0; step < leaseTrialSteps && err == nil; step++ {
		if random.IntN(100) == 0 {
			trouble = []float64{0, 0, 0.2, 0.5, 1}[random.IntN(5)]
		}
		if len(api.delayed) > 0 && random.IntN(20) == 0 {
			api.late()
		}
		c := contenders[random.IntN(len(contenders))]
		switch random.IntN(150) {
		case 0:
			c.paused = random.IntN(250)
		case 1:
			if c.paused == 0 && c.valid() {
				c.lessor.Release("x")
				c.holding = Lease{} // its users have stopped
			}
		case 2:
			c.acquire()
		}
		stepInParts(contenders, random)
		err = checkHolders(contenders, err)
	}
	return gains, err
}

// stepInParts runs a random part of each contender's work, so that calls and
// their answers are delayed and cross each other.
func stepInParts(contenders []*contender, random *rand.Rand) {
	for _, c := range contenders {
		c.clock.Advance(time.Duration(float64(leaseStep) * c.speed))
		if c.paused > 0 {
			c.paused--
			continue
		}
		for range random.IntN(4) {
			c.lessor.Loop().RunPending()
			c.store.Loop().RunPending()
			if random.IntN(3) > 0 {
				c.pool.run()
			}
		}
	}
}

func checkHolders(contenders []*contender, err error) error {
	holders := 0
	for _, c := range contenders {
		if c.valid() {
			holders++
		}
	}
	if holders > 1 && err == nil {
		return fmt.Errorf("%d holders at once", holders)
	}
	return err
}
