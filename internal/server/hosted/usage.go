package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	rendezvous "github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/usage"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	// usageLease is the name of the lease for reports of usage, and the key of the rank of
	// the daemons that hold the counts.
	usageLease = "usage"
	// usageLeaseDuration bounds the time until a holder's failure is detected.
	usageLeaseDuration = orderLeaseDuration
	// usagePoolSize bounds the messages with counts and the calls of the accounting API.
	usagePoolSize = 64
	// kindUsage is the kind of the objects that hold the reports, one for each window.
	kindUsage = "usage-reports"
	// usageStoreTimeout bounds one operation on a report.
	usageStoreTimeout = time.Second
	// usageStopWait is how long a daemon that stops waits for its last counts to be sent.
	usageStopWait = usage.MaxSendDelay + 100*time.Millisecond
)

// usageReports counts the requests of customers and reports them to the accounting API
// while this daemon holds the lease. It is nil if the platform wants no reports.
type usageReports struct {
	counts   *usage.Counts
	reporter *usage.Reporter
}

// usagePeers implements usage.Peers with the list of daemons.
type usagePeers struct {
	*daemonrpc.PeerClient
	self    string
	isKnown func() bool
}

// Ranked implements usage.Peers.
func (p usagePeers) Ranked() []string {
	if !p.isKnown() {
		return nil
	}
	all := append(slices.Clone(p.Addresses()), p.self)
	return rendezvous.RendezvousRank(usageLease, all, len(all))
}

// usageStore implements usage.Store with the platform's store.
type usageStore struct {
	store platform.Submitter
}

// usageObject is the value of the object of a window.
type usageObject struct {
	Counts usage.CustomerCounts `json:"counts"`
}

func usageKey(w usage.Window) string { return kindUsage + "/" + strconv.FormatInt(int64(w), 10) }

// submit replies with an error if there is no room for the operation.
func (s usageStore) submit(op platform.Op) {
	op.Timeout = usageStoreTimeout
	if !s.store.Submit(op) {
		op.Reply(platform.Result{Err: platform.ErrQueueFull})
	}
}

// CreateReport implements usage.Store.
func (s usageStore) CreateReport(r usage.Report, reply func(error)) {
	value, err := json.Marshal(usageObject{Counts: r.Counts})
	if err != nil {
		reply(fmt.Errorf("encode usage of window %d: %w", r.Window, err))
		return
	}
	s.submit(platform.Op{
		Kind: platform.OpPut, Key: usageKey(r.Window), Value: value, IfVersion: platform.Absent,
		Reply: func(result platform.Result) {
			if errors.Is(result.Err, platform.ErrConflict) {
				reply(usage.ErrDecided)
				return
			}
			reply(result.Err)
		},
	})
}

// LoadReport implements usage.Store.
func (s usageStore) LoadReport(w usage.Window, reply func(r usage.Report, found bool, err error)) {
	s.submit(platform.Op{
		Kind: platform.OpGet, Key: usageKey(w),
		Reply: func(result platform.Result) {
			switch {
			case errors.Is(result.Err, platform.ErrNotFound):
				reply(usage.Report{}, false, nil)
			case result.Err != nil:
				reply(usage.Report{}, false, result.Err)
			default:
				r, err := decodeUsage(w, result.Object.Value)
				reply(r, err == nil, err)
			}
		},
	})
}

// RemoveReport implements usage.Store. An object that stays is small and harmless.
func (s usageStore) RemoveReport(w usage.Window) {
	s.submit(platform.Op{Kind: platform.OpDelete, Key: usageKey(w), IfVersion: platform.AnyVersion, Reply: func(platform.Result) {}})
}

// decodeUsage decodes the object of a window. One that cannot be decoded is not reported:
// its content may have been sent.
func decodeUsage(w usage.Window, value []byte) (usage.Report, error) {
	var object usageObject
	if err := json.Unmarshal(value, &object); err != nil {
		return usage.Report{}, fmt.Errorf("decode usage of window %d: %w", w, err)
	}
	if object.Counts == nil {
		return usage.Report{}, core.InvalidError("counts", shorten(string(value)), "the requests of each customer", "is missing")
	}
	return usage.Report{Window: w, Counts: object.Counts}, nil
}

