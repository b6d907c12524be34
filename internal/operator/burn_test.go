package operator

import (
	"bytes"
	"context"
	"fmt"
	"image/png"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

var startTime = time.Date(2027, 1, 4, 12, 0, 0, 0, time.UTC)

var lookupObjective = core.Objective{
	Name: "lookups", Service: "card-desk", Class: core.ClassInteractive,
	Latency: core.Duration(250 * time.Millisecond), Availability: 0.999,
}

func trackerWith(objectives ...core.Objective) *burnTracker {
	b := newBurnTracker()
	b.setContracts(&core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
		"prairie": {Customer: "prairie", Version: 1, Contract: &core.Contract{Customer: "prairie", Objectives: objectives}},
	}})
	return b
}

func newLookupRecord(change func(*RequestRecord)) RequestRecord {
	e := RequestRecord{Customer: "prairie", Service: "card-desk", Class: core.ClassInteractive, Verdict: core.Ran, Latency: core.Duration(time.Millisecond)}
	if change != nil {
		change(&e)
	}
	return e
}

// Guards against misclassified requests: a rejected invalid request must not spend
// the error budget, a slow or failed answer must.
func TestClassifyRequest(t *testing.T) {
	cases := []struct {
		name         string
		change       func(*RequestRecord)
		counts, good bool
	}{
		{"complete answer", nil, true, true},
		{"at the latency target", func(e *RequestRecord) { e.Latency = lookupObjective.Latency }, true, true},
		{"slow", func(e *RequestRecord) { e.Latency = lookupObjective.Latency + 1 }, true, false},
		{"may have run", func(e *RequestRecord) { e.Verdict, e.Code = core.MayHaveRun, core.CodeBackendFailure }, true, false},
		{"overloaded", func(e *RequestRecord) { e.Verdict, e.Code = core.NotRun, core.CodeOverloaded }, true, false},
		{"no server", func(e *RequestRecord) { e.Verdict, e.Code = core.NotRun, core.CodeNoCapability }, true, false},
		{"service failed", func(e *RequestRecord) { e.Status = 503 }, true, false},
		{"service refused the content", func(e *RequestRecord) { e.Status = 422 }, true, true},
		{"over the contract's limit", func(e *RequestRecord) { e.Verdict, e.Code = core.NotRun, core.CodeLimited }, false, false},
		{"invalid", func(e *RequestRecord) { e.Verdict, e.Code = core.NotRun, core.CodeInvalid }, false, false},
		{"other class", func(e *RequestRecord) { e.Class = core.ClassBackground }, false, false},
		{"other service", func(e *RequestRecord) { e.Service = "wear-model" }, false, false},
	}
	for _, c := range cases {
		counts, good := classifyRequest(lookupObjective, newLookupRecord(c.change))
		if counts != c.counts || good != c.good {
			t.Errorf("%s: counts %v, good %v, want %v, %v", c.name, counts, good, c.counts, c.good)
		}
	}
}

// Guards against wrong burn rates, with expected values computed by hand: 1,000
// requests with 18 bad ones in the last 5 min and 1,000 good ones 20 min earlier.
// The objective allows 0.1% bad. 5 min: 18/1000/0.001 = 18. 30 min and more:
// 18/2000/0.001 = 9.
func TestBurnRatesByHand(t *testing.T) {
	b := trackerWith(lookupObjective)
	for range 1000 {
		b.add(startTime.Add(-20*time.Minute), newLookupRecord(nil))
	}
	for i := range 1000 {
		b.add(startTime, newLookupRecord(func(e *RequestRecord) {
			if i < 18 {
				e.Status = 500
			}
		}))
	}
	got := b.report(startTime)[0]
	want := []WindowBurn{
		{core.Duration(5 * time.Minute), 1000, 18, 18},
		{core.Duration(30 * time.Minute), 2000, 18, 9},
		{core.Duration(time.Hour), 2000, 18, 9},
		{core.Duration(6 * time.Hour), 2000, 18, 9},
		{core.Duration(72 * time.Hour), 2000, 18, 9},
	}
	for i, w := range got.Windows {
		sameCounts := w.Window == want[i].Window && w.Total == want[i].Total && w.Bad == want[i].Bad
		if !sameCounts || math.Abs(w.Rate-want[i].Rate) > 1e-9 {
			t.Errorf("window %d = %+v, want %+v", i, w, want[i])
		}
	}
	// Fast: 1 h has 9, below 14.4. Slow: 6 h and 30 min have 9, above 6.
	if len(got.Alerts) != 1 || got.Alerts[0] != AlertSlow {
		t.Errorf("alerts = %v, want slow-burn only", got.Alerts)
	}
}

