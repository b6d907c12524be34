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

// proofSeeds is the number of runs of the proof.
const proofSeeds = 300

// truth is what really happened to a request, which the dispatch duty can only
// conclude.
type truth struct {
	call     *core.Call
	runs     int // at servers
	attempts int // that ran
	end      *core.End
	ends     int
}

// proof plays random ends of attempts.
type proof struct {
	*bench
	random *rand.Rand
	truths map[core.RequestID]*truth
}

func newProof(t *testing.T, seed uint64) *proof {
	p := &proof{random: rand.New(rand.NewPCG(seed, 3)), truths: map[core.RequestID]*truth{}}
	p.bench = newBench(t, 4, p.exchange)
	return p
}

// exchange decides what a server does with an attempt, and what the daemon sees
// of it. Only a refusal and a connection that never opened prove that nothing ran.
func (p *proof) exchange(a Attempt) AttemptEnd {
	tr := p.truths[a.Call.Request.ID]
	if d := a.Call.Request.Deadline; !d.IsZero() && !p.clock.Now().Before(d) {
		// The attempt's context has ended, so the encoding sends nothing.
		return FailedAttempt(core.NotRunError(core.CodeDeadline, "the deadline passed before the first byte was sent"))
	}
	switch draw := p.random.Float64(); {
	case draw < 0.25:
		return refused(a)
	case draw < 0.32:
		end := FailedAttempt(core.NotRunError(core.CodeBackendFailure, "no connection"))
		end.Unreachable = true
		return end
	case draw < 0.40: // lost on the way: nothing ran, but nobody can tell
		return broken(a)
	}
	tr.runs++
	tr.attempts++
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

func (p *proof) submitOne(i int) {
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
	p.truths[r.ID] = &truth{call: c}
	p.dispatch.Submit(c)
}

// step lets some time pass and runs some of the waiting attempts, in any order.
func (p *proof) step() {
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

func (p *proof) collect() {
	for _, tr := range p.truths {
		if tr.end != nil {
			continue
		}
		if e := end(tr.call); e != nil {
			tr.end = e
			tr.ends++
		}
	}
}

func (tr *truth) check() error {
	r := tr.call.Request
	switch {
	case tr.end == nil:
		return fmt.Errorf("request %s never ended", r.ID)
	case tr.end.Verdict == core.NotRun && tr.runs > 0:
		return fmt.Errorf("request %s is said not to have run and ran %d times", r.ID, tr.runs)
	case !r.Repeatable && tr.runs > 1:
		return fmt.Errorf("request %s ran %d times, which must not be", r.ID, tr.runs)
	case tr.attempts > r.MaxAttempts:
		return fmt.Errorf("request %s ran at %d servers, %d are allowed", r.ID, tr.attempts, r.MaxAttempts)
	case tr.end.Verdict == core.Ran && tr.runs == 0:
		return fmt.Errorf("request %s is said to have run and did not", r.ID)
	}
	return nil
}

// Guards against a refusal that promises that nothing ran, or ever will, of a
// request that ran; against a second run of work that must not be repeated;
// and against more servers than a request may go to.
func TestEveryEndIsTrue(t *testing.T) {
	for seed := range uint64(proofSeeds) {
		p := newProof(t, seed)
		const requests = 40
		for i := range requests {
			p.submitOne(i)
			p.step()
		}
		for range 400 {
			p.step()
		}
		ids := make([]core.RequestID, 0, requests)
		for id := range p.truths {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			if err := p.truths[id].check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
}
