package usage

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	totalsCapacity = 4096
	// outcomeCapacity exceeds the calls that the duty may have outstanding: one of each
	// window that is not too old, under the current lease and the one before.
	outcomeCapacity = 1024
	tickPeriod      = 250 * time.Millisecond
	// maxDecideDelay is the time from the end of a window until its report is decided. The
	// last counts have arrived by then, and calls may fail several times before the report
	// is late.
	maxDecideDelay = 3500 * time.Millisecond
	// pullFanout is the number of daemons that a new holder asks for their totals. It
	// exceeds Receivers, since other daemons take the place of those that do not answer.
	pullFanout = 5
	// callTimeout bounds one call of the accounting API.
	callTimeout   = time.Second
	minRetryPause = 500 * time.Millisecond
	maxRetryPause = 5 * time.Second
	// removeAge is the age of the window whose object is removed when another one is
	// reported. No holder sends it any more, however late.
	removeAge = 10 * time.Minute
)

// Lease is the right to report. The zero value is none.
type Lease struct {
	Fence      int64
	ValidUntil time.Time // by the Reporter's clock
	// TakeoverWaitDone means that no call of another holder can be in flight.
	TakeoverWaitDone bool
}

func (l Lease) isValidAt(now time.Time) bool { return l.Fence > 0 && now.Before(l.ValidUntil) }

// Outcome is the end of the report of one window.
type Outcome struct {
	Report   Report
	Fence    int64
	Calls    int           // of the accounting API by this holder
	Delay    time.Duration // from the end of the window
	IsLate   bool
	Accepted bool
	Err      error // last failure; nil if there was none
}

// Observer is told what operators should know. Its methods run on the duty's goroutine
// and must not block.
type Observer interface {
	// ObserveCall is told the end of each call of the accounting API.
	ObserveCall(w Window, err error)
	// ObserveReport is told when the report of a window is accepted or given up.
	ObserveReport(o Outcome)
	// ObserveMissing is told that a report was decided without so many requests, whose
	// counts came too late.
	ObserveMissing(w Window, requests int64)
	// ObservePull is told that another daemon did not return its totals, which may then be
	// missing.
	ObservePull(address string, err error)
}

// ReporterOptions are what the duty needs.
type ReporterOptions struct {
	Clock  duty.Clock       // counts the time during which the host is suspended
	Wall   func() time.Time // wall-clock time
	Window time.Duration
	Late   time.Duration // from the end of a window until its report is late
	// TakeoverWait is the time from the gain of the lease to the first call.
	TakeoverWait time.Duration
	Self         string // address of this daemon, as the others know it
	Store        Store
	Sender       Sender
	Peers        Peers
	TryGo        func(f func()) bool // runs a blocking function on a pool
	Observer     Observer
}

// stage is the next step of a report.
type stage int

const (
	stageLoad   stage = iota // read the object, which another holder may have created
	stageCreate              // create the object with the counts of this moment
	stageSend                // the content is decided
	stageEnded
)

// windowReport is the report of one window under one lease.
type windowReport struct {
	window  Window
	stage   stage
	decided Report // in stageSend and stageEnded
	isBusy  bool   // an operation is in progress
	nextAt  time.Time
	pause   *backoff.ExponentialBackOff
	calls   int
	lastErr error
}

// stepEnd is the outcome of an operation of a report.
type stepEnd struct {
	report *windowReport
	stage  stage // whose operation has ended
	loaded Report
	found  bool
	err    error
}

type pullEnd struct {
	address string
	totals  []Totals
	err     error
}

// Reporter is the duty that holds the totals of all daemons and reports them while this
// daemon holds the lease.
type Reporter struct {
	o      ReporterOptions
	loop   *duty.Loop
	ledger *Ledger
	// newest is read right before a call by the goroutine that makes it.
	newest  atomic.Pointer[Lease]
	lease   Lease // the one that the duty has applied
	readyAt time.Time
	// first is the first window to report, and readBelow the one below which another
	// holder may have created the report.
	first, readBelow Window
	reports          map[Window]*windowReport
	pullsInProgress  int
	hasPulled        bool
	pulledBelow      Window // the windows below it are complete, as far as others know

	leases  *ring.Ring[Lease]
	totals  *ring.Ring[[]Totals]
	steps   *ring.Ring[stepEnd]
	pulls   *ring.Ring[pullEnd]
	listed  *ring.Ring[struct{}]
	queries *duty.QueryRing[struct{}, []Totals]
}

