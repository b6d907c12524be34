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
	waitLimit = 30 * time.Second // for events that take milliseconds
	silence   = 200 * time.Millisecond
	tokens    = 6
)

// rig is a client before one engine and one plain service.
type rig struct {
	ctx    context.Context
	client *backendhttp.Client
	engine *engine.Server
	plain  *plain.Server
}

func newRig(t testing.TB) *rig {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	runner, err := duty.NewRunner(16)
	check(t, err)
	t.Cleanup(func() {
		cancel()
		runner.Stop(ctx)
	})
	e, err := engine.Start("127.0.0.1:0", duty.SystemClock{}, runner, engine.Options{Service: "wear-model", Model: "wear", Version: 7, ContextTokens: 64, Slots: 8})
	check(t, err)
	p, err := plain.Start("127.0.0.1:0", duty.SystemClock{}, runner, plain.Options{Service: "card-desk", Operations: []string{"book"}})
	check(t, err)
	return &rig{ctx: ctx, client: newClient(t), engine: e, plain: p}
}

func newClient(t testing.TB) *backendhttp.Client {
	t.Helper()
	return newClientWith(t, silence)
}

func newClientWith(t testing.TB, silence time.Duration) *backendhttp.Client {
	t.Helper()
	c, err := backendhttp.NewClient(backendhttp.Options{ReadIdleTimeout: silence, ProbeTimeout: waitLimit})
	check(t, err)
	return c
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (r *rig) attempt(ctx context.Context, t testing.TB, modelCall, repeatable bool) backend.Attempt {
	t.Helper()
	request := &core.Request{ID: core.RequestID(uuid.NewString()), Model: "wear", Prompt: "strap", MaxTokens: tokens, Repeatable: repeatable}
	address := r.engine.Address()
	if !modelCall {
		request.Operation, request.Body = "book", []byte(`{"slot":"9:00"}`)
		address = r.plain.Address()
	}
	description, err := r.client.Describe(r.ctx, address)
	check(t, err)
	return backend.Attempt{Number: 1, Call: core.NewCall(ctx, request), Context: ctx, Address: address, Incarnation: description.Incarnation}
}

// Guards against a false verdict at each point where a plain service can fail,
// and against a run that the verdict does not admit.
func TestVerdictsOfPlainCalls(t *testing.T) {
	cases := []struct {
		name    string
		faults  plain.Faults
		want    core.Verdict
		runs    int
		crashed bool
	}{
		{name: "whole answer", want: core.Ran, runs: 1},
		{name: "refused as not started", faults: plain.Faults{Refuse: true}, want: core.NotRun},
		{name: "refused after the start", faults: plain.Faults{RefuseAfterStart: true}, want: core.MayHaveRun, runs: 1},
		{name: "failure after the run", faults: plain.Faults{FailLate: true}, want: core.MayHaveRun, runs: 1},
		{name: "broken before the answer", faults: plain.Faults{BreakBefore: true}, want: core.MayHaveRun, runs: 1},
		{name: "broken within the answer", faults: plain.Faults{BreakWithin: true}, want: core.MayHaveRun, runs: 1},
		{name: "crash", faults: plain.Faults{CrashOn: "9:00"}, want: core.MayHaveRun, runs: 1, crashed: true},
		{name: "silent connection", faults: plain.Faults{Silent: true}, want: core.MayHaveRun, runs: 1},
	}
	r := newRig(t)
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

// Guards against a false verdict, and against a lost or doubled token, at each
// point where an engine's stream can fail.
func TestVerdictsOfStreams(t *testing.T) {
	cases := []struct {
		name    string
		faults  engine.Faults
		want    core.Verdict
		tokens  int
		runs    int
		crashed bool
	}{
		{name: "whole answer", want: core.Ran, tokens: tokens, runs: 1},
		{name: "refused as not started", faults: engine.Faults{Refuse: true}, want: core.NotRun},
		{name: "refused after the start", faults: engine.Faults{RefuseAfterStart: true}, want: core.MayHaveRun, runs: 1},
		{name: "broken within the answer", faults: engine.Faults{BreakAfter: 3}, want: core.MayHaveRun, tokens: 3, runs: 1},
		{name: "last event lost", faults: engine.Faults{LoseLastEvent: true}, want: core.Ran, tokens: tokens, runs: 1},
		{name: "last event of a short answer lost", faults: engine.Faults{LoseLastEvent: true, StopAt: 4}, want: core.Ran, tokens: 4, runs: 1},
		{name: "events twice", faults: engine.Faults{Duplicate: true}, want: core.Ran, tokens: tokens, runs: 1},
		{name: "event lost", faults: engine.Faults{SkipEvent: 2}, want: core.MayHaveRun, tokens: 2, runs: 1},
		{name: "answer to another request", faults: engine.Faults{Crossed: true}, want: core.MayHaveRun, runs: 1},
		{name: "crash", faults: engine.Faults{CrashOn: "strap"}, want: core.MayHaveRun, runs: 1, crashed: true},
		{name: "silent connection", faults: engine.Faults{Silent: true}, want: core.MayHaveRun, runs: 1},
	}
	r := newRig(t)
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

// Guards against cache events that are lost or changed between the engine's
// format and the load view.
func TestCacheEvents(t *testing.T) {
	r := newRig(t)
	a := r.attempt(r.ctx, t, true, true)
	a.Call.Request.Prompt = strings.Repeat("strap ", 2*backend.PrefixBlockBytes/6+1)
	if end := r.client.Exchange(a); end.Err != nil {
		t.Fatal(end.Err)
	}
	var events []backend.CacheEvent
	for len(events) == 0 && r.ctx.Err() == nil {
		var err error
		events, err = r.client.CacheEvents(r.ctx, r.engine.Address(), 1)
		check(t, err)
	}
	want := backend.CacheEvent{Sequence: 2, Kind: backend.PrefixStored, Prefix: xxhash.Sum64String(a.Call.Request.Prompt[:2*backend.PrefixBlockBytes])}
	if len(events) != 1 || events[0] != want {
		t.Errorf("events %+v, want %+v", events, want)
	}
}

// serve runs script for each connection to a listener and returns its address.
func serve(t *testing.T, script func(connection int, c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
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

func call(ctx context.Context, address string, body []byte, repeatable bool) backend.Attempt {
	r := &core.Request{ID: "r", Operation: "book", Body: body, Repeatable: repeatable}
	return backend.Attempt{Number: 1, Call: core.NewCall(ctx, r), Context: ctx, Address: address, Incarnation: "i"}
}

// Guards against a claim of "not run" where nothing proves it: the server
// closes after a part of the request or after all of it.
func TestVerdictsOfBrokenConnections(t *testing.T) {
	large := make([]byte, 8<<20) // more than the sockets buffer
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
			address := serve(t, func(_ int, conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, c.read))
				_ = conn.SetLinger(0)
				_ = conn.Close()
			})
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			end := newClient(t).Exchange(call(ctx, address, c.body, false))
			if end.Verdict != core.MayHaveRun || end.Err == nil {
				t.Errorf("verdict %v, error %v; want %v", end.Verdict, end.Err, core.MayHaveRun)
			}
		})
	}
}

