package hosted

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/usage"
	adapter "github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

// usageTimeout bounds the wait for reports: the lease must be gained and its wait be over
// before the first one.
const usageTimeout = 40 * time.Second

// newUsageFleet starts daemons that report to a stand-in of the accounting API.
func newUsageFleet(t *testing.T, daemons int) (*fleet, *standin.Accounting) {
	t.Helper()
	f := newFleet(t, 0)
	runner, err := duty.NewRunner(8)
	if err != nil {
		t.Fatal(err)
	}
	accounting, err := standin.StartAccounting("127.0.0.1:0", duty.SystemClock{}, runner, 3*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		runner.Stop(ctx)
	})
	f.usage = adapter.UsageSettings{Address: accounting.Address(), Window: time.Second, Late: 8 * time.Second}
	for range daemons {
		f.startDaemon(t, f.store.Address())
	}
	for _, d := range f.daemons {
		waitFor(t, "a configuration", d.isReady)
		waitFor(t, "the other daemons", func() bool { return len(d.peerList.otherAddresses()) == daemons-1 })
	}
	return f, accounting
}

// awaitReports waits for reports for which done returns true and checks that they violate
// no rule.
func awaitReports(t *testing.T, a *standin.Accounting, what string, done func(map[int64]standin.UsageCall) bool) {
	t.Helper()
	for end := time.Now().Add(usageTimeout); ; time.Sleep(50 * time.Millisecond) {
		reports, violations, err := a.Reports(t.Context())
		if err != nil || len(violations) > 0 {
			t.Fatalf("violations %v, %v", violations, err)
		}
		if done(reports) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("no %s within %v: %v", what, usageTimeout, reports)
		}
	}
}

func sumOf(reports map[int64]standin.UsageCall) map[string]int64 {
	sum := map[string]int64{}
	for _, r := range reports {
		for customer, n := range r.Counts {
			sum[customer] += n
		}
	}
	return sum
}

// send sends a request of the customer to the plain server and waits for its end.
func (d *frontDaemon) send(ctx context.Context, id string, customer core.CustomerID, accepted bool) core.End {
	ended := make(chan core.End, 1)
	call := core.NewCall(ctx, &core.Request{
		ID: core.RequestID(id), Customer: customer, Service: deployment.Plain, Operation: core.OperationForward, Repeatable: true, Accepted: accepted,
		Forward: &core.ForwardedMessage{ID: id, Method: "GET", Target: "/", Host: deployment.Host},
	})
	call.OnEnd = func(_ *core.Call, e core.End) { ended <- e }
	d.dispatch.Submit(call)
	return <-ended
}

// Guards against requests that are not counted, counted twice, or counted though they are
// parts of jobs or of no customer, and against reports that differ when the holder stops.
func TestUsageOfCustomersIsReported(t *testing.T) {
	f, accounting := newUsageFleet(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 2*usageTimeout)
	defer cancel()
	waitFor(t, "answer", func() bool { return f.daemons[0].send(ctx, "first", "", false).Err == nil })
	for i, d := range f.daemons {
		for n := range i + 2 {
			id := fmt.Sprintf("r-%d-%d", i, n)
			for _, end := range []core.End{
				d.send(ctx, id, "c", false), d.send(ctx, id, "c", false), d.send(ctx, id+"-item", "c", true), d.send(ctx, id+"-none", "", false),
			} {
				if end.Err != nil {
					t.Fatal(end.Err)
				}
			}
		}
	}
	awaitReports(t, accounting, "report of all requests", func(r map[int64]standin.UsageCall) bool { return sumOf(r)["c"] >= 9 })
	reports, _, err := accounting.Reports(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got := sumOf(reports); got["c"] != 9 || len(got) != 1 {
		t.Errorf("reported %v", got)
	}
	holder, last := "", int64(0)
	for w, r := range reports {
		if w > last {
			holder, last = r.Holder, w
		}
	}
	i := slices.IndexFunc(f.daemons, func(d *frontDaemon) bool { return d.hostSettings.Host == holder })
	stopping, cancelStop := context.WithTimeout(ctx, 8*time.Second)
	defer cancelStop()
	f.daemons[i].Stop(stopping)
	f.daemons = slices.Delete(f.daemons, i, i+1)
	defer f.stop(t)
	next := int64(0) // first window that another holder reported
	awaitReports(t, accounting, "report of another holder", func(r map[int64]standin.UsageCall) bool {
		reports, next = r, 0
		for w, c := range r {
			if c.Holder != holder && (next == 0 || w < next) {
				next = w
			}
		}
		return next > 0
	})
	// A host may be so slow that the next holder begins late; it takes up every window whose
	// report is not late by then.
	for w := last + 1; w < next; w++ {
		_, isReported := reports[w]
		if end := usage.Window(w).End(f.usage.Window); !isReported && reports[next].At.Sub(end) <= f.usage.Late {
			t.Errorf("window %d, which ended %v before the next holder began, is not reported", w, reports[next].At.Sub(end))
		}
	}
	if !strings.Contains(f.log.String(), "usage of a window reported") {
		t.Error("no line names a report")
	}
}

// Guards against duties, leases and messages of reports that the platform does not want.
func TestNoReportsUnlessWanted(t *testing.T) {
	f := newFleet(t, 1)
	defer f.stop(t)
	d := f.daemons[0]
	if d.usage != nil {
		t.Error("the daemon counts")
	}
	for _, loop := range d.runner.Loops() {
		if strings.HasPrefix(loop.Name(), "usage") {
			t.Errorf("duty %s runs", loop.Name())
		}
	}
}

// Guards against an object of a report whose form changes between two builds or that
// replaces another one, and an odd one that is sent.
func TestRecordedUsageObject(t *testing.T) {
	r, err := decodeUsage(7, []byte(`{"counts":{"hule930":412}}`))
	if err != nil || r.Window != 7 || r.Counts["hule930"] != 412 || usageKey(353445120) != "usage-reports/353445120" {
		t.Errorf("report %+v, %v", r, err)
	}
	store := &submitted{}
	usageStore{store: store}.CreateReport(usage.Report{Window: 7, Counts: usage.CustomerCounts{"hule930": 412}}, nil)
	if string(store.op.Value) != `{"counts":{"hule930":412}}` || store.op.Key != "usage-reports/7" || store.op.IfVersion != platform.Absent {
		t.Errorf("written %s = %s", store.op.Key, store.op.Value)
	}
	for _, value := range []string{"", "null", "{}", `{"counts":[]}`, `{"counts":{"c":"x"}}`} {
		if r, err := decodeUsage(7, []byte(value)); err == nil {
			t.Errorf("%q is read as %+v", value, r)
		}
	}
}
