package hosted

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"golang.org/x/time/rate"

	"github.com/berylfall/berylfall/internal/platform"
)

const (
	// slowLinkRate is the rate, in bytes per second, at which a slow link carries answers.
	slowLinkRate = 400 << 10
	slowLinkPart = 4 << 10 // bytes that it carries at once
)

// startSlowLink returns an address that leads to the server at target. All its connections
// together carry the answers at slowLinkRate.
func startSlowLink(t *testing.T, target string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	limiter := rate.NewLimiter(slowLinkRate, slowLinkPart)
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(server, client)
				_ = server.Close()
			}()
			go copySlowly(client, server, limiter)
		}
	}()
	return l.Addr().String()
}

func copySlowly(to, from net.Conn, limiter *rate.Limiter) {
	defer to.Close() //nolint:errcheck // the test sees a connection that ends
	part := make([]byte, slowLinkPart)
	for {
		n, err := from.Read(part)
		if n == 0 && err != nil {
			return
		}
		if limiter.WaitN(context.Background(), n) != nil {
			return
		}
		if _, err := to.Write(part[:n]); err != nil {
			return
		}
	}
}

// Guards against a read that is cut off by its length and begins again while its answer
// keeps arriving, as it does on the link of a small host that many reads share.
func TestReadThatKeepsArrivingIsNotCutOff(t *testing.T) {
	const valueBytes = 900 << 10
	b := newStoreBed(t, platform.StoreOptions{CallTimeout: storeCallTimeout, ReadTimeout: storeReadTimeout}, true)
	if err := b.store.Put("results", "o", map[string]any{"writeToken": "w", "value": strings.Repeat("v", valueBytes)}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	defer cancel()
	r := b.duty.Do(ctx, platform.Op{Kind: platform.OpGet, Key: "results/o"})
	if r.Err != nil || len(r.Object.Value) < valueBytes {
		t.Errorf("value of %d bytes: %v", len(r.Object.Value), r.Err)
	}
	if n := b.calls.Load(); n != 1 {
		t.Errorf("%d calls of the store", n)
	}
}