// Guards against requests that never leave a window or leave it too early. A sum
// covers between the window less one bucket and the window.
func TestBurnWindowsExpireRequests(t *testing.T) {
	b := trackerWith(lookupObjective)
	b.add(startTime, newLookupRecord(func(e *RequestRecord) { e.Status = 500 }))
	for i, window := range burnWindows {
		width := fineBucketWidth
		if window > fineBucketSpan {
			width = coarseBucketWidth
		}
		inside := b.report(startTime.Add(window - width))[0].Windows[i]
		outside := b.report(startTime.Add(window))[0].Windows[i]
		if inside.Total != 1 || outside.Total != 0 {
			t.Errorf("window %v: %d inside, %d outside, want 1 and 0", window, inside.Total, outside.Total)
		}
	}
}

// Guards against an alert that does not resolve after the fault has ended, and
// against one that is never raised: all requests are bad for an hour, then all are
// good.
func TestBurnAlerts(t *testing.T) {
	b := trackerWith(lookupObjective)
	now := startTime
	minute := func(bad bool) {
		now = now.Add(time.Minute)
		b.add(now, newLookupRecord(func(e *RequestRecord) {
			if bad {
				e.Status = 500
			}
		}))
	}
	for range 60 {
		minute(true)
	}
	if got := b.report(now)[0].Alerts; len(got) != 2 {
		t.Errorf("alerts during the fault = %v, want both", got)
	}
	for range 6 {
		minute(false)
	}
	if got := b.report(now)[0].Alerts; len(got) != 1 || got[0] != AlertSlow {
		t.Errorf("alerts 6 min after the fault = %v, want slow-burn only", got)
	}
	for range 30 {
		minute(false)
	}
	if got := b.report(now)[0].Alerts; len(got) != 0 {
		t.Errorf("alerts 36 min after the fault = %v, want none", got)
	}
}

// Guards against counts of an old target that are reported for a new one, and
// against memory that grows with each change of a contract.
func TestBurnFollowsContracts(t *testing.T) {
	b := trackerWith(lookupObjective)
	b.add(startTime, newLookupRecord(nil))
	stricter := lookupObjective
	stricter.Availability = 0.9999
	set := &core.ContractSet{Contracts: map[core.CustomerID]core.StoredContract{
		"prairie": {Contract: &core.Contract{Objectives: []core.Objective{stricter}}},
		"gone":    {Deleted: true},
	}}
	b.setContracts(set)
	got := b.report(startTime)
	if len(got) != 1 || len(b.series) != 1 || got[0].Objective != stricter || got[0].Windows[0].Total != 0 {
		t.Errorf("report = %+v, want the new objective without counts", got)
	}
}

// Guards against merging by averaging rates: 10 of 10 bad at one daemon and 0 of
// 990 at the other are 1%, which is 10 times the budget of 0.1%.
func TestMergeBurnAddsCounts(t *testing.T) {
	bad, good := trackerWith(lookupObjective), trackerWith(lookupObjective)
	for range 10 {
		bad.add(startTime, newLookupRecord(func(e *RequestRecord) { e.Status = 500 }))
	}
	for range 990 {
		good.add(startTime, newLookupRecord(nil))
	}
	reports := []BurnReport{
		{At: startTime, Daemons: []string{"d1"}, Missed: 1, Objectives: bad.report(startTime)},
		{At: startTime.Add(time.Second), Daemons: []string{"d2"}, Missed: 2, Objectives: good.report(startTime)},
	}
	merged := MergeBurnReports(reports)
	w := merged.Objectives[0].Windows[0]
	if len(merged.Objectives) != 1 || w.Total != 1000 || w.Bad != 10 || math.Abs(w.Rate-10) > 1e-9 {
		t.Errorf("merged = %+v, want one objective with 10 of 1000 bad and rate 10", merged.Objectives)
	}
	if merged.Missed != 3 || len(merged.Daemons) != 2 || !merged.At.Equal(startTime.Add(time.Second)) {
		t.Errorf("merged = %+v, want 3 missed, 2 daemons and the later time", merged)
	}
	if reports[0].Objectives[0].Windows[0].Total != 10 {
		t.Error("merging changed its input")
	}
}

