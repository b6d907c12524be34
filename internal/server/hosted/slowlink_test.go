package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"golang.org/x/time/rate"

	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/trainer/batch"
	"github.com/berylfall/berylfall/platform/standin"
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

// storeEndedJob stores a job that has ended, whose daemons are gone.
func storeEndedJob(t *testing.T, store *standin.Store, id string, items, textBytes int) {
	t.Helper()
	put := func(kind, name string, value any) {
		if err := store.Put(kind, name, map[string]any{"writeToken": "w", "value": value}); err != nil {
			t.Fatal(err)
		}
	}
	gone := batch.Owner{Address: "127.0.0.1:1", Run: "gone"}
	job := batch.Job{ID: batch.JobID(id), Host: "h", Target: standin.BatchPrefix, Model: "m", AcceptedBy: gone}
	for i := range items {
		item := batch.ItemID(fmt.Sprintf("%s-%d", id, i))
		job.Items = append(job.Items, batch.Item{ID: item, Target: standin.BatchPrefix, Body: make([]byte, textBytes), Model: "m"})
		result := batch.Result{Item: item, Done: true, Text: strings.Repeat("t", textBytes), Score: "s"}
		put("results", fmt.Sprintf("%s.%05d", id, i), map[string]any{"from": i, "results": []batch.Result{result}})
	}
	put("jobs", id, job)
	put("jobstates", id, map[string]any{"owner": gone, "ended": true})
}

// Guards against an accepted job that no daemon can read after all of them have lost their
// memory, since its objects arrive slower than one call of the store may take.
func TestLargeJobIsReadableOverASlowLink(t *testing.T) {
	const (
		items     = 60
		textBytes = 10 << 10
	)
	f := newFleet(t, 0)
	storeEndedJob(t, f.store, "j1", items, textBytes)
	f.startDaemon(t, startSlowLink(t, f.store.Address()))
	waitFor(t, "a configuration", f.daemons[0].isReady)
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	defer cancel()
	results, err := f.client().ReadAll(ctx, "j1")
	if err != nil || len(results) != items {
		t.Fatalf("%d of %d results are read: %v", len(results), items, err)
	}
	for i, r := range results {
		if r.ID != fmt.Sprintf("j1-%d", i) || len(r.Text) != textBytes {
			t.Errorf("position %d has item %s with %d bytes", i, r.ID, len(r.Text))
		}
	}
	f.stop(t)
}
