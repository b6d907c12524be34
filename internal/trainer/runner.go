package trainer

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// SampleOutcome is the outcome of one run of a sample.
type SampleOutcome struct {
	Text   string
	Tokens []int32
	Spans  []core.Span
	Err    *core.Error
}

// SampleRun describes one run of a sample.
type SampleRun struct {
	Request *core.Request
	// OnVersion is called when the weight version that the engine reports
	// changes. It does not wait.
	OnVersion func(core.Version)
	// OnDone is called once, also after a cancellation. It does not wait.
	OnDone func(SampleOutcome)
}

// Runner runs samples. Start never waits; if it reports false, nothing ran.
// cancel may be called from any goroutine and more than once.
type Runner interface {
	Start(run SampleRun) (cancel func(), ok bool)
}

// Pool runs blocking calls; duty.Pool implements it.
type Pool interface {
	TryGo(f func()) bool
}

// PoolRunner runs samples through the admission duty, with one pool goroutine for
// each sample in flight.
type PoolRunner struct {
	Submitter core.Submitter
	Pool      Pool
}

// Start implements Runner. It reports false if the pool is full.
func (r PoolRunner) Start(run SampleRun) (func(), bool) {
	ctx, cancel := context.WithDeadline(context.Background(), run.Request.Deadline)
	started := r.Pool.TryGo(func() {
		defer cancel()
		call := core.NewCall(ctx, run.Request)
		if !r.Submitter.Submit(call) {
			run.OnDone(SampleOutcome{Err: core.NotRunError(core.CodeOverloaded, "admission queue is full")})
			return
		}
		run.OnDone(collectSample(ctx, call, run.OnVersion))
	})
	if !started {
		cancel()
	}
	return cancel, started
}

// collectSample reads the answer of the call until its end.
func collectSample(ctx context.Context, call *core.Call, onVersion func(core.Version)) SampleOutcome {
	var assembler core.Assembler
	var lastVersion core.Version
	for {
		chunk, end, ok := call.Answer.Next(ctx)
		switch {
		case !ok:
			return SampleOutcome{Err: core.MayHaveRunError(core.CodeDeadline, "sample was cancelled or reached its deadline")}
		case end != nil && end.Err != nil:
			return SampleOutcome{Err: end.Err}
		case end != nil:
			return SampleOutcome{Text: assembler.Text(), Tokens: assembler.Tokens(), Spans: assembler.Spans()}
		}
		if _, err := assembler.Accept(chunk); err != nil {
			return SampleOutcome{Err: core.AsError(err)}
		}
		if chunk.Version != lastVersion && len(chunk.Tokens) > 0 {
			lastVersion = chunk.Version
			onVersion(lastVersion)
		}
	}
}

// maxRunTime bounds one run. All samples of a step end within 5 minutes, so a longer
// run is of no use.
const maxRunTime = 5 * time.Minute

func deadlineOf(f core.Freshness, started time.Time) time.Time {
	if f.MaxAge > 0 && time.Duration(f.MaxAge) < maxRunTime {
		return started.Add(time.Duration(f.MaxAge))
	}
	return started.Add(maxRunTime)
}
