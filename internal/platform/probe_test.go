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

// silentPool keeps work until it is run; a silent store never lets it run.
type silentPool struct{ work []func() }

func (p *silentPool) TryGo(f func()) bool {
	p.work = append(p.work, f)
	return true
}

func (p *silentPool) runAll() {
	for _, f := range p.work {
		f()
	}
	p.work = nil
}

// Guards against an outage that nobody notices since the store is only silent,
// and against a watch that is made anew without one.
func TestProbeSeesOutages(t *testing.T) {
	clock, pool, pinger := duty.NewManualClock(time.Unix(0, 0)), &silentPool{}, &fakePinger{}
	var seen []bool
	p := NewProbe(clock, pinger, pool, func(up bool) { seen = append(seen, up) })
	second := func(answered bool) {
		clock.Advance(ProbePeriod)
		p.Loop().RunPending()
		if answered {
			pool.runAll()
		}
		p.Loop().RunPending()
	}
	second(true)
	second(false) // silent from here on
	second(false)
	second(true) // late answers of earlier pings do not count
	pinger.err = errors.New("refused")
	second(true)
	pinger.err = nil
	second(true)
	if got := fmt.Sprint(seen); got != "[false true false true]" {
		t.Errorf("changes %v", got)
	}
}
