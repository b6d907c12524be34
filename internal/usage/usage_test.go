package usage_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/usage"
	"github.com/berylfall/berylfall/platform/standin"
)

const (
	length   = 5 * time.Second
	late     = 10 * time.Second
	turn     = 3 * time.Second
	step     = 50 * time.Millisecond
	takeover = 2 * time.Second
	forever  = time.Hour
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first   = usage.WindowAt(start, length)
	errDown = errors.New("does not answer")
)

// world is a set of daemons with one store and one accounting API, whose clock stands
// still unless a test moves it.
type world struct {
	t       *testing.T
	clock   *duty.ManualClock
	hosts   []*host
	rules   standin.UsageRules
	objects map[usage.Window]usage.Report
	// onCreate and onCall replace what the store and the API do with a window from the first
	// one on; a true result means that they have. A new holder takes up earlier ones, too.
	onCreate func(h *host, r usage.Report, reply func(error)) bool
	onCall   func(h *host, r usage.Report) (err error, done bool)
	isDown   bool // the store
	outcomes []usage.Outcome
	missing  int64
}

type host struct {
	w        *world
	address  string
	isDead   bool
	isFull   bool // has no room for totals
	received []usage.Totals
	counts   *usage.Counts
	reporter *usage.Reporter
}

func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, clock: duty.NewManualClock(start), objects: map[usage.Window]usage.Report{}, rules: standin.UsageRules{LeaseTurn: turn}}
	for i := range n {
		h := &host{w: w, address: fmt.Sprintf("d%d", i)}
		now := func(f func()) bool { f(); return true }
		h.reporter = usage.NewReporter(usage.ReporterOptions{
			Clock: w.clock, Wall: w.clock.Now, Window: length, Late: late, TakeoverWait: takeover, Self: h.address,
			Store: h, Sender: h, Peers: h, TryGo: now, Observer: h,
		})
		h.counts = usage.NewCounts(usage.CountsOptions{
			Clock: w.clock, Window: length, Run: h.address + "/1", Self: h.address, Peers: h, TryGo: now,
			Deliver: h.receive, OnDropped: func() { t.Error("a request is not counted") },
		})
		w.hosts = append(w.hosts, h)
	}
	return w
}

func (w *world) run(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(step)
		for _, h := range w.hosts {
			for !h.isDead && h.counts.Loop().RunPending()+h.reporter.Loop().RunPending() > 0 {
			}
		}
	}
}

// count counts n requests of the customer at the daemon.
func (h *host) count(customer core.CustomerID, n int) {
	for i := range n {
		id := core.RequestID(fmt.Sprintf("%s-%s-%d-%d", h.address, customer, h.w.clock.Now().UnixNano(), i))
		h.counts.Record(usage.Begun{Request: id, Customer: customer, SentAt: h.w.clock.Now()})
	}
}

func (h *host) lead(fence int64) {
	h.reporter.SetLease(usage.Lease{Fence: fence, ValidUntil: h.w.clock.Now().Add(forever)})
}

func (h *host) receive(totals []usage.Totals) bool {
	if h.isFull {
		return false
	}
	h.received = append(h.received, totals...)
	return h.reporter.Receive(totals)
}

func (h *host) Ranked() []string {
	var list []string
	for _, other := range h.w.hosts {
		list = append(list, other.address)
	}
	return list
}

func (w *world) host(address string) *host {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.address == address })]
}

func (h *host) SendTotals(_ context.Context, address string, totals []usage.Totals) error {
	other := h.w.host(address)
	if other.isDead {
		return errDown
	}
	if !other.receive(totals) {
		return errDown
	}
	return nil
}

func (h *host) PullTotals(_ context.Context, address string) ([]usage.Totals, error) {
	if other := h.w.host(address); !other.isDead {
		return other.received, nil
	}
	return nil, errDown
}

func (h *host) CreateReport(r usage.Report, reply func(error)) {
	if h.w.onCreate != nil && r.Window >= first && h.w.onCreate(h, r, reply) {
		return
	}
	_, exists := h.w.objects[r.Window]
	switch {
	case h.w.isDown:
		reply(errDown)
	case exists:
		reply(usage.ErrDecided)
	default:
		h.w.objects[r.Window] = r
		reply(nil)
	}
}

