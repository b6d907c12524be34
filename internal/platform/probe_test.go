package platform

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

type fakePinger struct{ err error }

func (p *fakePinger) Ping(context.Context) error { return p.err }

// deferredPool keeps calls until the test runs them. Calls to a store that does not
// answer are never run.
type deferredPool struct{ work []func() }

func (p *deferredPool) TryGo(f func()) bool {
	p.work = append(p.work, f)
	return true
}

func (p *deferredPool) runAll() {
	for _, f := range p.work {
		f()
	}
	p.work = nil
}

// Guards against an undetected outage of a store that keeps connections open but
// does not answer, and against a reported outage that did not happen.
func TestProbeDetectsOutages(t *testing.T) {
	clock, pool, pinger := duty.NewManualClock(time.Unix(0, 0)), &deferredPool{}, &fakePinger{}
	var seen []bool
	p := NewProbe(clock, pinger, pool, func(c AvailabilityChange) { seen = append(seen, c.Up) })
	second := func(answered bool) {
		clock.Advance(ProbePeriod)
		p.Loop().RunPending()
		if answered {
			pool.runAll()
		}
		p.Loop().RunPending()
	}
	second(true)
	second(false) // the store does not answer from here on
	second(false)
	second(true) // late answers to earlier pings are ignored
	pinger.err = errors.New("refused")
	second(true)
	pinger.err = nil
	second(true)
	if got := fmt.Sprint(seen); got != "[false true false true]" {
		t.Errorf("changes %v", got)
	}
}