// buildUsage adds the duties that count and report, if the platform wants reports.
func (d *frontDaemon) buildUsage() error {
	wanted := d.hostSettings.Usage
	if !wanted.IsWanted() {
		return nil
	}
	pool, err := d.pool("usage", usagePoolSize)
	if err != nil {
		return err
	}
	self := d.hostSettings.PeerAddress
	peers := usagePeers{PeerClient: d.peers, self: self, isKnown: d.peerList.isKnown}
	wait := orderLimits(d.hostSettings.Bounds.LeaseTurn).TakeoverWait
	u := &usageReports{}
	u.reporter = usage.NewReporter(usage.ReporterOptions{
		Clock: d.orders.leaseManager.Loop().Clock(), Wall: time.Now, Window: wanted.Window, Late: wanted.Late, TakeoverWait: wait, Self: self,
		Store: usageStore{store: d.store}, Sender: adapter.NewUsage(wanted.Address, d.hostSettings.Host),
		Peers: peers, TryGo: pool.TryGo, Observer: usageObserver{d},
	})
	u.counts = usage.NewCounts(usage.CountsOptions{
		Clock: d.clock, Window: wanted.Window, Run: d.runName(), Self: self, Peers: peers,
		Deliver: u.receive(d), TryGo: pool.TryGo, OnDropped: func() { d.metrics.Count("usage_counts_dropped_total") },
	})
	d.usage = u
	d.dispatch.SetRunHandler(u.countRun)
	d.loops = append(d.loops, u.reporter.Loop(), u.counts.Loop())
	d.becomeUsageCandidate(wait)
	return nil
}

// countRun counts a request that a server runs. Parts of jobs and reward calls are none of
// a caller's requests, and a stream that goes on was counted when it began. It runs on the
// goroutine of the attempt.
func (u *usageReports) countRun(r *core.Request, sentAt time.Time) {
	if r.Customer == "" || r.Accepted || !r.Resume.IsEmpty() {
		return
	}
	u.counts.Record(usage.Begun{Request: r.ID, Customer: r.Customer, SentAt: sentAt})
}

// receive returns the function that holds the totals of a daemon.
func (u *usageReports) receive(d *frontDaemon) func([]usage.Totals) bool {
	return func(totals []usage.Totals) bool {
		isHeld := u.reporter.Receive(totals)
		if !isHeld {
			d.metrics.Count("usage_counts_dropped_total")
		}
		return isHeld
	}
}

// becomeUsageCandidate makes this daemon a candidate for the lease, as for those of the
// orders. The daemons that receive the counts read it often.
func (d *frontDaemon) becomeUsageCandidate(takeoverWait time.Duration) {
	options := platform.LeaseOptions{
		Duration:     usageLeaseDuration,
		Listener:     d.handleUsageLease,
		PollPeriod:   func() time.Duration { return candidatePollPeriod(d.leaseRank(usageLease), false) },
		IsEarlierRun: d.isEarlierRun,
		TakeoverWait: takeoverWait,
	}
	leases := d.orders.leaseManager
	acquire := func() {
		if !d.isStopping.Load() && !leases.Acquire(usageLease, options) {
			d.log.WithField("lease", usageLease).Error("daemon cannot become a candidate: ring of the lease manager is full")
		}
	}
	if !d.hostSettings.Bootstrap {
		acquire()
		return
	}
	leases.Loop().After(candidateDelay, func() {
		leases.Loop().After(time.Duration(d.leaseRank(usageLease))*candidateDelay, acquire)
	})
}

// handleUsageLease passes a lease event to the reporter. It runs on the lease manager's
// goroutine.
func (d *frontDaemon) handleUsageLease(e platform.LeaseEvent) {
	switch {
	case e.Kind == platform.LeaseObserved:
		return
	case e.Kind == platform.LeaseLost || d.isStopping.Load():
		d.usage.reporter.SetLease(usage.Lease{})
	default:
		d.usage.reporter.SetLease(newUsageLease(e))
	}
	if e.Kind != platform.LeaseRenewed {
		d.logLeaseChange(e)
	}
}

