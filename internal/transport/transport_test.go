package transport

import (
	"context"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const waitLimit = 30 * time.Second

// Guards against a planned stop that truncates a response: Shutdown must return
// only after a request in flight has received its whole response.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	runner, err := duty.NewRunner(4)
	check(t, err)
	server, err := Listen("127.0.0.1:0", ServerOptions{})
	check(t, err)
	entered, release := ring.New[bool]("entered", 1), ring.New[bool]("release", 1)
	server.Router().GET("/slow", func(ctx context.Context, c *app.RequestContext) {
		entered.TryPut(true)
		release.Take(ctx)
		c.String(consts.StatusOK, `"whole"`)
	})
	check(t, runner.Serve("test", server.Serve, server.Shutdown))
	client, err := NewClient(ClientOptions{})
	check(t, err)
	answers := ring.New[string]("answers", 1)
	pool, err := duty.NewPool("test", 2)
	check(t, err)
	pool.TryGo(func() {
		var body string
		if err := DoJSON(ctx, client, Exchange{Method: "GET", URL: "http://" + server.Address() + "/slow"}, &body); err != nil {
			body = err.Error()
		}
		answers.TryPut(body)
	})
	entered.Take(ctx)
	stopped := ring.New[bool]("stopped", 1)
	pool.TryGo(func() {
		_ = server.Shutdown(ctx)
		stopped.TryPut(true)
	})
	if server.WaitIdle(expiredContext()) {
		t.Error("WaitIdle reports idle with a request in flight")
	}
	release.TryPut(true)
	if _, ok := stopped.Take(ctx); !ok {
		t.Fatal("Shutdown did not return after the last response")
	}
	if body, _ := answers.Take(ctx); body != "whole" {
		t.Errorf("response body = %q, want the whole one", body)
	}
}

// Guards against work that continues after its caller has disconnected.
func TestHandlerContextEndsWhenTheClientDisconnects(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	runner, err := duty.NewRunner(4)
	check(t, err)
	defer runner.Stop(ctx)
	server, err := Listen("127.0.0.1:0", ServerOptions{})
	check(t, err)
	contextEnded := ring.New[bool]("gone", 1)
	server.Router().GET("/wait", func(ctx context.Context, _ *app.RequestContext) {
		<-ctx.Done()
		contextEnded.TryPut(true)
	})
	check(t, runner.Serve("test", server.Serve, server.Shutdown))
	client, err := NewClient(ClientOptions{})
	check(t, err)
	_ = DoJSON(ctx, client, Exchange{Method: "GET", URL: "http://" + server.Address() + "/wait", Timeout: 50 * time.Millisecond}, nil)
	client.CloseIdleConnections()
	if _, ok := contextEnded.Take(ctx); !ok {
		t.Error("the handler's context was not cancelled")
	}
}

func expiredContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
