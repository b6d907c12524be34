package platform

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const testLeaseDuration = 2 * time.Second

// contender is one daemon with its own clock, store duty and lease manager.
type contender struct {
	*storeFixture
	manager     *LeaseManager
	lease       Lease // the newest one that the listener received
	received    []LeaseEvent
	clockSpeed  float64 // relative to real time
	pausedSteps int     // remaining steps in which its duties do not run
	onReceive   func(LeaseEvent)
}

func newContender(api *fakeAPI, name string, seed uint64) *contender {
	c := &contender{storeFixture: newStoreFixture(StoreOptions{Random: rand.New(rand.NewPCG(seed, 1))}), clockSpeed: 1}
	c.api = api
	c.store.api = api
	c.manager = NewLeaseManager(c.clock, c.store, name, rand.New(rand.NewPCG(seed, 2)))
	return c
}

func (c *contender) acquire() {
	c.manager.Acquire("x", LeaseOptions{Duration: testLeaseDuration, Listener: c.listen})
}

func (c *contender) listen(e LeaseEvent) {
	c.received = append(c.received, e)
	switch e.Kind {
	case LeaseGained, LeaseRenewed:
		c.lease = e.Lease
	case LeaseLost:
		c.lease = Lease{}
	}
	if c.onReceive != nil {
		c.onReceive(e)
	}
}

func (c *contender) isHolder() bool { return c.lease.IsValidAt(c.clock.Now()) }

func (c *contender) runPending() {
	for c.manager.Loop().RunPending()+c.store.Loop().RunPending()+c.pool.run() > 0 {
	}
}

const leaseTestStep = 20 * time.Millisecond

// runContenders advances the contenders together. The clock of a paused one keeps
// running.
func runContenders(d time.Duration, contenders ...*contender) {
	for ; d > 0; d -= leaseTestStep {
		for _, c := range contenders {
			if c.pausedSteps == 0 {
				c.runPending()
			}
			c.clock.Advance(time.Duration(float64(leaseTestStep) * c.clockSpeed))
			c.pausedSteps = max(0, c.pausedSteps-1)
		}
	}
}

// Guards against a takeover that takes two long poll periods: all contenders that read
// the lease often have failed with its holder.
func TestDistantContenderReadsOverdueLeaseOften(t *testing.T) {
	const pollPeriod = 8 * testLeaseDuration
	api := newFakeAPI()
	holder, distant := newContender(api, "a", 1), newContender(api, "b", 2)
	holder.acquire()
	runContenders(time.Second, holder, distant)
	distant.manager.Acquire("x", LeaseOptions{Duration: testLeaseDuration, Listener: distant.listen, PollPeriod: func() time.Duration { return pollPeriod }})
	runContenders(2*pollPeriod+time.Second, holder, distant)
	reads := distant.manager.leases["x"].lastReadAt
	if !holder.isHolder() || distant.manager.leases["x"].isOverdue {
		t.Fatalf("the live holder has %+v, its lease is overdue: %v", holder.lease, distant.manager.leases["x"].isOverdue)
	}
	lost := time.Duration(0)
	for ; !distant.isHolder() && lost < 4*pollPeriod; lost += leaseTestStep {
		runContenders(leaseTestStep, distant)
	}
	if limit := pollPeriod + 2*testLeaseDuration; lost > limit {
		t.Errorf("taken over %v after the holder's failure (last read %v), want at most %v", lost, reads, limit)
	}
}

// Guards against a record of another writer whose duration overflows, so that the lease
// of a live holder is taken at once or that of a lost one never, and against one that
// cannot be decoded and is claimed without its fencing number.
func TestOddLeaseRecords(t *testing.T) {
	record := func(durationMs string) string { return `{"holder":"other","fence":7,"durationMs":` + durationMs + `}` }
	const short, long = testLeaseDuration, MaxLeaseDuration + MaxLeaseDuration/8
	cases := []struct {
		value    string
		earliest time.Duration // of the takeover; 0 for none
	}{
		{record("2000"), short}, {record("0"), short}, {record("-9000000000000000000"), short},
		{record("9200000000000"), long}, {record("9223372036854775807"), long},
		{record("99999999999999999999"), 0}, {record("1e400"), 0}, {record("1.5"), 0}, {record(`"2000"`), 0},
		{"", 0}, {"null", 0}, {"7", 0}, {"{}", 0}, {`{"holder":"other","fence":-1}`, 0}, {`{"holder":7,"fence":1}`, 0},
		{`{"holder":"other","fence":7,"x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`, 0},
	}
	for _, test := range cases {
		api := newFakeAPI()
		if _, err := api.apply(Write{Key: LeasePrefix + "x", IfVersion: AnyVersion, Value: []byte(test.value)}, false); err != nil {
			t.Fatal(err)
		}
		c := newContender(api, "a", 1)
		c.acquire()
		waited := time.Duration(0)
		for ; !c.isHolder() && waited < long+testLeaseDuration; waited += time.Second {
			runContenders(time.Second, c)
		}
		isTaken := c.isHolder()
		switch {
		case isTaken != (test.earliest > 0), isTaken && (waited < test.earliest || waited > test.earliest+2*testLeaseDuration):
			t.Errorf("record %.80s: taken %v after %v, want after %v", test.value, isTaken, waited, test.earliest)
		case isTaken && c.lease.Fence != 8:
			t.Errorf("record %.80s: fencing number %d, want 8", test.value, c.lease.Fence)
		}
	}
}