// Guards against "may have run" for a server that is not there.
func TestDialRefusedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	_ = l.Close()
	end := newClient(t).Exchange(call(context.Background(), l.Addr().String(), nil, false))
	if end.Verdict != core.NotRun || end.Err == nil || end.Crashed {
		t.Fatalf("end = %+v, want not-run without a crash", end)
	}
}

// Guards against a request on a kept connection that the server closed: the
// second request goes over a new one and runs.
func TestKeptConnectionClosedByServer(t *testing.T) {
	closed := make(chan struct{}, 1)
	address := serve(t, func(_ int, c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
		_ = c.Close()
		closed <- struct{}{}
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	client := newClient(t)
	for i := range 3 {
		if end := client.Exchange(call(ctx, address, []byte("{}"), true)); end.Verdict != core.Ran {
			t.Fatalf("request %d: %v %v, want it to run", i, end.Verdict, end.Err)
		}
		<-closed
	}
}

// Guards against a blocked read that outlives its caller, and against a wrong
// code or verdict for a deadline or a caller that is gone.
func TestEndOfContext(t *testing.T) {
	r := newRig(t)
	r.client = newClientWith(t, 2*waitLimit) // only closing ends a read in time
	r.plain.SetFaults(r.ctx, plain.Faults{Silent: true})
	defer r.plain.SetFaults(r.ctx, plain.Faults{})
	gone, leave := context.WithCancel(r.ctx)
	leave()
	if end := r.client.Exchange(r.attempt(gone, t, false, false)); end.Verdict != core.NotRun || end.Err.Code != core.CodeCancelled {
		t.Errorf("caller gone before: %v %v", end.Verdict, end.Err)
	}
	short, stop := context.WithTimeout(r.ctx, silence/4)
	defer stop()
	end := r.client.Exchange(r.attempt(short, t, false, false))
	if end.Err.Code != core.CodeDeadline {
		t.Errorf("deadline during the attempt: %v %v", end.Verdict, end.Err)
	}
	leaving, leave := context.WithCancel(r.ctx)
	before := len(r.plain.Runs(r.ctx))
	a := r.attempt(leaving, t, false, false)
	go func() {
		for len(r.plain.Runs(r.ctx)) == before && r.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	if end := r.client.Exchange(a); end.Verdict != core.MayHaveRun || end.Err.Code != core.CodeCancelled {
		t.Errorf("caller gone during the attempt: %v %v", end.Verdict, end.Err)
	}
	check(t, r.ctx.Err())
}

// Guards against an engine that goes on for a caller that is gone.
func TestCancelReachesEngine(t *testing.T) {
	r := newRig(t)
	r.client = newClientWith(t, 2*waitLimit) // only closing ends a read in time
	r.engine.SetFaults(r.ctx, engine.Faults{Silent: true})
	ctx, leave := context.WithCancel(r.ctx)
	a := r.attempt(ctx, t, true, true)
	a.Call.Request.MaxTokens = 1 << 30
	go func() {
		for r.engine.Counts(r.ctx).Runs[string(a.Call.Request.ID)] == 0 && r.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	end := r.client.Exchange(a)
	if end.Verdict != core.MayHaveRun || !end.CancelAtServer {
		t.Fatalf("end = %v, cancel %v; want may-have-run and a cancel", end.Verdict, end.CancelAtServer)
	}
	r.client.Cancel(a)
	if c := r.engine.Counts(r.ctx); c.Cancels != 1 {
		t.Fatalf("the engine was told to cancel %d times, want once", c.Cancels)
	}
}

// Guards against an answer run again, although only the event after its last
// token was lost together with the engine.
func TestAllTokensOfALostEngine(t *testing.T) {
	address := serve(t, func(i int, c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil && i == 0 {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
			for p := range tokens {
				_, _ = fmt.Fprintf(c, "data: {\"position\":%d,\"tokens\":[%d],\"weight_version\":7}\n\n", p, p)
			}
		}
		_ = c.Close()
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	r := &core.Request{ID: "r", Model: "wear", MaxTokens: tokens, Repeatable: true}
	end := newClient(t).Exchange(backend.Attempt{Number: 1, Call: core.NewCall(ctx, r), Context: ctx, Address: address, Incarnation: "i"})
	if end.Verdict != core.Ran || len(end.Tokens) != tokens || end.End.FinishReason != backendhttp.FinishReasonLength {
		t.Fatalf("verdict %v, %d tokens, error %v; want the whole answer", end.Verdict, len(end.Tokens), end.Err)
	}
}

// Guards against a slow stream that is dropped as a silent one: its engine
// reports the position that arrived.
func TestSlowStreamIsWaitedFor(t *testing.T) {
	r := newRig(t)
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
		t.Fatalf("verdict %v, %d tokens, error %v; want the whole answer", end.Verdict, len(end.Tokens), end.Err)
	}
}

// Guards against a call that must not be repeated and is given up while its
// server is alive: only its deadline ends it.
func TestSilentCallWaitsForItsDeadline(t *testing.T) {
	r := newRig(t)
	r.plain.SetFaults(r.ctx, plain.Faults{Silent: true})
	ctx, stop := context.WithTimeout(r.ctx, 6*silence)
	defer stop()
	end := r.client.Exchange(r.attempt(ctx, t, false, false))
	r.plain.SetFaults(r.ctx, plain.Faults{})
	if end.Err == nil || end.Err.Code != core.CodeDeadline {
		t.Fatalf("end %v %v, want the deadline", end.Verdict, end.Err)
	}
}

// Guards against a whole answer that is held back until its engine ends the
// body, which it may never do.
func TestWholeAnswerDoesNotWaitForTheBodysEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	address := serve(t, func(_ int, c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+
			"data: {\"position\":0,\"tokens\":[0],\"finish_reason\":\"stop\"}\n\n")
		<-ctx.Done()
		_ = c.Close()
	})
	r := &core.Request{ID: "r", Model: "wear", MaxTokens: tokens, Repeatable: true}
	end := newClientWith(t, 2*waitLimit).Exchange(backend.Attempt{Number: 1, Call: core.NewCall(ctx, r), Context: ctx, Address: address})
	if end.Verdict != core.Ran || len(end.Tokens) != 1 {
		t.Fatalf("verdict %v, %d tokens, error %v; want the whole answer", end.Verdict, len(end.Tokens), end.Err)
	}
	check(t, ctx.Err())
}