// newUsageLease converts a lease event to the lease of the reporter.
func newUsageLease(e platform.LeaseEvent) usage.Lease {
	return usage.Lease{Fence: e.Lease.Fence, ValidUntil: e.Lease.Deadline, TakeoverWaitDone: e.Kind == platform.LeaseGained && e.TakeoverWaitDone}
}

// stopUsageReports ends the calls of the accounting API at a planned stop,
// leaseReleaseDelay before the lease is released. It replaces the lease on the lease
// manager's goroutine, so that no later event restores it.
func (d *frontDaemon) stopUsageReports() {
	if d.usage != nil {
		d.orders.leaseManager.Loop().After(0, func() { d.usage.reporter.SetLease(usage.Lease{}) })
	}
}

func (d *frontDaemon) releaseUsageLease() {
	if d.usage != nil {
		d.orders.leaseManager.Release(usageLease)
	}
}

// sendLastCounts gives the counts of the last requests usageStopWait to reach the other
// daemons. It does not check that they have.
func (d *frontDaemon) sendLastCounts(ctx context.Context) {
	if d.usage != nil && d.usage.counts.HasUnsent() {
		_ = duty.Sleep(ctx, usageStopWait)
	}
}

// reportUsageDaemons tells the duties that the list of daemons is known. It runs on the
// goroutine of the watch.
func (d *frontDaemon) reportUsageDaemons() {
	if d.usage != nil {
		d.usage.reporter.ReportDaemons()
	}
}

// usageHandlers adds the handlers of messages with counts.
func (d *frontDaemon) usageHandlers(h *daemonrpc.PeerHandlers) {
	if d.usage != nil {
		h.HandleUsage, h.HandleUsagePull = d.usage.receive(d), d.usage.reporter.Held
	}
}

// usageObserver logs and counts what becomes of reports.
type usageObserver struct {
	d *frontDaemon
}

// ObserveCall implements usage.Observer.
func (o usageObserver) ObserveCall(w usage.Window, err error) {
	outcome := "accepted"
	switch {
	case errors.Is(err, usage.ErrNotSent):
		outcome = "not-sent"
	case errors.Is(err, usage.ErrRateLimited):
		outcome = "rate-limited"
	case err != nil:
		outcome = "failed"
	}
	o.d.metrics.Count("usage_calls_total", settings.Label{Name: "outcome", Value: outcome})
	if err != nil {
		o.d.log.WithError(err).WithField("window", w).Info("call of the accounting API failed")
	}
}

// ObserveReport implements usage.Observer.
func (o usageObserver) ObserveReport(e usage.Outcome) {
	line := o.d.log.WithFields(logrus.Fields{
		"window": e.Report.Window, "requests": e.Report.Counts.Sum(), "customers": len(e.Report.Counts),
		"fence": e.Fence, "calls": e.Calls, "delay_ms": e.Delay.Milliseconds(), "late": e.IsLate,
	})
	if !e.Accepted {
		o.d.metrics.Count("usage_reports_total", settings.Label{Name: "outcome", Value: "given-up"})
		line.WithError(e.Err).Warn("usage of a window is given up")
		return
	}
	o.d.metrics.Observe("usage_report_delay_seconds", e.Delay)
	if e.IsLate {
		o.d.metrics.Count("usage_reports_total", settings.Label{Name: "outcome", Value: "late"})
		line.WithError(e.Err).Warn("usage of a window reported")
		return
	}
	o.d.metrics.Count("usage_reports_total", settings.Label{Name: "outcome", Value: "accepted"})
	line.Info("usage of a window reported")
}

// ObserveMissing implements usage.Observer.
func (o usageObserver) ObserveMissing(w usage.Window, requests int64) {
	o.d.metrics.Add("usage_counts_late_total", requests)
	o.d.log.WithFields(logrus.Fields{"window": w, "requests": requests}).Warn("counts of usage came too late for their report")
}

// ObservePull implements usage.Observer.
func (o usageObserver) ObservePull(address string, err error) {
	o.d.log.WithError(err).WithField("daemon", address).Info("counts of usage could not be asked of a daemon")
}
