package trainer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/trainer"
)

// Sizes of the benchmark: one step of the target size on 512 slots.
const (
	benchGroups    = 1024
	benchSamples   = 8
	benchSlots     = 512
	benchTokenTime = 10 * time.Millisecond
	stragglerShare = 0.02
	stragglerTimes = 10
	benchSeeds     = 5
)

// lengths draws the number of tokens of each run of a sample. Each prompt has a
// typical length, around which the runs of its samples vary.
type lengths struct {
	typical []float64
	spread  distuv.LogNormal
	random  *rand.Rand
}

func newLengths(seed uint64) *lengths {
	random := rand.New(rand.NewPCG(seed, 1))
	l := &lengths{spread: distuv.LogNormal{Mu: 0, Sigma: 0.25, Src: random}, random: random}
	prompts := distuv.LogNormal{Mu: 5.5, Sigma: 0.5, Src: random} // median 245 tokens
	for range benchGroups {
		l.typical = append(l.typical, prompts.Rand())
	}
	return l
}

func (l *lengths) draw(group int) int {
	n := l.typical[group] * l.spread.Rand()
	if l.random.Float64() < stragglerShare {
		n *= stragglerTimes
	}
	return int(n) + 1
}

func tokensTime(n int) time.Duration { return time.Duration(n) * benchTokenTime }

// stepResult holds the measurements of one step.
type stepResult struct {
	step      time.Duration // until the last group was delivered
	idle      time.Duration // time in which the trainer waited for a group
	staleness time.Duration // mean age of a sample when the trainer trains on it
	tokens    int           // tokens generated
	storeOps  int           // store operations
}

// benchTrainer is a trainer that trains on one group at a time.
type benchTrainer struct {
	perGroup time.Duration
	freeAt   time.Duration
	idle     time.Duration
	ages     time.Duration
	samples  int
}

func (b *benchTrainer) train(at time.Duration, started ...time.Duration) {
	if at > b.freeAt {
		b.idle += at - b.freeAt
		b.freeAt = at
	}
	for _, s := range started {
		b.ages += b.freeAt - s
		b.samples++
	}
	b.freeAt += b.perGroup
}

func (b *benchTrainer) staleness() time.Duration { return b.ages / time.Duration(max(1, b.samples)) }

// baseline runs a step in the order of the prompts, without spares. The delivery
// is "first-come" (each group once it is complete), "per-sample" or "barrier" (all
// groups at the end of the step).
func baseline(seed uint64, perGroup time.Duration, delivery string) stepResult {
	l := newLengths(seed)
	var o stepResult
	slots := make([]time.Duration, benchSlots)
	type finished struct {
		at      time.Duration
		started []time.Duration
	}
	groups := make([]finished, benchGroups)
	for g := range groups {
		for range benchSamples {
			n := l.draw(g)
			o.tokens += n
			first := 0
			for i := range slots {
				if slots[i] < slots[first] {
					first = i
				}
			}
			groups[g].started = append(groups[g].started, slots[first])
			slots[first] += tokensTime(n)
			groups[g].at = max(groups[g].at, slots[first])
		}
		o.step = max(o.step, groups[g].at)
	}
	b := benchTrainer{perGroup: perGroup}
	for range groups {
		next := -1
		for g := range groups {
			if groups[g].started != nil && (next < 0 || groups[g].at < groups[next].at) {
				next = g
			}
		}
		at := groups[next].at
		if delivery == "barrier" {
			at = o.step
		}
		b.train(at, groups[next].started...)
		groups[next].started = nil
	}
	o.idle, o.staleness = b.idle, b.staleness()
	o.storeOps = map[string]int{"barrier": 1, "first-come": benchGroups, "per-sample": benchGroups * benchSamples}[delivery]
	return o
}

// virtualEngine runs samples in virtual time, with one timer for each run.
type virtualEngine struct {
	harness *harness
	lengths *lengths
	tokens  int
}

func (v *virtualEngine) Start(j trainer.SampleRun) (func(), bool) {
	var group int
	if _, err := fmt.Sscanf(j.Request.Prompt, "bench %d", &group); err != nil {
		panic(err)
	}
	n := v.lengths.draw(group)
	began := v.harness.clock.Now()
	over := false
	end := func(o trainer.SampleOutcome) {
		if !over {
			over = true
			v.tokens += int(v.harness.clock.Now().Sub(began) / benchTokenTime)
			j.OnDone(o)
		}
	}
	v.harness.clock.AfterFunc(tokensTime(n), func() {
		end(trainer.SampleOutcome{Text: "x", Tokens: make([]int32, n), Spans: []core.Span{{Version: 1, To: n}}})
	})
	return func() {
		end(trainer.SampleOutcome{Err: core.MayHaveRunError(core.CodeCancelled, "cancelled")})
	}, true
}

// runManager runs one step after warm-up steps, in which the predictor observes the
// lengths of the prompts, as in a trainer's earlier epochs over its data.
func runManager(t testing.TB, seed uint64, perGroup time.Duration, spares, warmups int) stepResult {
	c := testContract("t1")
	c.Freshness = core.Freshness{MaxVersionsBehind: 2, MaxAge: core.Duration(15 * time.Minute)}
	c.Trainers[0].SpareSamples = spares
	h := newHarness(t, c, benchSlots)
	v := &virtualEngine{harness: h, lengths: newLengths(seed)}
	h.manager = trainer.New(h.clock, trainer.Options{
		RedirectAddress: func() string { return "10.0.0.1:7300" }, Runner: v, Store: h, Leases: h, MaxInFlight: benchSlots,
	})
	h.manager.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
		c.Customer: {Customer: c.Customer, Version: 1, Contract: &c},
	}})
	h.fetch(context.Background(), "t1")
	h.gainLease("t1", 1)
	var o stepResult
	for step := 1; step <= warmups+1; step++ {
		o = runStep(t, h, v, int64(step), perGroup)
	}
	return o
}

