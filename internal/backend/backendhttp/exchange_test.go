package backendhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/standin/engine"
	"github.com/berylfall/berylfall/internal/standin/plain"
)

const (
	testTimeout     = 30 * time.Second // for events that normally take milliseconds
	readIdleTimeout = 200 * time.Millisecond
	tokens          = 6
)

// harness is a client with one engine and one plain service.
type harness struct {
	ctx    context.Context
	client *backendhttp.Client
	engine *engine.Server
	plain  *plain.Server
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	runner, err := duty.NewRunner(16)
	requireNoError(t, err)
	t.Cleanup(func() {
		cancel()
		runner.Stop(ctx)
	})
	e, err := engine.Start("127.0.0.1:0", duty.SystemClock{}, runner, engine.Options{Service: "wear-model", Model: "wear", Version: 7, ContextTokens: 64, Slots: 8})
	requireNoError(t, err)
	p, err := plain.Start("127.0.0.1:0", duty.SystemClock{}, runner, plain.Options{Service: "card-desk", Operations: []string{"book"}})
	requireNoError(t, err)
	return &harness{ctx: ctx, client: newClient(t), engine: e, plain: p}
}

func newClient(t testing.TB) *backendhttp.Client {
	t.Helper()
	return newClientWithIdleTimeout(t, readIdleTimeout)
}

func newClientWithIdleTimeout(t testing.TB, timeout time.Duration) *backendhttp.Client {
	t.Helper()
	return backendhttp.NewClient(backendhttp.Options{ReadIdleTimeout: timeout, ProbeTimeout: testTimeout})
}

func requireNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (r *harness) attempt(ctx context.Context, t testing.TB, modelCall, repeatable bool) backend.Attempt {
	t.Helper()
	request := &core.Request{ID: core.RequestID(uuid.NewString()), Model: "wear", Prompt: "strap", MaxTokens: tokens, Repeatable: repeatable}
	address := r.engine.Address()
	if !modelCall {
		request.Operation, request.Body = "book", []byte(`{"slot":"9:00"}`)
		address = r.plain.Address()
	}
	description, err := r.client.Describe(r.ctx, address)
	requireNoError(t, err)
	return backend.Attempt{Number: 1, Call: core.NewCall(ctx, request), Context: ctx, Address: address, Incarnation: description.Incarnation}
}

// Guards against a wrong verdict at each point where a plain service can fail,
// and against an execution that contradicts the verdict.
func TestVerdictsOfPlainCalls(t *testing.T) {
	cases := []struct {
		name    string
		faults  plain.Faults
		want    core.Verdict
		runs    int
		crashed bool
	}{
		{name: "complete answer", want: core.Ran, runs: 1},
		{name: "refused as not started", faults: plain.Faults{Refuse: true}, want: core.NotRun},
		{name: "refused after the start", faults: plain.Faults{RefuseAfterStart: true}, want: core.MayHaveRun, runs: 1},
		{name: "failure after the run", faults: plain.Faults{FailLate: true}, want: core.MayHaveRun, runs: 1},
		{name: "broken before the answer", faults: plain.Faults{BreakBefore: true}, want: core.MayHaveRun, runs: 1},
		{name: "broken within the answer", faults: plain.Faults{BreakWithin: true}, want: core.MayHaveRun, runs: 1},
		{name: "crash", faults: plain.Faults{CrashOn: "9:00"}, want: core.MayHaveRun, runs: 1, crashed: true},
		{name: "stalled connection", faults: plain.Faults{Silent: true}, want: core.MayHaveRun, runs: 1},
	}
	r := newHarness(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := len(r.plain.Runs(r.ctx))
			r.plain.SetFaults(r.ctx, c.faults)
			end := r.client.Exchange(r.attempt(r.ctx, t, false, true))
			r.plain.SetFaults(r.ctx, plain.Faults{})
			if end.Verdict != c.want || (end.Err == nil) != (c.want == core.Ran) || end.Crashed != c.crashed {
				t.Errorf("verdict %v, crashed %v, error %v; want %v, %v", end.Verdict, end.Crashed, end.Err, c.want, c.crashed)
			}
			if runs := len(r.plain.Runs(r.ctx)) - before; runs != c.runs {
				t.Errorf("the service ran the call %d times, want %d", runs, c.runs)
			}
		})
	}
}

