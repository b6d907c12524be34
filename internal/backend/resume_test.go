package backend_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/standin/engine"
	"github.com/berylfall/berylfall/internal/standin/plain"
)

const (
	testTimeout = 30 * time.Second // for events that normally take milliseconds
	tokens      = 40
)

// testFleet is a dispatch duty with stand-in servers on loopback connections.
type testFleet struct {
	ctx      context.Context
	client   *backendhttp.Client
	dispatch *backend.Dispatcher
	engines  []*engine.Server
	plain    *plain.Server
}

func startTestFleet(t testing.TB, engines int) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 4*testTimeout)
	runner, err := duty.NewRunner(32)
	requireNoError(t, err)
	pool, err := duty.NewPool("exchanges", 256)
	requireNoError(t, err)
	t.Cleanup(func() {
		cancel()
		runner.Stop(ctx)
		pool.Release()
	})
	clock := duty.SystemClock{}
	f := &testFleet{ctx: ctx}
	f.client = backendhttp.NewClient(backendhttp.Options{ReadIdleTimeout: 200 * time.Millisecond, ProbeTimeout: testTimeout})
	f.dispatch = backend.NewDispatcher(clock, rand.New(rand.NewPCG(11, 11)), f.client, pool, func(backend.SuspectReport) {})
	var servers []backend.Server
	add := func(address string) {
		d, err := f.client.Describe(ctx, address)
		requireNoError(t, err)
		servers = append(servers, backend.Server{ID: core.ServerID(address), Address: address, Description: d})
	}
	for range engines {
		e, err := engine.Start("127.0.0.1:0", clock, runner, engine.Options{Service: "wear-model", Model: "wear", Version: 7, ContextTokens: 64, Slots: 8})
		requireNoError(t, err)
		f.engines = append(f.engines, e)
		add(e.Address())
	}
	f.plain, err = plain.Start("127.0.0.1:0", clock, runner, plain.Options{Service: "desk", Operations: []string{"look"}})
	requireNoError(t, err)
	add(f.plain.Address())
	f.dispatch.SetServers(servers)
	requireNoError(t, runner.Start(f.dispatch.Loop()))
	return f
}

func requireNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// answer submits a model call and returns its assembled answer and its end.
func (f *testFleet) answer(t testing.TB, prompt string) (*core.Assembler, core.End) {
	t.Helper()
	call := core.NewCall(f.ctx, &core.Request{
		ID: core.RequestID(uuid.NewString()), Service: "wear-model", Model: "wear", Prompt: prompt, MaxTokens: tokens, Repeatable: true,
	})
	call.Request.Fingerprint = call.Request.ComputeFingerprint()
	if !f.dispatch.Submit(call) {
		t.Fatal("the call was refused")
	}
	var a core.Assembler
	for {
		chunk, end, ok := call.Answer.Next(f.ctx)
		if !ok {
			t.Fatal("no end of the answer")
		}
		if end != nil {
			return &a, *end
		}
		if chunk.Position != a.Position() {
			t.Fatalf("chunk at token %d after %d tokens", chunk.Position, a.Position())
		}
		_, err := a.Accept(chunk)
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against lost or duplicated tokens when a stream continues on another
// engine, for each way in which a stream can stop.
func TestStreamResumesByPosition(t *testing.T) {
	cases := map[string]engine.Faults{
		"broken stream":             {BreakAfter: 15},
		"gap":                       {SkipEvent: 9},
		"repeated events":           {Duplicate: true},
		"answer of another request": {Crossed: true},
		"stalled connection":        {Silent: true},
		"lost last event":           {LoseLastEvent: true},
		"refusal":                   {Refuse: true},
		"crash":                     {CrashOn: "strap"},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			f := startTestFleet(t, 3)
			f.engines[0].SetFaults(f.ctx, faults)
			if faults.CrashOn == "" {
				// With two crashes as the only suspect the request would be
				// quarantined.
				f.engines[1].SetFaults(f.ctx, faults)
			}
			a, e := f.answer(t, "strap")
			if e.Verdict != core.Ran || e.Err != nil || len(a.Tokens()) != tokens {
				t.Fatalf("%d tokens, end %v %v; want %d", len(a.Tokens()), e.Verdict, e.Err, tokens)
			}
			for i, token := range a.Tokens() {
				if int(token) != i {
					t.Fatalf("token %d is %d", i, token)
				}
			}
		})
	}
}

// Guards against lost progress when every engine breaks the stream at the same
// place: each attempt continues after the tokens of the previous ones.
func TestStreamKeepsProgressAcrossBrokenEngines(t *testing.T) {
	f := startTestFleet(t, 3)
	for _, e := range f.engines {
		e.SetFaults(f.ctx, engine.Faults{BreakAfter: tokens/3 + 1})
	}
	a, e := f.answer(t, "strap")
	if e.Verdict != core.Ran || len(a.Tokens()) != tokens || e.Attempts != 3 {
		t.Fatalf("%d tokens in %d attempts, end %v %v; want %d in 3", len(a.Tokens()), e.Attempts, e.Verdict, e.Err, tokens)
	}
}

// BenchmarkAttempt compares a plain call through the dispatch duty with a
// direct exchange with the same stand-in.
func BenchmarkAttempt(b *testing.B) {
	f := startTestFleet(b, 0)
	next := 0
	newCall := func() *core.Call {
		next++
		return core.NewCall(f.ctx, &core.Request{
			ID: core.RequestID(fmt.Sprint(next)), Service: "desk", Operation: "look", Repeatable: true, Body: []byte("{}"), Fingerprint: uint64(next),
		})
	}
	direct := func(b *testing.B) {
		for b.Loop() {
			call := newCall()
			end := f.client.Exchange(backend.Attempt{Number: 1, Call: call, Context: f.ctx, Address: f.plain.Address()})
			if end.Err != nil {
				b.Fatal(end.Err)
			}
		}
	}
	var baseline float64
	b.Run("direct", func(b *testing.B) {
		direct(b)
		baseline = float64(b.Elapsed()) / float64(b.N)
	})
	b.Run("dispatch", func(b *testing.B) {
		for b.Loop() {
			call := newCall()
			f.dispatch.Submit(call)
			if _, end, ok := call.Answer.Next(f.ctx); !ok || end.Err != nil {
				b.Fatal("no answer")
			}
		}
		b.ReportMetric(float64(b.Elapsed())/float64(b.N)/baseline, "x-direct")
	})
}