func runStep(t testing.TB, h *harness, v *virtualEngine, step int64, perGroup time.Duration) stepResult {
	spec := trainer.StepSpec{Customer: "prairie", Step: step, Model: model, MaxTokens: 65536}
	for i := range benchGroups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprint("bench ", i), Samples: benchSamples})
	}
	h.submit(context.Background(), trainer.Query{Open: &trainer.OpenRequest{Trainer: "t1", Spec: spec}})
	tokensBefore, storeOpsBefore := v.tokens, h.manager.Stats().StoreOperations
	began := h.clock.Now()
	b := benchTrainer{perGroup: perGroup}
	var o stepResult
	for got := 0; got < benchGroups; {
		fetched := h.fetch(context.Background(), "t1")
		for len(*fetched) == 0 {
			h.clock.Advance(50 * time.Millisecond)
			h.manager.Loop().RunPending()
		}
		deliveries := (*fetched)[0].Deliveries
		o.step = h.clock.Now().Sub(began)
		for _, d := range deliveries {
			var started []time.Duration
			for _, s := range d.Group.Samples {
				started = append(started, s.Started.Sub(began))
			}
			b.train(o.step, started...)
		}
		got += len(deliveries)
		h.ack("t1", deliveries...)
		if o.step > time.Hour {
			t.Fatalf("%d groups of %d after an hour", got, benchGroups)
		}
	}
	h.advance(3 * time.Second)
	o.idle, o.staleness = b.idle, b.staleness()
	o.tokens = v.tokens - tokensBefore
	o.storeOps = int(h.manager.Stats().StoreOperations - storeOpsBefore)
	return o
}

// ideal is the time in which the slots could run every sample once without idle
// slots.
func ideal(seed uint64) time.Duration {
	l := newLengths(seed)
	work := 0
	for g := range benchGroups {
		for range benchSamples {
			work += l.draw(g)
		}
	}
	return tokensTime(work) / benchSlots
}

// BenchmarkStep reports a step of 8,192 samples on 512 slots in virtual time,
// with 2% stragglers of 10 times the length, beside the baselines. Figures are
// means over seeds 1 to benchSeeds, worst-step/ideal is the highest of them.
func BenchmarkStep(b *testing.B) {
	var firstIdle float64
	report := func(name string, run func(seed uint64, perGroup time.Duration) stepResult) {
		b.Run(name, func(b *testing.B) {
			var step, worst, idle, staleness, work, calls float64
			for b.Loop() {
				step, worst, idle, staleness, work, calls = 0, 0, 0, 0, 0, 0
				for seed := uint64(1); seed <= benchSeeds; seed++ {
					best := ideal(seed)
					// The trainer trains as fast as the slots can deliver.
					o := run(seed, best/benchGroups)
					ratio := o.step.Seconds() / best.Seconds()
					step += ratio / benchSeeds
					worst = max(worst, ratio)
					idle += o.idle.Seconds() / benchSeeds
					staleness += o.staleness.Seconds() / benchSeeds
					work += float64(tokensTime(o.tokens)) / benchSlots / float64(best) / benchSeeds
					calls += float64(o.storeOps) / benchSeeds
				}
			}
			if name == "baseline-first-come" {
				firstIdle = idle
			}
			b.ReportMetric(step, "step/ideal")
			b.ReportMetric(worst, "worst-step/ideal")
			b.ReportMetric(idle, "idle-s")
			b.ReportMetric(idle/max(firstIdle, 1), "idle/first-come")
			b.ReportMetric(staleness, "staleness-s")
			b.ReportMetric(work, "work/ideal")
			b.ReportMetric(calls, "store-calls")
		})
	}
	for _, name := range []string{"first-come", "barrier", "per-sample"} {
		report("baseline-"+name, func(seed uint64, perGroup time.Duration) stepResult { return baseline(seed, perGroup, name) })
	}
	for _, spares := range []int{0, 1, 2} {
		for _, warm := range []int{0, 2} {
			report(fmt.Sprintf("spares-%d-warm-%d", spares, warm), func(seed uint64, perGroup time.Duration) stepResult {
				return runManager(b, seed, perGroup, spares, warm)
			})
		}
	}
}

// BenchmarkMemory reports the memory of the duty per 1,000 samples in flight,
// without the stacks of pool goroutines, and per 1,000 complete samples of 500
// tokens.
func BenchmarkMemory(b *testing.B) {
	const samples = 4096
	var flight, done float64
	for b.Loop() {
		r := newHarness(b, testContract("t1"), samples)
		var none, before, running, finished runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&none)
		r.manager = trainer.New(r.clock, trainer.Options{
			RedirectAddress: func() string { return "" }, Runner: r, Store: r, Leases: r, MaxInFlight: samples,
		})
		c := testContract("t1")
		r.manager.SetContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
			"prairie": {Customer: "prairie", Version: 1, Contract: &c},
		}})
		r.fetch(context.Background(), "t1")
		r.gainLease("t1", 1)
		runtime.GC()
		runtime.ReadMemStats(&before)
		r.open("t1", 1, samples/8, 8)
		runtime.GC()
		runtime.ReadMemStats(&running)
		r.finishRuns(500)
		runtime.GC()
		runtime.ReadMemStats(&finished)
		flight = float64(running.HeapAlloc-before.HeapAlloc) / samples * 1000
		done = float64(finished.HeapAlloc-before.HeapAlloc) / samples * 1000
		runtime.KeepAlive(r)
	}
	b.ReportMetric(flight/1024, "KiB/1000-in-flight")
	b.ReportMetric(done/1024, "KiB/1000-finished")
}