// Guards against a wrong verdict, and against lost or duplicated tokens, at
// each point where an engine's stream can fail.
func TestVerdictsOfStreams(t *testing.T) {
	cases := []struct {
		name    string
		faults  engine.Faults
		want    core.Verdict
		tokens  int
		runs    int
		crashed bool
	}{
		{name: "complete answer", want: core.Ran, tokens: tokens, runs: 1},
		{name: "refused as not started", faults: engine.Faults{Refuse: true}, want: core.NotRun},
		{name: "refused after the start", faults: engine.Faults{RefuseAfterStart: true}, want: core.MayHaveRun, runs: 1},
		{name: "broken within the answer", faults: engine.Faults{BreakAfter: 3}, want: core.MayHaveRun, tokens: 3, runs: 1},
		{name: "last event lost", faults: engine.Faults{LoseLastEvent: true}, want: core.Ran, tokens: tokens, runs: 1},
		{name: "last event of a short answer lost", faults: engine.Faults{LoseLastEvent: true, StopAt: 4}, want: core.Ran, tokens: 4, runs: 1},
		{name: "repeated events", faults: engine.Faults{Duplicate: true}, want: core.Ran, tokens: tokens, runs: 1},
		{name: "event lost", faults: engine.Faults{SkipEvent: 2}, want: core.MayHaveRun, tokens: 2, runs: 1},
		{name: "answer of another request", faults: engine.Faults{Crossed: true}, want: core.MayHaveRun, runs: 1},
		{name: "crash", faults: engine.Faults{CrashOn: "strap"}, want: core.MayHaveRun, runs: 1, crashed: true},
		{name: "stalled connection", faults: engine.Faults{Silent: true}, want: core.MayHaveRun, runs: 1},
	}
	r := newHarness(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r.engine.SetFaults(r.ctx, c.faults)
			a := r.attempt(r.ctx, t, true, true)
			end := r.client.Exchange(a)
			r.engine.SetFaults(r.ctx, engine.Faults{})
			if end.CancelAtServer {
				r.client.Cancel(a)
			}
			if end.Verdict != c.want || (end.Err == nil) != (c.want == core.Ran) || end.Crashed != c.crashed {
				t.Errorf("verdict %v, crashed %v, error %v; want %v, %v", end.Verdict, end.Crashed, end.Err, c.want, c.crashed)
			}
			for i, token := range end.Tokens {
				if int(token) != i {
					t.Errorf("token %d is %d", i, token)
				}
			}
			if len(end.Tokens) != c.tokens {
				t.Errorf("%d tokens arrived, want %d", len(end.Tokens), c.tokens)
			}
			if runs := r.engine.Counts(r.ctx).Runs[string(a.Call.Request.ID)]; runs != c.runs {
				t.Errorf("the engine started the request %d times, want %d", runs, c.runs)
			}
		})
	}
}

// Guards against cache events that are lost or altered in the conversion from
// the engine's format.
func TestCacheEvents(t *testing.T) {
	r := newHarness(t)
	a := r.attempt(r.ctx, t, true, true)
	a.Call.Request.Prompt = strings.Repeat("strap ", 2*backend.PrefixBlockBytes/6+1)
	if end := r.client.Exchange(a); end.Err != nil {
		t.Fatal(end.Err)
	}
	var events []backend.CacheEvent
	for len(events) == 0 && r.ctx.Err() == nil {
		var err error
		events, err = r.client.CacheEvents(r.ctx, r.engine.Address(), 1)
		requireNoError(t, err)
	}
	want := backend.CacheEvent{Sequence: 2, Kind: backend.PrefixStored, Prefix: xxhash.Sum64String(a.Call.Request.Prompt[:2*backend.PrefixBlockBytes])}
	if len(events) != 1 || events[0] != want {
		t.Errorf("events %+v, want %+v", events, want)
	}
}