// Guards against a lease that is not renewed, not free after a release, or taken
// from a live holder.
func TestLeaseAcquireRenewReleaseObserve(t *testing.T) {
	api := newFakeAPI()
	a, b, o := newContender(api, "a", 1), newContender(api, "b", 2), newContender(api, "o", 3)
	a.acquire()
	runContenders(time.Second, a, b, o)
	b.acquire()
	o.manager.Observe("x", LeaseOptions{Duration: testLeaseDuration, Listener: o.listen})
	runContenders(time.Minute, a, b, o)
	if !a.isHolder() || b.isHolder() || a.lease.Fence != 1 || a.manager.Stats().Lost != 0 {
		t.Fatalf("after a minute: %+v %+v", a.lease, b.lease)
	}
	if fence, ok := a.manager.Check("x"); !ok || fence != 1 {
		t.Fatalf("check: %d %v", fence, ok)
	}
	a.manager.Release("x")
	runContenders(testLeaseDuration, a, b, o)
	if a.isHolder() || !b.isHolder() || b.lease.Fence != 2 {
		t.Fatalf("after the release: %+v %+v", a.lease, b.lease)
	}
	if e := o.received[len(o.received)-1]; e.Kind != LeaseObserved || e.Holder != "b" || e.Lease.Fence != 2 {
		t.Fatalf("observed %+v", e)
	}
}

// Guards against a restarted daemon that waits for the lease of its own earlier run
// to expire, and against one that takes the lease of another daemon at once.
func TestLeaseOfEarlierRunIsTakenAtOnce(t *testing.T) {
	api := newFakeAPI()
	a := newContender(api, "host/1", 1)
	a.acquire()
	runContenders(time.Second, a)
	restarted, other := newContender(api, "host/2", 2), newContender(api, "other/1", 3)
	isEarlier := func(prefix string) func(string) bool {
		return func(holder string) bool { return strings.HasPrefix(holder, prefix) }
	}
	other.manager.Acquire("x", LeaseOptions{Duration: testLeaseDuration, Listener: other.listen, IsEarlierRun: isEarlier("other/")})
	runContenders(testLeaseDuration/4, other)
	restarted.manager.Acquire("x", LeaseOptions{Duration: testLeaseDuration, Listener: restarted.listen, IsEarlierRun: isEarlier("host/")})
	runContenders(testLeaseDuration/4, restarted, other)
	if !restarted.isHolder() || other.isHolder() || restarted.lease.Fence != 2 {
		t.Fatalf("the restarted daemon holds %+v, the other one %+v", restarted.lease, other.lease)
	}
	if e := restarted.received[len(restarted.received)-1]; e.PreviousHolder != "host/1" && restarted.received[0].PreviousHolder != "host/1" {
		t.Errorf("the previous holder is %q", e.PreviousHolder)
	}
}

// Guards against a takeover before the duration and the drift margin have passed,
// and against a missing takeover after them.
func TestTakeoverOnlyAfterDurationAndMargin(t *testing.T) {
	api := newFakeAPI()
	a, b := newContender(api, "a", 1), newContender(api, "b", 2)
	a.acquire()
	runContenders(time.Second, a)
	b.acquire()
	runContenders(time.Second, b) // a has stopped
	runContenders(testLeaseDuration+testLeaseDuration/driftDivisor-time.Second-leaseTestStep, b)
	if b.isHolder() {
		t.Fatal("taken over too early")
	}
	runContenders(testLeaseDuration, b)
	if !b.isHolder() || b.lease.Fence != 2 {
		t.Fatalf("not taken over: %+v", b.lease)
	}
}

