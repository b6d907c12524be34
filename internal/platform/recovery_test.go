package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

const (
	recoverySeeds = 200
	recoveryStep  = 10 * time.Millisecond
	// recoveryBound is the time after the store's return within which a read that is
	// submitted every recoveryReadPeriod must have its first answer, and after which no
	// read may be refused.
	recoveryBound      = 1200 * time.Millisecond
	recoveryReadPeriod = 200 * time.Millisecond
	// recoveryFaultTime is how long answers are slow, lost or refused after the return.
	recoveryFaultTime   = time.Second
	recoveryCallTimeout = 800 * time.Millisecond
	recoveryRoundTrip   = 10 * time.Millisecond
	recoverySlowAnswer  = 250 * time.Millisecond
)

// cutFault is the behaviour of the store in the first recoveryFaultTime after a cut, or,
// for cutRefused, in its place.
type cutFault string

const (
	cutPrompt cutFault = "prompt answers"
	cutSlow   cutFault = "slow answers"
	cutLossy  cutFault = "one lost answer in three"
	cutStaged cutFault = "answers to pings only"
	// cutRefused is a store that refuses all calls in place of the cut.
	cutRefused cutFault = "refusals"
)

// cutCall is a call that is on its way.
type cutCall struct {
	run      func()
	endsAt   time.Time
	answered bool
	refused  bool // unless it is a ping
}

// cutSimulation is one daemon whose store does not answer between cutAt and healAt.
type cutSimulation struct {
	random        *rand.Rand
	clock         *duty.ManualClock
	store         *Store
	probe         *Probe
	fault         cutFault
	cutAt, healAt time.Time
	pending       []cutCall
	answering     bool // result of the call that is being run
	refusing      bool // the store refuses it unless it is a ping
	callsInCut    int

	firstAnswer time.Time // of a read submitted after the return
	lastRefused time.Time // submission of the last read that was refused
	// checkRefused is set if a read was refused that was submitted because the store
	// answers again.
	checkRefused bool
}

// TryGo implements Pool. It decides when the call ends and whether it is answered.
func (c *cutSimulation) TryGo(f func()) bool {
	now := c.clock.Now()
	call := cutCall{run: f, endsAt: now.Add(recoveryRoundTrip), answered: true}
	sinceHeal := now.Sub(c.healAt)
	isFaulty := sinceHeal >= 0 && sinceHeal < recoveryFaultTime
	isCut := !now.Before(c.cutAt) && now.Before(c.healAt)
	switch {
	case isCut && c.fault == cutRefused:
		call.answered = false
	case isCut, isFaulty && c.fault == cutLossy && c.random.IntN(3) == 0:
		call.endsAt, call.answered = now.Add(recoveryCallTimeout), false
	case isFaulty && c.fault == cutStaged:
		call.refused = true
	case isFaulty && c.fault == cutSlow:
		call.endsAt = now.Add(recoverySlowAnswer)
	}
	c.pending = append(c.pending, call)
	if isCut {
		c.callsInCut++
	}
	return true
}

func (c *cutSimulation) outcome() error {
	if c.refusing {
		return ErrUnavailable
	}
	return c.pingOutcome()
}

func (c *cutSimulation) pingOutcome() error {
	switch {
	case c.answering:
		return nil
	case c.fault == cutRefused:
		return ErrUnavailable
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, ErrUnknownOutcome)
}

func (c *cutSimulation) Ping(context.Context) error { return c.pingOutcome() }

func (c *cutSimulation) Get(_ context.Context, key string) (Object, error) {
	return Object{Key: key, Version: 1}, c.outcome()
}

func (c *cutSimulation) Find(ctx context.Context, key string) (Object, error) { return c.Get(ctx, key) }

func (c *cutSimulation) List(context.Context, string) (Listing, error) {
	return Listing{}, c.outcome()
}

func (c *cutSimulation) Watch(context.Context, string, int64) (Listing, error) {
	return Listing{}, c.outcome()
}

func (c *cutSimulation) Put(_ context.Context, w Write) (Object, error) {
	if err := c.outcome(); err == nil || c.refusing || c.fault == cutRefused {
		return Object{Key: w.Key, Version: 2, Token: w.Token}, err
	}
	return Object{}, ErrUnknownOutcome
}

func (c *cutSimulation) Delete(ctx context.Context, w Write) (Object, error) {
	return c.Put(ctx, w)
}