// serveScript runs script for each connection to a listener and returns the
// listener's address.
func serveScript(t *testing.T, script func(connection int, c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			script(i, c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func plainAttempt(ctx context.Context, address string, body []byte, repeatable bool) backend.Attempt {
	r := &core.Request{ID: "r", Operation: "book", Body: body, Repeatable: repeatable}
	return backend.Attempt{Number: 1, Call: core.NewCall(ctx, r), Context: ctx, Address: address, Incarnation: "i"}
}

// Guards against a not-run verdict without proof: the server closes the
// connection after it received a part of the request or all of it.
func TestVerdictsOfBrokenConnections(t *testing.T) {
	large := make([]byte, 8<<20) // more than the socket buffers hold
	cases := []struct {
		name string
		body []byte
		read int
	}{
		{"after a part of the request", large, 10},
		{"after the request", []byte("{}"), 4096},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := serveScript(t, func(_ int, conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, c.read))
				_ = conn.SetLinger(0)
				_ = conn.Close()
			})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			end := newClient(t).Exchange(plainAttempt(ctx, address, c.body, false))
			if end.Verdict != core.MayHaveRun || end.Err == nil {
				t.Errorf("verdict %v, error %v; want %v", end.Verdict, end.Err, core.MayHaveRun)
			}
		})
	}
}

// Guards against a may-have-run verdict when nothing listens at the address.
func TestDialRefusedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	_ = l.Close()
	end := newClient(t).Exchange(plainAttempt(context.Background(), l.Addr().String(), nil, false))
	if end.Verdict != core.NotRun || end.Err == nil || end.Crashed {
		t.Fatalf("end = %+v, want not-run without a crash", end)
	}
}