// Guards against a contender that polls slowly and tries to claim the lease of a
// live holder whenever its last read is old. Such writes grow with the number of
// daemons. It must still take over from a holder that has stopped.
func TestSlowContenderDoesNotWrite(t *testing.T) {
	const slowPoll = 4 * testLeaseDuration
	api := newFakeAPI()
	a, b := newContender(api, "a", 1), newContender(api, "b", 2)
	a.acquire()
	runContenders(time.Second, a)
	b.manager.Acquire("x", LeaseOptions{Duration: testLeaseDuration, Listener: b.listen, PollPeriod: func() time.Duration { return slowPoll }})
	runContenders(10*slowPoll, a, b)
	if calls := b.store.Stats().Calls; calls > 11 {
		t.Errorf("%d calls in 10 periods", calls)
	}
	if s := b.manager.Stats(); s.Failed > 0 {
		t.Errorf("%d writes failed", s.Failed)
	}
	runContenders(2*slowPoll+testLeaseDuration, b) // a has stopped
	if !b.isHolder() || b.lease.Fence != 2 {
		t.Errorf("not taken over: %+v", b.lease)
	}
}

// Guards against a paused holder that still uses its lease: the clock advances
// while the daemon does not run.
func TestPausedHolderLosesLease(t *testing.T) {
	api := newFakeAPI()
	a := newContender(api, "a", 1)
	a.acquire()
	runContenders(time.Second, a)
	lease := a.lease
	a.clock.Advance(testLeaseDuration)
	if lease.IsValidAt(a.clock.Now()) {
		t.Fatal("the lease is valid after the pause")
	}
	if _, ok := a.manager.Check("x"); ok {
		t.Fatal("Check passes after the pause, before the duty has run")
	}
	runContenders(testLeaseDuration, a)
	if !a.isHolder() || a.lease.Fence <= lease.Fence {
		t.Fatalf("gained again with %+v after %+v", a.lease, lease)
	}
}

// Guards against validity that counts from the answer. It must count from the
// sending of the write, so that a late answer grants nothing.
func TestValidityStartsAtSending(t *testing.T) {
	a := newContender(newFakeAPI(), "a", 1)
	a.acquire()
	var sentAt time.Time
	for range 10 { // the read, then the write, which is delayed
		a.manager.Loop().RunPending()
		a.store.Loop().RunPending()
		if len(a.api.calls) > 0 && len(a.pool.calls) > 0 {
			sentAt = a.clock.Now()
			break
		}
		a.pool.run()
	}
	a.clock.Advance(time.Second)
	a.runPending()
	// A renewal follows at once, so the deadline of the gain is checked.
	for _, e := range a.received {
		if want := sentAt.Add(usableDuration(testLeaseDuration)); e.Kind == LeaseGained && !e.Lease.Deadline.Equal(want) {
			t.Fatalf("deadline %v, want %v", e.Lease.Deadline, want)
		}
	}
	if a.manager.Stats().Gained != 1 {
		t.Fatalf("events %+v, want one gain", a.received)
	}
	late := newContender(newFakeAPI(), "late", 1)
	late.acquire()
	late.manager.Loop().RunPending()
	late.runPending()
	granted := len(late.received)
	late.clock.Advance(testLeaseDuration / renewDivisor)
	late.manager.Loop().RunPending()
	late.store.Loop().RunPending()
	// The old lease has ended; the renewal in progress would last a little longer.
	late.clock.Advance(testLeaseDuration * 6 / 10)
	late.runPending()
	for _, e := range late.received[granted:] {
		if e.Kind == LeaseRenewed {
			t.Fatalf("a renewal restored a lost lease: %+v", e)
		}
		if e.Kind == LeaseGained {
			break
		}
	}
}

// Guards against a holder that keeps its lease through an outage longer than 3/4 of
// the duration, and against one that loses it in a shorter outage.
func TestLeaseThroughStoreOutage(t *testing.T) {
	a := newContender(newFakeAPI(), "a", 1)
	a.acquire()
	runContenders(time.Second, a)
	outage := func(d time.Duration) {
		a.api.chooseOutcome = func(bool) callOutcome { return rejectUnavailable }
		runContenders(d, a)
		a.api.chooseOutcome = func(bool) callOutcome { return applyCall }
	}
	outage(testLeaseDuration / 4)
	runContenders(4*testLeaseDuration, a)
	if a.manager.Stats().Lost != 0 {
		t.Fatal("the lease was lost in a short outage")
	}
	outage(testLeaseDuration)
	if a.isHolder() || a.manager.Stats().Lost != 1 {
		t.Fatal("the lease was kept through a long outage")
	}
	runContenders(4*testLeaseDuration, a)
	if !a.isHolder() || a.lease.Fence != 2 {
		t.Fatalf("after the outage: %+v", a.lease)
	}
}