func (h *host) LoadReport(window usage.Window, reply func(usage.Report, bool, error)) {
	if h.w.isDown {
		reply(usage.Report{}, false, errDown)
		return
	}
	r, found := h.w.objects[window]
	reply(r, found, nil)
}

func (h *host) RemoveReport(window usage.Window) { delete(h.w.objects, window) }

func (h *host) Send(_ context.Context, r usage.Report, fence int64, mayStart func() bool) error {
	if h.w.onCall != nil && r.Window >= first {
		if err, done := h.w.onCall(h, r); done {
			return err
		}
	}
	if !mayStart() {
		return usage.ErrNotSent
	}
	h.w.accept(h, r, fence)
	return nil
}

func (w *world) accept(h *host, r usage.Report, fence int64) {
	counts := map[string]int64{}
	for customer, n := range r.Counts {
		counts[string(customer)] = n
	}
	w.rules.Add(standin.UsageCall{At: w.clock.Now(), Holder: h.address, Fence: fence, Window: int64(r.Window), Counts: counts})
}

func (h *host) ObserveCall(usage.Window, error) {}
func (h *host) ObserveReport(o usage.Outcome) {
	if o.Report.Window >= first {
		h.w.outcomes = append(h.w.outcomes, o)
	}
}
func (h *host) ObserveMissing(_ usage.Window, missing int64) { h.w.missing += missing }
func (h *host) ObservePull(string, error)                    {}

// want checks that the API got these requests of customer c in each window from the first
// on, in time unless isLate, and that no rule is violated.
func (w *world) want(isLate bool, requests ...int64) {
	w.t.Helper()
	for _, v := range w.rules.Violations {
		w.t.Error(v)
	}
	for i, n := range requests {
		window := first + usage.Window(i)
		call, ok := w.rules.Accepted[int64(window)]
		if !ok || call.Counts["c"] != n {
			w.t.Errorf("window %d is reported: %v with %d requests, want %d", i, ok, call.Counts["c"], n)
		}
		if delay := call.At.Sub(window.End(length)); ok && !isLate && delay > late {
			w.t.Errorf("window %d is reported after %v", i, delay)
		}
	}
}

// Guards against a window without requests that is not reported, a request that is counted
// twice, and one of no customer that is counted.
func TestEachWindowIsReportedOnce(t *testing.T) {
	w := newWorld(t, 3)
	w.hosts[0].lead(1)
	w.hosts[2].count("c", 4)
	w.hosts[2].count("c", 4) // the same requests
	w.hosts[2].count("", 4)
	w.run(5 * length)
	w.want(false, 4, 0, 0)
	if len(w.outcomes) != 4 || w.outcomes[0].Calls != 1 || !w.outcomes[0].Accepted || w.outcomes[0].IsLate {
		t.Errorf("outcomes %+v", w.outcomes)
	}
	if n := len(w.rules.Accepted[int64(first)].Counts); n != 1 {
		t.Errorf("%d customers", n)
	}
}

// Guards against counts that are lost with the daemon that counted.
func TestCountsSurviveTheirDaemon(t *testing.T) {
	w := newWorld(t, 5)
	w.hosts[1].lead(1)
	w.hosts[4].count("c", 7)
	w.run(usage.MaxSendDelay + 2*step)
	w.hosts[4].isDead = true
	w.run(3 * length)
	w.want(false, 7)
}

// Guards against counts that reach nobody since the daemons that should hold them are
// gone.
func TestOtherDaemonsTakeTheCounts(t *testing.T) {
	w := newWorld(t, 5)
	for _, h := range w.hosts[:3] {
		h.isDead = true
	}
	w.hosts[3].lead(1)
	w.hosts[4].count("c", 7)
	w.run(3 * length)
	w.want(false, 7)
	if w.hosts[4].counts.HasUnsent() {
		t.Error("counts are still to be sent")
	}
}