func newCutSimulation(seed uint64, fault cutFault) *cutSimulation {
	random := rand.New(rand.NewPCG(seed, 5))
	c := &cutSimulation{random: random, clock: duty.NewManualClock(testStart), fault: fault}
	c.cutAt = testStart.Add(time.Second + time.Duration(random.Int64N(int64(time.Second))))
	c.healAt = c.cutAt.Add(2*time.Second + time.Duration(random.Int64N(int64(4*time.Second))))
	c.store = NewStoreWithOptions(c.clock, c, c, StoreOptions{
		CallTimeout: recoveryCallTimeout, Random: random,
	})
	c.probe = NewProbe(c.clock, c, c, func(change AvailabilityChange) {
		if change.Up {
			c.submitCheck()
		}
	})
	c.probe.OnPingEnd(c.store.ReportCall)
	c.store.OnCallEnd(c.probe.ReportCall)
	return c
}

// run plays the cut and 3 s after it. Other duties submit urgent and normal
// operations all the time.
func (c *cutSimulation) run() {
	c.repeat(recoveryReadPeriod, func() { c.submitRead() })
	c.repeat(130*time.Millisecond, func() {
		c.store.Submit(Op{Kind: OpGet, Key: "normal", Reply: func(Result) {}})
	})
	c.repeat(700*time.Millisecond, func() {
		c.store.Submit(Op{Kind: OpPut, Key: "leases/x", IfVersion: 1, Urgent: true, Reply: func(Result) {}})
	})
	end := c.healAt.Add(3 * time.Second)
	for c.clock.Now().Before(end) {
		c.runLoops()
		c.endCalls()
		c.clock.Advance(recoveryStep)
	}
}

// repeat calls f once per period, from a random moment on.
func (c *cutSimulation) repeat(period time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		c.clock.AfterFunc(period, tick)
	}
	c.clock.AfterFunc(time.Duration(c.random.Int64N(int64(period))), tick)
}

func (c *cutSimulation) runLoops() {
	for c.store.Loop().RunPending()+c.probe.Loop().RunPending() > 0 {
	}
}

func (c *cutSimulation) endCalls() {
	calls := c.pending
	c.pending = nil
	for _, call := range calls {
		if c.clock.Now().Before(call.endsAt) {
			c.pending = append(c.pending, call)
			continue
		}
		c.answering, c.refusing = call.answered, call.refused
		call.run()
		c.runLoops()
	}
}

func (c *cutSimulation) submitRead() {
	submitted := c.clock.Now()
	c.store.Submit(Op{Kind: OpGet, Key: "state", FailFast: true, Timeout: 1500 * time.Millisecond, Reply: func(r Result) {
		switch {
		case errors.Is(r.Err, ErrUnavailable):
			c.lastRefused = submitted
		case !submitted.Before(c.healAt) && c.firstAnswer.IsZero():
			c.firstAnswer = c.clock.Now()
		}
	}})
}

// submitCheck submits a read as other duties do when they learn that the store answers.
func (c *cutSimulation) submitCheck() {
	c.store.Submit(Op{Kind: OpGet, Key: "check", FailFast: true, Reply: func(r Result) {
		c.checkRefused = c.checkRefused || errors.Is(r.Err, ErrStoreDown)
	}})
}

// Guards against a daemon that learns seconds after a cut what changed in the store,
// because its reads are refused or wait although the store answers again. With lost
// answers, or refused calls, the store counts as answering once they have ended.
func TestStoreAnswersSoonAfterACut(t *testing.T) {
	for _, fault := range []cutFault{cutPrompt, cutSlow, cutLossy, cutStaged, cutRefused} {
		bound := recoveryBound
		if fault == cutLossy || fault == cutStaged {
			bound += recoveryFaultTime
		}
		var longestAnswer, longestRefusal time.Duration
		var answerSeed, refusalSeed uint64
		calls, cutTime := 0, time.Duration(0)
		for seed := range uint64(recoverySeeds) {
			c := newCutSimulation(seed, fault)
			c.run()
			calls += c.callsInCut
			cutTime += c.healAt.Sub(c.cutAt)
			if c.firstAnswer.IsZero() {
				t.Fatalf("%s, seed %d: no read was answered", fault, seed)
			}
			if c.checkRefused {
				t.Errorf("%s, seed %d: a read submitted when the store answered again was refused", fault, seed)
			}
			if took := c.firstAnswer.Sub(c.healAt); took > longestAnswer {
				longestAnswer, answerSeed = took, seed
			}
			if took := c.lastRefused.Sub(c.healAt); took > longestRefusal {
				longestRefusal, refusalSeed = took, seed
			}
		}
		t.Logf("%s: first answer after at most %v (seed %d), last refused read submitted after at most %v (seed %d), %.1f calls per second of the cut",
			fault, longestAnswer, answerSeed, longestRefusal, refusalSeed, float64(calls)/cutTime.Seconds())
		if longestAnswer > bound {
			t.Errorf("%s, seed %d: first answer %v after the store's return, want at most %v", fault, answerSeed, longestAnswer, bound)
		}
		if longestRefusal > bound {
			t.Errorf("%s, seed %d: a read submitted %v after the store's return was refused, want none after %v", fault, refusalSeed, longestRefusal, bound)
		}
	}
}