// Guards against a chart that cannot be rendered: without objectives, with more
// objectives than colours, with rates of 0 and of the highest possible value. If
// BERYLFALL_CHART is set, the images are written to files with this path prefix for
// visual inspection.
func TestWriteChart(t *testing.T) {
	many := BurnReport{At: startTime, Daemons: []string{"d1"}}
	for i := range 15 {
		o := lookupObjective
		o.Name = strings.Repeat("x", i+1)
		burn := ObjectiveBurn{Customer: "prairie", Objective: o}
		for j, w := range burnWindows {
			burn.Windows = append(burn.Windows, WindowBurn{Window: core.Duration(w), Rate: float64(i*j) / 2})
		}
		many.Objectives = append(many.Objectives, burn)
	}
	many.Objectives[14].Windows[0].Rate = 1 / (1 - maxAvailability)
	for i, report := range []BurnReport{{At: startTime}, many} {
		var image, vector bytes.Buffer
		if err := report.WriteChart(&image, ChartPNG); err != nil {
			t.Fatal(err)
		}
		if _, err := png.Decode(bytes.NewReader(image.Bytes())); err != nil {
			t.Error(err)
		}
		if err := report.WriteChart(&vector, ChartSVG); err != nil || !strings.Contains(vector.String(), "<svg") {
			t.Errorf("SVG: error %v", err)
		}
		if path := os.Getenv("BERYLFALL_CHART"); path != "" {
			if err := os.WriteFile(fmt.Sprintf("%s-%d.png", path, i), image.Bytes(), 0o600); err != nil {
				t.Error(err)
			}
		}
	}
}

// Guards against records that use unbounded memory, and against an older record that
// is returned instead of a newer one with the same ID.
func TestRecordBuffer(t *testing.T) {
	b := newRecordBuffer(2)
	for _, id := range []core.RequestID{"a", "b", "a", "c"} {
		b.add(RequestRecord{ID: id, Attempts: b.next})
	}
	if _, found := b.find("b"); found {
		t.Error("the oldest record is still found")
	}
	for _, id := range []core.RequestID{"a", "c"} {
		if got, found := b.find(id); !found || got.ID != id {
			t.Errorf("record %s = %+v, found %v", id, got, found)
		}
	}
	if len(b.byID) != 2 {
		t.Errorf("%d records are indexed, want 2", len(b.byID))
	}
	long := strings.Repeat("é", 10000)
	call := core.NewCall(context.Background(), &core.Request{ID: core.RequestID(long), Model: long, Customer: core.CustomerID(long)})
	for range 1000 {
		call.RoutingTrace = append(call.RoutingTrace, long)
	}
	e := newRequestRecord(call, core.End{Err: core.NotRunError(core.CodeInvalid, "%s", long)}, startTime, startTime)
	if len(e.ID)+len(e.Model)+len(e.Customer)+len(e.Reason) > 4*maxTextBytes || len(e.Trace) != maxTraceLines || len(e.Trace[0]) > maxTextBytes {
		t.Error("a record keeps more than its bounds")
	}
}

type fakeSubmitter struct {
	calls  []*core.Call
	refuse bool
}

func (f *fakeSubmitter) Submit(c *core.Call) bool {
	if f.refuse {
		return false
	}
	f.calls = append(f.calls, c)
	return true
}

// Guards against a drain that rejects calls before the grace period is over,
// interrupts a call or loses count of one, and against an ended call that is not
// recorded.
func TestGate(t *testing.T) {
	clock := duty.NewManualClock(startTime)
	next := &fakeSubmitter{}
	var ends []RequestRecord
	g := NewGate(clock, MaxDrainGrace, next, func(e RequestRecord) { ends = append(ends, e) })
	submit := func() *core.Call {
		c := core.NewCall(context.Background(), &core.Request{ID: "r"})
		if !g.Submit(c) {
			t.Fatal("the gate left a call without an answer")
		}
		return c
	}
	submit()
	g.SetDraining(true)
	clock.Advance(MaxDrainGrace - 1)
	submit()
	clock.Advance(1)
	g.SetDraining(true) // must not restart the grace period
	refused := submit()
	if len(next.calls) != 2 || g.State() != (DrainState{Draining: true, InFlight: 2}) {
		t.Fatalf("%d calls passed, state %+v, want 2 in flight", len(next.calls), g.State())
	}
	_, end, _ := refused.Answer.Next(context.Background())
	if end == nil || end.Verdict != core.NotRun || end.Err.Code != core.CodeDraining {
		t.Errorf("end of the refused call = %+v, want draining, not run", end)
	}
	clock.Advance(time.Second)
	for _, c := range next.calls {
		c.End(core.End{Verdict: core.Ran})
		c.End(core.End{Verdict: core.Ran})
	}
	if g.State().InFlight != 0 || len(ends) != 3 || time.Duration(ends[1].Latency) != MaxDrainGrace+time.Second {
		t.Errorf("state %+v, ends %+v, want none in flight and 3 ends", g.State(), ends)
	}
	g.SetDraining(false)
	next.refuse = true
	_, end, _ = submit().Answer.Next(context.Background())
	if end == nil || end.Err.Code != core.CodeOverloaded || end.Verdict != core.NotRun || g.State() != (DrainState{}) {
		t.Errorf("end = %+v, state %+v, want overloaded, not run", end, g.State())
	}
}