// Guards against a failed request when the server closed the kept-alive
// connection: the request must go over a new connection and run.
func TestKeptConnectionClosedByServer(t *testing.T) {
	closed := make(chan struct{}, 1)
	address := serveScript(t, func(_ int, c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := newClient(t)
	for i := range 3 {
		if end := client.Exchange(plainAttempt(ctx, address, []byte("{}"), true)); end.Verdict != core.Ran {
			t.Fatalf("request %d: %v %v, want it to run", i, end.Verdict, end.Err)
		}
		<-closed
	}
}

// Guards against a blocked read that outlives its caller, and against a wrong
// code or verdict after a deadline or a cancellation.
func TestContextEndsAttempt(t *testing.T) {
	r := newHarness(t)
	r.client = newClientWithIdleTimeout(t, 2*testTimeout) // only closing the connection ends a read in time
	r.plain.SetFaults(r.ctx, plain.Faults{Silent: true})
	defer r.plain.SetFaults(r.ctx, plain.Faults{})
	cancelled, cancelBefore := context.WithCancel(r.ctx)
	cancelBefore()
	if end := r.client.Exchange(r.attempt(cancelled, t, false, false)); end.Verdict != core.NotRun || end.Err.Code != core.CodeCancelled {
		t.Errorf("cancelled before the attempt: %v %v", end.Verdict, end.Err)
	}
	short, stop := context.WithTimeout(r.ctx, readIdleTimeout/4)
	defer stop()
	end := r.client.Exchange(r.attempt(short, t, false, false))
	if end.Err.Code != core.CodeDeadline {
		t.Errorf("deadline during the attempt: %v %v", end.Verdict, end.Err)
	}
	cancellable, cancelBefore := context.WithCancel(r.ctx)
	before := len(r.plain.Runs(r.ctx))
	a := r.attempt(cancellable, t, false, false)
	go func() {
		for len(r.plain.Runs(r.ctx)) == before && r.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancelBefore()
	}()
	if end := r.client.Exchange(a); end.Verdict != core.MayHaveRun || end.Err.Code != core.CodeCancelled {
		t.Errorf("cancelled during the attempt: %v %v", end.Verdict, end.Err)
	}
	requireNoError(t, r.ctx.Err())
}

// Guards against an engine that keeps processing the request of a caller that
// has cancelled.
func TestCancelReachesEngine(t *testing.T) {
	r := newHarness(t)
	r.client = newClientWithIdleTimeout(t, 2*testTimeout) // only closing the connection ends a read in time
	r.engine.SetFaults(r.ctx, engine.Faults{Silent: true})
	ctx, cancel := context.WithCancel(r.ctx)
	a := r.attempt(ctx, t, true, true)
	a.Call.Request.MaxTokens = 1 << 30
	go func() {
		for r.engine.Counts(r.ctx).Runs[string(a.Call.Request.ID)] == 0 && r.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	end := r.client.Exchange(a)
	if end.Verdict != core.MayHaveRun || !end.CancelAtServer {
		t.Fatalf("end = %v, cancel %v; want may-have-run and a cancel", end.Verdict, end.CancelAtServer)
	}
	r.client.Cancel(a)
	if c := r.engine.Counts(r.ctx); c.Cancels != 1 {
		t.Fatalf("the engine received %d cancellations, want 1", c.Cancels)
	}
}

// Guards against repeating a model call when the engine failed after the last
// token and only the last event was lost.
func TestAllTokensWithoutLastEventCompleteAnswer(t *testing.T) {
	address := serveScript(t, func(i int, c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil && i == 0 {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
			for p := range tokens {
				_, _ = fmt.Fprintf(c, "data: {\"position\":%d,\"tokens\":[%d],\"weight_version\":7}\n\n", p, p)
			}
		}
		_ = c.Close()
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := &core.Request{ID: "r", Model: "wear", MaxTokens: tokens, Repeatable: true}
	end := newClient(t).Exchange(backend.Attempt{Number: 1, Call: core.NewCall(ctx, r), Context: ctx, Address: address, Incarnation: "i"})
	if end.Verdict != core.Ran || len(end.Tokens) != tokens || end.End.FinishReason != backendhttp.FinishReasonLength {
		t.Fatalf("verdict %v, %d tokens, error %v; want the complete answer", end.Verdict, len(end.Tokens), end.Err)
	}
}

// Guards against breaking off a slow stream: its engine reports the position of
// the last received token.
func TestSlowStreamIsNotTakenForIdle(t *testing.T) {
	r := newHarness(t)
	a := r.attempt(r.ctx, t, true, true)
	r.engine.SetFaults(r.ctx, engine.Faults{PauseAt: 3})
	resumed := make(chan struct{})
	go func() {
		defer close(resumed)
		for r.engine.Counts(r.ctx).StatusQueries < 3 && r.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		resp, err := http.Post("http://"+r.engine.Address()+backendhttp.PathRequests+string(a.Call.Request.ID)+"/resume", "", nil)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	end := r.client.Exchange(a)
	<-resumed
	if end.Verdict != core.Ran || len(end.Tokens) != tokens {
		t.Fatalf("verdict %v, %d tokens, error %v; want the complete answer", end.Verdict, len(end.Tokens), end.Err)
	}
}

// Guards against breaking off a call that must not be repeated while its server
// is alive: only its deadline ends it.
func TestIdleCallWaitsForItsDeadline(t *testing.T) {
	r := newHarness(t)
	r.plain.SetFaults(r.ctx, plain.Faults{Silent: true})
	ctx, stop := context.WithTimeout(r.ctx, 6*readIdleTimeout)
	defer stop()
	end := r.client.Exchange(r.attempt(ctx, t, false, false))
	r.plain.SetFaults(r.ctx, plain.Faults{})
	if end.Err == nil || end.Err.Code != core.CodeDeadline {
		t.Fatalf("end %v %v, want the deadline", end.Verdict, end.Err)
	}
}

// Guards against delaying a complete answer until the engine ends the body,
// which it may never do.
func TestCompleteAnswerDoesNotWaitForEndOfBody(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	address := serveScript(t, func(_ int, c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+
			"data: {\"position\":0,\"tokens\":[0],\"finish_reason\":\"stop\"}\n\n")
		<-ctx.Done()
		_ = c.Close()
	})
	r := &core.Request{ID: "r", Model: "wear", MaxTokens: tokens, Repeatable: true}
	end := newClientWithIdleTimeout(t, 2*testTimeout).Exchange(backend.Attempt{Number: 1, Call: core.NewCall(ctx, r), Context: ctx, Address: address})
	if end.Verdict != core.Ran || len(end.Tokens) != 1 {
		t.Fatalf("verdict %v, %d tokens, error %v; want the complete answer", end.Verdict, len(end.Tokens), end.Err)
	}
	requireNoError(t, ctx.Err())
}