// Guards against a window that is lost or reported in two ways when its holder is killed
// before the object of its report exists, after that, and after the call.
func TestHolderKilled(t *testing.T) {
	for _, when := range []string{"before the object", "after the object", "after the call"} {
		t.Run(when, func(t *testing.T) {
			w := newWorld(t, 3)
			former, next := w.hosts[0], w.hosts[1]
			w.onCreate = func(h *host, _ usage.Report, _ func(error)) bool {
				former.isDead = former.isDead || (h == former && when == "before the object")
				return h == former && former.isDead
			}
			w.onCall = func(h *host, r usage.Report) (error, bool) {
				if h == former && when == "after the call" {
					w.accept(h, r, 1)
				}
				former.isDead = true
				return errDown, h == former
			}
			former.lead(1)
			w.hosts[2].count("c", 5)
			w.run(length + 4*time.Second)
			if !former.isDead {
				t.Fatal("the holder was not killed")
			}
			// A count that came after the object must not change the report.
			next.receive([]usage.Totals{{Run: "late", Window: first, Counts: usage.CustomerCounts{"c": 1}}})
			next.lead(2)
			w.run(length)
			n := int64(5)
			if when == "before the object" {
				n++
			}
			w.want(false, n)
		})
	}
}

// Guards against a call of a holder whose lease ended, or whose successor began, while it
// was suspended between its decision and the call.
func TestSuspendedHolderSendsNothing(t *testing.T) {
	w := newWorld(t, 3)
	former, next := w.hosts[0], w.hosts[1]
	suspended := 0
	w.onCall = func(h *host, _ usage.Report) (error, bool) {
		if h == former {
			suspended++
			w.clock.Advance(4 * time.Second)
			next.lead(2)
		}
		return nil, false
	}
	former.reporter.SetLease(usage.Lease{Fence: 1, ValidUntil: start.Add(length + 6*time.Second)})
	w.hosts[2].count("c", 5)
	w.run(3 * length)
	if suspended != 1 {
		t.Fatalf("the holder was suspended %d times", suspended)
	}
	w.want(false, 5)
	if c := w.rules.Accepted[int64(first)]; c.Fence != 2 {
		t.Errorf("reported under fence %d", c.Fence)
	}
}

// Guards against a report that is given up too early or changes while the API does not
// accept it, and against later windows that wait for it.
func TestAccountingFails(t *testing.T) {
	for _, err := range []error{errDown, usage.ErrRateLimited, context.DeadlineExceeded} {
		w := newWorld(t, 3)
		sent := map[string]int{}
		w.onCall = func(_ *host, r usage.Report) (error, bool) {
			if r.Window != first || w.clock.Now().After(start.Add(40*time.Second)) {
				return nil, false
			}
			sent[fmt.Sprint(r.Counts)]++
			return err, true
		}
		w.hosts[0].lead(1)
		w.hosts[2].count("c", 5)
		w.run(10 * time.Second)
		w.hosts[1].receive([]usage.Totals{{Run: "late", Window: first, Counts: usage.CustomerCounts{"c": 1}}})
		w.hosts[0].receive([]usage.Totals{{Run: "late", Window: first, Counts: usage.CustomerCounts{"c": 1}}})
		w.run(70 * time.Second)
		w.want(true, 5, 0, 0)
		if calls := sent["map[c:5]"]; len(sent) != 1 || calls < 5 || calls > 12 {
			t.Errorf("%v: calls %v", err, sent)
		}
		if second := w.rules.Accepted[int64(first+1)]; second.At.Sub((first + 1).End(length)) > late {
			t.Errorf("%v: the next window waited", err)
		}
		if w.missing != 1 {
			t.Errorf("%v: %d requests are said to be missing", err, w.missing)
		}
	}
}

// Guards against a window that is sent for longer than its counts are kept.
func TestReportIsGivenUp(t *testing.T) {
	w := newWorld(t, 3)
	w.onCall = func(_ *host, r usage.Report) (error, bool) { return errDown, r.Window == first }
	w.hosts[0].lead(1)
	w.run(90 * time.Second)
	i := slices.IndexFunc(w.outcomes, func(o usage.Outcome) bool { return o.Report.Window == first })
	if i < 0 || w.outcomes[i].Accepted || w.outcomes[i].Err == nil {
		t.Errorf("outcomes %+v", w.outcomes)
	}
}

// Guards against a report without the object, and against windows that are not reported
// after an outage of the store.
func TestStoreIsDown(t *testing.T) {
	w := newWorld(t, 3)
	w.hosts[0].lead(1)
	w.hosts[2].count("c", 5)
	w.isDown = true
	w.run(20 * time.Second)
	if n := len(w.rules.Accepted); n > 0 {
		t.Errorf("%d windows are reported without the store", n)
	}
	w.isDown = false
	w.run(10 * time.Second)
	w.want(true, 5, 0, 0)
}