// NewReporter returns the duty.
func NewReporter(o ReporterOptions) *Reporter {
	r := &Reporter{
		o: o, loop: duty.New("usage", o.Clock), ledger: NewLedger(o.Window), reports: map[Window]*windowReport{},
		leases:  ring.New[Lease]("usage.leases", 1),
		totals:  ring.New[[]Totals]("usage.totals", totalsCapacity),
		steps:   ring.New[stepEnd]("usage.steps", outcomeCapacity),
		pulls:   ring.New[pullEnd]("usage.pulls", outcomeCapacity),
		listed:  ring.New[struct{}]("usage.listed", 1),
		queries: duty.NewQueryRing[struct{}, []Totals]("usage.questions", outcomeCapacity),
	}
	r.newest.Store(&Lease{})
	duty.On(r.loop, r.leases, r.handleLease)
	duty.On(r.loop, r.totals, func(list []Totals) { r.ledger.Merge(list, r.o.Wall()) })
	duty.On(r.loop, r.steps, r.handleStep)
	duty.On(r.loop, r.pulls, r.handlePulled)
	duty.On(r.loop, r.listed, func(struct{}) { r.pullAtStart() })
	duty.OnQuery(r.loop, r.queries, func(q duty.Query[struct{}, []Totals]) { q.Reply(r.ledger.Since(r.oldestTakenUp())) })
	r.loop.Every(tickPeriod, r.tick)
	return r
}

// Loop returns the duty's loop.
func (r *Reporter) Loop() *duty.Loop { return r.loop }

// SetLease replaces the lease. No call starts under another lease after SetLease has
// returned. It never blocks; one goroutine calls it.
func (r *Reporter) SetLease(l Lease) {
	r.newest.Store(&l)
	r.leases.PutLatest(l)
}

// Receive holds the totals of a daemon and reports whether there was room for them. It
// never blocks.
func (r *Reporter) Receive(totals []Totals) bool { return r.totals.TryPut(totals) }

// ReportDaemons tells the duty that the list of daemons is known. It never blocks.
func (r *Reporter) ReportDaemons() { r.listed.TryPut(struct{}{}) }

// Held returns the totals that this daemon holds of windows that a new holder reports. It
// blocks until the duty replies; duties must not call it.
func (r *Reporter) Held(ctx context.Context) ([]Totals, error) { return r.queries.Do(ctx, struct{}{}) }

// handleLease applies the newest lease. A new one begins with the reports that earlier
// holders may not have finished.
func (r *Reporter) handleLease(l Lease) {
	before := r.lease
	r.lease = l
	if l.Fence == before.Fence {
		return
	}
	r.reports = map[Window]*windowReport{}
	if l.Fence == 0 {
		return
	}
	r.readyAt = r.loop.Clock().Now()
	if !l.TakeoverWaitDone {
		r.readyAt = r.readyAt.Add(r.o.TakeoverWait)
	}
	r.first, r.readBelow, r.pulledBelow = r.oldestTakenUp(), 0, 0
	r.pullAll()
}

// oldestTakenUp returns the first window that a new holder reports. An earlier one would
// be late in any case, and its counts may be gone.
func (r *Reporter) oldestTakenUp() Window {
	return WindowAt(r.o.Wall().Add(-r.o.Late-r.o.Window), r.o.Window)
}

func (r *Reporter) decideDelay() time.Duration { return min(maxDecideDelay, r.o.Late/2) }

// isReceiver reports whether other daemons send their totals to this one. A holder that is
// no receiver asks those that are, before it decides a report.
func (r *Reporter) isReceiver() bool {
	rank := slices.Index(r.o.Peers.Ranked(), r.o.Self)
	return rank >= 0 && rank < Receivers
}

func (r *Reporter) pullAtStart() {
	if !r.hasPulled {
		r.pullAll()
	}
}

// pullAll asks the daemons that may hold totals. This one may have started again and lost
// what it had.
func (r *Reporter) pullAll() {
	ranked := r.o.Peers.Ranked()
	r.hasPulled = r.hasPulled || len(ranked) > 0
	asked := 0
	for _, address := range ranked {
		if address == r.o.Self {
			continue
		}
		if asked++; asked > pullFanout {
			return
		}
		r.pull(address)
	}
}

func (r *Reporter) pull(address string) {
	started := r.o.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		totals, err := r.o.Peers.PullTotals(ctx, address)
		r.pulls.TryPut(pullEnd{address: address, totals: totals, err: err})
	})
	if started {
		r.pullsInProgress++
	}
}

func (r *Reporter) handlePulled(e pullEnd) {
	r.pullsInProgress--
	if e.err != nil {
		r.o.Observer.ObservePull(e.address, e.err)
		return
	}
	r.ledger.Merge(e.totals, r.o.Wall())
}

// tick starts the reports that are due and takes the next step of each.
func (r *Reporter) tick() {
	now, wall := r.loop.Clock().Now(), r.o.Wall()
	r.forgetOld(wall)
	r.ledger.Forget(wall)
	if !r.lease.isValidAt(now) || now.Before(r.readyAt) || r.pullsInProgress > 0 {
		return
	}
	due := WindowAt(wall.Add(-r.decideDelay()), r.o.Window)
	if r.readBelow == 0 {
		r.readBelow = due
	}
	if due > r.pulledBelow && !r.isReceiver() {
		r.pulledBelow = due
		r.pullAll()
		return
	}
	oldest := WindowAt(wall.Add(-windowTTL), r.o.Window) + 1
	for w := max(r.first, oldest); w < due; w++ {
		if r.reports[w] == nil {
			r.reports[w] = r.newReport(w)
		}
		r.advance(r.reports[w], now)
	}
}