// Guards against a lease that is lost because an answer is lost, in every way that
// an answer can be lost.
func TestLeaseSurvivesLostAnswers(t *testing.T) {
	for _, lost := range []callOutcome{applyAndLoseAnswer, dropCall, applyLate} {
		a := newContender(newFakeAPI(), "a", 1)
		a.api.scriptWrites(lost)
		a.acquire()
		runContenders(time.Second, a)
		a.api.scriptWrites(lost)
		runContenders(testLeaseDuration, a)
		a.api.applyDelayed()
		runContenders(4*testLeaseDuration, a)
		if !a.isHolder() || a.manager.Stats().Lost != 0 || a.lease.Fence != 1 {
			t.Errorf("outcome %d: %+v, counters %+v", lost, a.lease, a.manager.Stats())
		}
	}
}

// Guards against fencing numbers that restart when the lease object is deleted.
func TestFencingNumbersGrowOverDelete(t *testing.T) {
	api := newFakeAPI()
	a, b := newContender(api, "a", 1), newContender(api, "b", 2)
	a.acquire()
	runContenders(time.Second, a, b)
	b.acquire()
	runContenders(time.Second, a, b)
	remove := func() { _, _ = api.apply(Write{Key: LeasePrefix + "x", IfVersion: AnyVersion}, true) }
	remove()
	runContenders(10*testLeaseDuration, a, b)
	if !a.isHolder() || b.isHolder() || a.manager.Stats().Lost != 0 {
		t.Fatalf("the holder lost its lease by the delete: %+v %+v", a.lease, b.lease)
	}
	remove() // the holder has stopped
	runContenders(10*testLeaseDuration, b)
	if !b.isHolder() || b.lease.Fence != 2 {
		t.Fatalf("after the delete: %+v", b.lease)
	}
}

const (
	leaseSeeds      = 240
	leaseTrialSteps = 1500 // 30 s
)

// Guards against two holders at once and against fencing numbers that do not grow,
// with pauses, clocks of different speeds, outages, lost answers and late writes.
// All times refer to the loop's common time line.
func TestOnlyOneHolderAtATime(t *testing.T) {
	t.Logf("seeds 1 to %d", leaseSeeds)
	gains := 0
	for seed := uint64(1); seed <= leaseSeeds; seed++ {
		gained, err := runLeaseTrial(seed)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		gains += gained
	}
	if gains < 5*leaseSeeds {
		t.Fatalf("%d gains in %d trials: the contenders do not compete", gains, leaseSeeds)
	}
}

func runLeaseTrial(seed uint64) (gains int, err error) {
	random := rand.New(rand.NewPCG(seed, seed))
	api := newFakeAPI()
	failureRate := 0.0
	api.chooseOutcome = func(bool) callOutcome {
		if random.Float64() >= failureRate {
			return applyCall
		}
		return callOutcome(1 + random.IntN(int(rejectRateLimited)))
	}
	highestFence := int64(0)
	contenders := make([]*contender, 2+random.IntN(2))
	for i := range contenders {
		c := newContender(api, fmt.Sprint("daemon-", i), seed*10+uint64(i))
		c.clockSpeed = 0.95 + 0.1*random.Float64()
		c.onReceive = func(e LeaseEvent) {
			if e.Kind != LeaseGained {
				return
			}
			gains++
			if e.Lease.Fence <= highestFence {
				err = fmt.Errorf("gained with fencing number %d after %d", e.Lease.Fence, highestFence)
			}
			highestFence = e.Lease.Fence
		}
		c.acquire()
		contenders[i] = c
	}
	for step := 0; step < leaseTrialSteps && err == nil; step++ {
		if random.IntN(100) == 0 {
			failureRate = []float64{0, 0, 0.2, 0.5, 1}[random.IntN(5)]
		}
		if len(api.delayed) > 0 && random.IntN(20) == 0 {
			api.applyDelayed()
		}
		c := contenders[random.IntN(len(contenders))]
		switch random.IntN(150) {
		case 0:
			c.pausedSteps = random.IntN(250)
		case 1:
			if c.pausedSteps == 0 && c.isHolder() {
				c.manager.Release("x")
				c.lease = Lease{} // its users have stopped
			}
		case 2:
			c.acquire()
		}
		stepInParts(contenders, random)
		err = checkHolders(contenders, err)
	}
	return gains, err
}

// stepInParts runs a random part of each contender's pending work, so that calls
// and answers are delayed and reordered.
func stepInParts(contenders []*contender, random *rand.Rand) {
	for _, c := range contenders {
		c.clock.Advance(time.Duration(float64(leaseTestStep) * c.clockSpeed))
		if c.pausedSteps > 0 {
			c.pausedSteps--
			continue
		}
		for range random.IntN(4) {
			c.manager.Loop().RunPending()
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
		if c.isHolder() {
			holders++
		}
	}
	if holders > 1 && err == nil {
		return fmt.Errorf("%d holders at once", holders)
	}
	return err
}