// Guards against a conditional write of a former holder that takes effect late: before the
// next holder's write its content is the report, afterwards it has none.
func TestLateWriteOfFormerHolder(t *testing.T) {
	for _, isFirst := range []bool{true, false} {
		w := newWorld(t, 3)
		former, next := w.hosts[0], w.hosts[1]
		var late func()
		w.onCreate = func(h *host, r usage.Report, reply func(error)) bool {
			if h == former {
				late = func() {
					if _, exists := w.objects[r.Window]; !exists {
						w.objects[r.Window] = r
					}
				}
				former.isDead = true
				return true
			}
			if isFirst {
				late()
			}
			return false
		}
		former.lead(1)
		w.hosts[2].count("c", 5)
		w.run(length + 4*time.Second)
		next.receive([]usage.Totals{{Run: "late", Window: first, Counts: usage.CustomerCounts{"c": 1}}})
		next.lead(2)
		w.run(length)
		late()
		w.run(length)
		if isFirst {
			w.want(false, 5)
		} else {
			w.want(false, 6)
		}
	}
}

// Guards against calls after a planned stop, and a window that is lost by it.
func TestPlannedStop(t *testing.T) {
	w := newWorld(t, 3)
	w.hosts[0].lead(1)
	w.hosts[2].count("c", 5)
	w.run(length + 2*time.Second)
	w.hosts[0].reporter.SetLease(usage.Lease{})
	w.run(time.Second)
	w.hosts[1].lead(2)
	w.run(2 * length)
	w.want(false, 5, 0)
	for _, c := range w.rules.Accepted {
		if c.Holder != "d1" && c.Window >= int64(first) {
			t.Errorf("call of %s after its stop", c.Holder)
		}
	}
}

// Guards against a holder that uses the lease before calls of the former one have ended.
func TestNewHolderWaits(t *testing.T) {
	for _, isDone := range []bool{false, true} {
		w := newWorld(t, 1)
		w.run(2 * length)
		w.hosts[0].reporter.SetLease(usage.Lease{Fence: 1, ValidUntil: start.Add(forever), TakeoverWaitDone: isDone})
		w.run(takeover - 2*step)
		if n := len(w.rules.Accepted); (n > 0) != isDone {
			t.Errorf("waited before: %v, %d calls", isDone, n)
		}
	}
}

// Guards against totals that count twice or fall when messages are repeated or overtake
// each other.
func TestLargerTotalsHold(t *testing.T) {
	totals := func(run string, n int64) usage.Totals {
		return usage.Totals{Run: run, Window: first, Counts: usage.CustomerCounts{"c": n}}
	}
	l := usage.NewLedger(length)
	l.Merge([]usage.Totals{totals("a", 2), totals("a", 3), totals("a", 2), totals("b", 1), totals("a", 3)}, start)
	l.Merge([]usage.Totals{{Run: "a", Window: first - 100, Counts: usage.CustomerCounts{"c": 1}}}, start)
	if got := l.Sum(first); !maps.Equal(got, usage.CustomerCounts{"c": 4}) {
		t.Errorf("sum %v", got)
	}
	if n := len(l.Since(first - 1000)); n != 2 {
		t.Errorf("%d totals are held", n)
	}
	l.Forget(start.Add(2 * time.Minute))
	if n := len(l.Since(0)); n != 0 {
		t.Errorf("%d totals are held of an old window", n)
	}
}

// Guards against a number of a window other than the one that the platform expects.
func TestWindowNumber(t *testing.T) {
	const number = 353445120
	begin := time.Unix(number*5, 0)
	for at, want := range map[time.Time]usage.Window{begin.Add(-1): number - 1, begin: number, begin.Add(length - 1): number, begin.Add(length): number + 1} {
		if got := usage.WindowAt(at, length); got != want {
			t.Errorf("%v is in window %d, want %d", at, got, want)
		}
	}
	if end := usage.Window(number).End(length); !end.Equal(begin.Add(length)) {
		t.Errorf("window ends at %v", end)
	}
}
