package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// verdictSeeds is the number of random runs of TestVerdictsMatchExecutions.
const verdictSeeds = 300

// requestHistory records what happened to a request, of which the dispatch duty
// observes only a part.
type requestHistory struct {
	call     *core.Call
	runs     int // executions on servers
	attempts int // attempts that were executed
	end      *core.End
	ends     int // ends that the caller received
}

// verdictSimulation generates random outcomes of attempts.
type verdictSimulation struct {
	*dispatchHarness
	random    *rand.Rand
	histories map[core.RequestID]*requestHistory
}

func newVerdictSimulation(t *testing.T, seed uint64) *verdictSimulation {
	p := &verdictSimulation{random: rand.New(rand.NewPCG(seed, 3)), histories: map[core.RequestID]*requestHistory{}}
	p.dispatchHarness = newDispatchHarness(t, 4, p.exchange)
	return p
}

// exchange chooses what a server does with an attempt and what the daemon
// observes of it. Only a refusal and a connection that was never opened prove
// that the request did not run.
func (p *verdictSimulation) exchange(a Attempt) AttemptEnd {
	history := p.histories[a.Call.Request.ID]
	if d := a.Call.Request.Deadline; !d.IsZero() && !p.clock.Now().Before(d) {
		// The context of the attempt has ended, so the exchange sends nothing.
		return FailedAttempt(core.NotRunError(core.CodeDeadline, "the deadline passed before the first byte was sent"))
	}
	switch draw := p.random.Float64(); {
	case draw < 0.25:
		return refused(a)
	case draw < 0.32:
		end := FailedAttempt(core.NotRunError(core.CodeBackendFailure, "no connection"))
		end.Unreachable = true
		return end
	case draw < 0.40: // lost before the server: it did not run, but the daemon cannot know
		return broken(a)
	}
	history.runs++
	history.attempts++
	switch draw := p.random.Float64(); {
	case draw < 0.25:
		return broken(a)
	case draw < 0.35:
		end := broken(a)
		end.Crashed = true
		return end
	case draw < 0.45:
		end := broken(a)
		end.End = core.End{Verdict: core.Ran, Status: 500}
		return end
	}
	return AttemptEnd{Verdict: core.Ran, End: core.End{Verdict: core.Ran, Status: 200}}
}

func (p *verdictSimulation) submitOne(i int) {
	r := &core.Request{
		ID: core.RequestID(fmt.Sprint("r", i)), Service: "desk", Operation: "look", Fingerprint: uint64(i),
		Repeatable: p.random.IntN(2) == 0, MaxAttempts: 1 + p.random.IntN(4),
	}
	if r.Repeatable {
		r.HedgeShare = 0.5
	}
	if p.random.IntN(2) == 0 {
		r.Deadline = p.clock.Now().Add(time.Duration(p.random.IntN(800)) * time.Millisecond)
	}
	c := core.NewCall(context.Background(), r)
	history := &requestHistory{call: c}
	c.OnEnd = func(*core.Call, core.End) { history.ends++ }
	p.histories[r.ID] = history
	p.dispatch.Submit(c)
}

// step advances the clock and runs some of the pending attempts in random
// order.
func (p *verdictSimulation) step() {
	p.clock.Advance(time.Duration(p.random.IntN(60)) * time.Millisecond)
	p.dispatch.loop.RunPending()
	p.random.Shuffle(len(p.pending), func(i, j int) { p.pending[i], p.pending[j] = p.pending[j], p.pending[i] })
	for n := p.random.IntN(len(p.pending) + 1); n > 0; n-- {
		f := p.pending[0]
		p.pending = p.pending[1:]
		f()
		p.dispatch.loop.RunPending()
	}
	p.collect()
}

func (p *verdictSimulation) collect() {
	for _, history := range p.histories {
		if history.end != nil {
			continue
		}
		if e := endOf(history.call); e != nil {
			history.end = e
		}
	}
}

func (history *requestHistory) check() error {
	r := history.call.Request
	switch {
	case history.end == nil:
		return fmt.Errorf("request %s never ended", r.ID)
	case history.ends != 1:
		return fmt.Errorf("request %s ended %d times", r.ID, history.ends)
	case history.end.Verdict == core.NotRun && history.runs > 0:
		return fmt.Errorf("request %s has the verdict not-run and ran %d times", r.ID, history.runs)
	case !r.Repeatable && history.runs > 1:
		return fmt.Errorf("request %s ran %d times and must not be repeated", r.ID, history.runs)
	case history.attempts > r.MaxAttempts:
		return fmt.Errorf("request %s had %d executed attempts, %d are allowed", r.ID, history.attempts, r.MaxAttempts)
	case history.end.Verdict == core.Ran && history.runs == 0:
		return fmt.Errorf("request %s has the verdict ran and did not run", r.ID)
	}
	return nil
}

// Guards against a request that ends twice, against a not-run verdict for a request
// that ran or will run later, against a second execution of a call that must not be repeated, and against
// more attempts than a request allows.
func TestVerdictsMatchExecutions(t *testing.T) {
	for seed := range uint64(verdictSeeds) {
		p := newVerdictSimulation(t, seed)
		const requests = 40
		for i := range requests {
			p.submitOne(i)
			p.step()
		}
		for range 400 {
			p.step()
		}
		ids := make([]core.RequestID, 0, requests)
		for id := range p.histories {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			if err := p.histories[id].check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
}
