package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	adapter "github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

// logLine is a decoded line of a daemon's log.
type logLine map[string]any

// linesOf returns the lines with the message, and with the value in the field unless
// the field is empty. It fails unless docs/OPERATIONS.md quotes the message.
func (f *fleet) linesOf(t *testing.T, message, field, value string) []logLine {
	t.Helper()
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), "`"+message+"`") {
		t.Fatalf("docs/OPERATIONS.md does not quote the message %q", message)
	}
	var found []logLine
	for text := range strings.SplitSeq(f.log.String(), "\n") {
		var line logLine
		if json.Unmarshal([]byte(text), &line) != nil || line["msg"] != message {
			continue
		}
		if field == "" || fmt.Sprint(line[field]) == value {
			found = append(found, line)
		}
	}
	return found
}

// awaitLine waits until linesOf returns a line and returns the first one.
func (f *fleet) awaitLine(t *testing.T, message, field, value string) logLine {
	t.Helper()
	waitFor(t, fmt.Sprintf("line %q with %s %s", message, field, value), func() bool {
		return len(f.linesOf(t, message, field, value)) > 0
	})
	return f.linesOf(t, message, field, value)[0]
}

// Guards against logs from which the cause of a refused plain request cannot be
// found by the steps of docs/OPERATIONS.md.
func TestCauseOfARefusedRequest(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	if err := f.store.Remove(ctx, adapter.KindServers, "desk-1"); err != nil {
		t.Fatal(err)
	}
	f.awaitLine(t, "backend server removed", "backend_server", "desk-1")
	a, err := c.Plain(ctx, "refused-1", []byte("x"))
	if err != nil || a.Status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, %v", a.Status, err)
	}
	failed := f.awaitLine(t, "request failed", "request", "refused-1")
	if failed["verdict"] != "not-run" || !strings.Contains(fmt.Sprint(failed["reason"]), "desk") {
		t.Errorf("the refusal is logged as %v", failed)
	}
	if ended := f.awaitLine(t, "request ended", "request", "refused-1"); fmt.Sprint(ended["config"]) != "3" || ended["service"] != "desk" {
		t.Errorf("the end of the request is logged as %v", ended)
	}
	f.stop(t)
}

// Guards against logs from which the cause of an abandoned item cannot be found by
// the steps of docs/OPERATIONS.md.
func TestCauseOfAnAbandonedItem(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	if err := f.plain.SetFaults(ctx, standin.ServerFaults{Status: http.StatusInternalServerError}); err != nil {
		t.Fatal(err)
	}
	job := standin.JobSpec{ID: "j3", MinVersion: 1, Groups: 1, GroupSize: 1, Events: 2}
	if err := c.Submit(ctx, job); err != nil {
		t.Fatal(err)
	}
	results, err := c.ReadAll(ctx, "j3")
	if err != nil || len(results) != 1 || results[0].State != "abandoned" {
		t.Fatalf("results %+v, %v", results, err)
	}
	item := job.Items()[0]
	abandoned := f.awaitLine(t, "item abandoned", "request", item)
	if abandoned["job"] != "j3" || abandoned["reason"] != "its reward call failed too often" || abandoned["reward_request"] != "r-"+item {
		t.Fatalf("the item is logged as %v", abandoned)
	}
	attempts := f.linesOf(t, "attempt failed", "request", "r-"+item)
	if len(attempts) != 2 || attempts[0]["backend_server"] != "desk-1" || !strings.Contains(fmt.Sprint(attempts[0]["error"]), "500") {
		t.Errorf("the attempts of the reward call: %v", attempts)
	}
	f.stop(t)
}

// Guards against logs from which the cause of a group that missed its step
// cannot be found by the steps of docs/OPERATIONS.md.
func TestCauseOfAMissedStep(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	for _, e := range f.engines {
		if err := e.SetFaults(ctx, standin.ServerFaults{RefuseOrders: true}); err != nil {
			t.Fatal(err)
		}
	}
	if err := deployment.PublishVersion(f.store, 2); err != nil {
		t.Fatal(err)
	}
	job := standin.JobSpec{ID: "j4", Step: 2, MinVersion: 2, Groups: 1, GroupSize: 2, Events: 2}
	if err := c.Submit(ctx, job); err != nil {
		t.Fatal(err)
	}
	refused := f.awaitLine(t, "order to load a version failed", "", "")
	accepted := f.awaitLine(t, "job accepted", "job", "j4")
	if fmt.Sprint(accepted["min_version"]) != "2" || len(f.linesOf(t, "results published", "job", "j4")) > 0 {
		t.Errorf("the acceptance is logged as %v", accepted)
	}
	if len(f.linesOf(t, "engine version updated", "version", "2")) > 0 {
		t.Error("an engine is logged with the version")
	}
	if len(f.linesOf(t, "weight version received", "version", "2")) == 0 || len(f.linesOf(t, "lease changed", "event", "gained")) == 0 {
		t.Error("neither the version nor the lease is in the log")
	}
	if !strings.HasPrefix(fmt.Sprint(refused["backend_server"]), "engine-") || !strings.Contains(fmt.Sprint(refused["error"]), "409") {
		t.Errorf("the refused order is logged as %v", refused)
	}
	for _, e := range f.engines {
		if err := e.SetFaults(ctx, standin.ServerFaults{}); err != nil {
			t.Fatal(err)
		}
	}
	results, err := c.ReadAll(ctx, "j4")
	if err != nil {
		t.Fatal(err)
	}
	checkResults(t, job, results)
	updated := f.awaitLine(t, "engine version updated", "version", "2")
	if at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(updated["time"])); err != nil || at.IsZero() {
		t.Errorf("the line has the time %v", updated["time"])
	}
	f.stop(t)
}