func (r *Reporter) newReport(w Window) *windowReport {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minRetryPause, maxRetryPause
	pause.Multiplier, pause.RandomizationFactor = 2, 0
	pause.Reset()
	report := &windowReport{window: w, stage: stageCreate, pause: pause}
	if w < r.readBelow {
		report.stage = stageLoad
	}
	return report
}

// forgetOld gives up the reports that are too old, and checks whether the others were
// complete.
func (r *Reporter) forgetOld(wall time.Time) {
	for w, report := range r.reports {
		if w.isCurrent(wall, r.o.Window) {
			continue
		}
		delete(r.reports, w)
		if report.stage != stageEnded {
			r.observe(report, false)
		}
		if report.stage >= stageSend {
			if missing := r.ledger.missing(report.decided); missing > 0 {
				r.o.Observer.ObserveMissing(w, missing)
			}
		}
	}
}

// advance starts the next operation of the report unless one is in progress.
func (r *Reporter) advance(report *windowReport, now time.Time) {
	if report.isBusy || now.Before(report.nextAt) {
		return
	}
	switch report.stage {
	case stageLoad:
		report.isBusy = true
		r.o.Store.LoadReport(report.window, func(loaded Report, found bool, err error) {
			r.steps.TryPut(stepEnd{report: report, stage: stageLoad, loaded: loaded, found: found, err: err})
		})
	case stageCreate:
		report.isBusy = true
		created := Report{Window: report.window, Counts: r.ledger.Sum(report.window)}
		r.o.Store.CreateReport(created, func(err error) {
			r.steps.TryPut(stepEnd{report: report, stage: stageCreate, loaded: created, err: err})
		})
	case stageSend:
		r.send(report, now)
	case stageEnded:
	}
}

// send starts a call of the accounting API.
func (r *Reporter) send(report *windowReport, now time.Time) {
	fence, decided := r.lease.Fence, report.decided
	timeout := min(callTimeout, r.lease.ValidUntil.Sub(now))
	report.isBusy = r.o.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err := r.o.Sender.Send(ctx, decided, fence, func() bool { return r.maySend(fence, decided.Window) })
		r.steps.TryPut(stepEnd{report: report, stage: stageSend, err: err})
	})
}

// maySend reports whether a call may be sent now. It runs on the goroutine of the call,
// which may have been suspended since the call was started.
func (r *Reporter) maySend(fence int64, w Window) bool {
	l := r.newest.Load()
	return l.Fence == fence && l.isValidAt(r.loop.Clock().Now()) && w.isCurrent(r.o.Wall(), r.o.Window)
}

// handleStep applies the outcome of an operation, unless the report belongs to an earlier
// lease or is given up.
func (r *Reporter) handleStep(e stepEnd) {
	report := e.report
	if e.stage == stageSend {
		r.o.Observer.ObserveCall(report.window, e.err)
	}
	if r.reports[report.window] != report {
		return
	}
	report.isBusy = false
	switch next, err := e.nextStage(); {
	case err != nil:
		report.lastErr = err
		report.nextAt = r.loop.Clock().Now().Add(report.pause.NextBackOff())
		report.stage = next
	default:
		r.enter(report, next, e.loaded)
	}
	if e.stage == stageSend {
		report.calls++
	}
	if report.stage == stageEnded {
		r.observe(report, true)
		r.o.Store.RemoveReport(report.window - Window(removeAge/r.o.Window))
		return
	}
	if now := r.loop.Clock().Now(); r.lease.isValidAt(now) {
		r.advance(report, now)
	}
}

// enter puts the report into its next stage without a pause.
func (r *Reporter) enter(report *windowReport, next stage, decided Report) {
	if report.stage != stageSend && next == stageSend {
		report.decided = decided
		report.pause.Reset()
	}
	report.stage = next
}

// nextStage returns the stage after the operation. An error asks for a pause before it.
func (e *stepEnd) nextStage() (stage, error) {
	switch {
	case e.stage == stageLoad && e.err == nil && e.found:
		return stageSend, nil
	case e.stage == stageLoad && e.err == nil:
		return stageCreate, nil
	case e.stage == stageCreate && e.err == nil:
		return stageSend, nil
	case e.stage == stageCreate:
		// The object exists, or the write may have taken effect.
		return stageLoad, e.err
	case e.stage == stageSend && e.err == nil:
		return stageEnded, nil
	default:
		return e.stage, e.err
	}
}

func (r *Reporter) observe(report *windowReport, accepted bool) {
	delay := r.o.Wall().Sub(report.window.End(r.o.Window))
	decided := report.decided
	decided.Window = report.window
	r.o.Observer.ObserveReport(Outcome{
		Report: decided, Fence: r.lease.Fence, Calls: report.calls, Delay: delay, IsLate: delay > r.o.Late,
		Accepted: accepted, Err: report.lastErr,
	})
}
