package backendhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
	"github.com/berylfall/berylfall/internal/transport/transporttest"
)

// Guards against a repeatable request that waits for its read time-outs and probes on a
// broken path, on which the operating system may still deliver it.
func TestRequestInAPartitionIsGivenUp(t *testing.T) {
	for name, model := range map[string]string{"plain call": "", "model call": "wear"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			connections := make(chan net.Conn, 1)
			address := transporttest.Serve(t, func(c net.Conn) {
				select {
				case connections <- c:
				default: // a probe, which waits as well
				}
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			client := newClientWithIdleTimeout(t, backendhttp.DefaultReadIdleTimeout)
			if end := client.Exchange(plainAttempt(ctx, address, nil, true)); end.Err != nil {
				t.Fatal(end.Err)
			}
			transporttest.Partition(t, <-connections)
			a := plainAttempt(ctx, address, nil, true)
			if model != "" {
				r := &core.Request{ID: "r", Model: model, MaxTokens: tokens, Repeatable: true}
				a = backend.Attempt{Number: 1, Call: core.NewCall(ctx, r), Context: ctx, Address: address}
			}
			end := client.Exchange(a)
			if end.Verdict != core.MayHaveRun || end.Err == nil || !errors.Is(end.Err, transport.ErrUnacknowledged) {
				t.Errorf("verdict %v after %v, error %v", end.Verdict, end.Duration, end.Err)
			}
		})
	}
}
