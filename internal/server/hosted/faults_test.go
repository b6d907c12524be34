package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/berylfall/berylfall/platform/standin"
)

// Guards against plain requests that fail while the store is down, against a refused
// job that runs nevertheless, and against a daemon that does not recover with the
// store.
func TestFrontSurvivesStoreOutage(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	if err := f.store.SetFaults(ctx, standin.StoreFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	if a, err := c.Plain(ctx, "during", []byte("x")); err != nil || a.Status != http.StatusOK {
		t.Errorf("a plain request during the outage: %d, %v", a.Status, err)
	}
	job := standin.JobSpec{ID: "j5", MinVersion: 1, Groups: 1, GroupSize: 2, Events: 2}
	if a, err := c.SubmitOnce(ctx, job); err != nil || a.Status != http.StatusServiceUnavailable {
		t.Errorf("a job during the outage: %d, %v", a.Status, err)
	}
	for _, e := range f.engines {
		if runs, err := e.Runs(ctx); err != nil || len(runs) > 0 {
			t.Errorf("runs of a refused job: %v, %v", runs, err)
		}
	}
	f.runAfterOutage(ctx, t, c, job)
	f.stop(t)
}

// Guards against a job that is lost, or stored twice, because the store's answer to
// the write of the job is lost.
func TestJobWithLostStoreAnswer(t *testing.T) {
	f, ctx, c := newServingFleet(t, 2)
	if err := f.store.SetFaults(ctx, standin.StoreFaults{LoseAnswers: true}); err != nil {
		t.Fatal(err)
	}
	job := standin.JobSpec{ID: "j6", MinVersion: 1, Groups: 1, GroupSize: 3, Events: 2}
	if a, err := c.SubmitOnce(ctx, job); err == nil && a.Status == http.StatusServiceUnavailable {
		t.Error("a job whose acceptance may be stored is refused as not run")
	}
	f.runAfterOutage(ctx, t, c, job)
	f.stop(t)
}

// runAfterOutage ends the faults of the store and fails unless the job then completes.
func (f *fleet) runAfterOutage(ctx context.Context, t *testing.T, c *standin.Client, job standin.JobSpec) {
	t.Helper()
	if err := f.store.SetFaults(ctx, standin.StoreFaults{}); err != nil {
		t.Fatal(err)
	}
	if err := c.Submit(ctx, job); err != nil {
		t.Fatal(err)
	}
	results, err := c.ReadAll(ctx, job.ID)
	if err != nil {
		t.Fatal(err)
	}
	checkResults(t, job, results)
}

// Guards against new requests to a server that is draining.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	if err := f.plain.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "leaving server", func() bool {
		lines := f.linesOf(t, "backend server changed", "backend_server", "desk-1")
		return len(lines) > 0 && lines[len(lines)-1]["leaving"] == true
	})
	before, err := f.plain.Runs(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if a, err := c.Plain(ctx, "after", []byte("x")); err != nil || a.Status != http.StatusServiceUnavailable {
			t.Errorf("a request without another server: %d, %v", a.Status, err)
		}
	}
	after, err := f.plain.Runs(ctx)
	if err != nil || len(after) != len(before) {
		t.Errorf("%d runs at the leaving server, %v", len(after)-len(before), err)
	}
	f.stop(t)
}

// Guards against new requests to a server that says in its answers that it is leaving,
// while its entry still says that it is ready.
func TestServerThatSaysItIsLeavingGetsNoNewRequests(t *testing.T) {
	f, _, _ := newServingFleet(t, 1)
	var requests atomic.Int64
	for id, header := range map[string]string{"advice-0": "Server-Leaving: 1\r\n", "advice-1": "Server-Leaving: 0\r\n"} {
		f.addServer(t, "advice", id, "v1", func(_ *http.Request, _ int, c net.Conn) {
			if id == "advice-0" {
				requests.Add(1)
			}
			_, _ = io.WriteString(c, strings.Replace(streamHead, "Server-Stamp", header+"Server-Stamp", 1))
			writeChunk(c, event("v1", 1))
			endChunks(c)
		})
	}
	before := 0
	waitFor(t, "answer of the leaving server", func() bool {
		before++
		s := openStream(t, f.callers[0], standin.StreamPrefix, fmt.Sprint("before-", before))
		return s.header.Get("Server-Leaving") == "1"
	})
	f.awaitLine(t, "backend server says that it is leaving", "backend_server", "advice-0")
	for i := range 20 {
		if s := openStream(t, f.callers[0], standin.StreamPrefix, fmt.Sprint("after-", i)); s.status != http.StatusOK || s.header.Get("Server-Leaving") == "1" {
			t.Errorf("request %d: status %d with %v", i, s.status, s.header)
		}
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the leaving server got %d requests", n)
	}
	f.stop(t)
}
