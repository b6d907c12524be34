package hosted

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
	"github.com/berylfall/berylfall/internal/trainer/batch"
	"github.com/berylfall/berylfall/internal/weights"
)

const (
	notificationRingCapacity = 1024
	// notificationBatchDelay is how long notifications are collected for one message.
	notificationBatchDelay = 10 * time.Millisecond
	// notificationTimeout bounds the sending of one message. A lost notification only
	// delays its receiver, which reads the same state from the store later. A crash is not
	// in the store, so its message is sent once more, in time for the judgement.
	notificationTimeout = time.Second
	crashTimeout        = 300 * time.Millisecond
	crashAttempts       = 2
)

// notifier is the duty that notifies all peers of the state that this daemon knows
// first: the versions of engines that it orders, the jobs that it owns, the rate
// limits that it distributes, and the crashes that it sees. It also sums the recent
// demand of all jobs by model.
type notifier struct {
	loop           *duty.Loop
	log            *logrus.Entry
	self           string // address of this daemon, as the others know it
	modelStatuses  *ring.Ring[backend.ModelStatus]
	ownerships     *ring.Ring[batch.Ownership]
	rateLimits     *ring.Ring[backend.ServerRateLimit]
	suspects       *ring.Ring[backend.SuspectReport]
	peerOwnerships *ring.Ring[[]batch.Ownership]
	demand         weights.Demand
	latestDemand   atomic.Pointer[map[string]float64] // of demand
	pool           *duty.Pool
	applyLocally   func([]backend.ModelStatus)
	applyLimits    func([]backend.ServerRateLimit)
	peerAddresses  func() []string
	send           func(ctx context.Context, address string, n daemonrpc.Notifications) error
	pending        daemonrpc.Notifications
	flushScheduled bool
}

func (d *frontDaemon) buildNotifier() error {
	pool, err := d.pool("notices", peerPoolSize)
	if err != nil {
		return err
	}
	n := &notifier{
		loop: duty.New("notices", d.clock), log: d.log, self: d.hostSettings.PeerAddress,
		modelStatuses:  ring.New[backend.ModelStatus]("notices.engines", notificationRingCapacity),
		ownerships:     ring.New[batch.Ownership]("notices.owners", notificationRingCapacity),
		rateLimits:     ring.New[backend.ServerRateLimit]("notices.limits", notificationRingCapacity),
		suspects:       ring.New[backend.SuspectReport]("notices.suspects", notificationRingCapacity),
		peerOwnerships: ring.New[[]batch.Ownership]("notices.learned", notificationRingCapacity),
		pool:           pool, applyLocally: d.directory.UpdateModelStatus, applyLimits: d.dispatch.UpdateRateLimits, peerAddresses: d.peerList.otherAddresses, send: d.peers.Notify,
	}
	duty.On(n.loop, n.modelStatuses, n.handleModelStatus)
	duty.On(n.loop, n.ownerships, n.handleOwnership)
	duty.On(n.loop, n.rateLimits, n.handleRateLimit)
	duty.On(n.loop, n.suspects, n.handleSuspects)
	duty.On(n.loop, n.peerOwnerships, func(list []batch.Ownership) { n.addDemand(list...) })
	d.rateLimiter.SetAnnouncer(n.addRateLimit)
	d.notifier = n
	d.loops = append(d.loops, n.loop)
	return nil
}

// addLoadEvent queues an event of the roll-out. It never blocks; a full ring drops
// the event.
func (n *notifier) addLoadEvent(w weights.LoadEvent) {
	if !n.modelStatuses.TryPut(backend.ModelStatus{Server: w.Engine, Model: w.Model, Version: w.Version, Loading: w.Loading}) {
		n.log.WithField("backend_server", w.Engine).Warn("notification of an engine's version is dropped: ring is full")
	}
}

// addOwnership queues a job that this daemon has started to own. It never blocks; a
// full ring drops the job.
func (n *notifier) addOwnership(o batch.Ownership) {
	if !n.ownerships.TryPut(o) {
		n.log.WithField("job", o.Job).Warn("notification of a job's owner is dropped: ring is full")
	}
}

// addRateLimit queues a rate limit that this daemon distributes. It never blocks; a full
// ring drops the limit, which the peers learn with the server's answers.
func (n *notifier) addRateLimit(l backend.ServerRateLimit) {
	if !n.rateLimits.TryPut(l) {
		n.log.WithField("backend_server", l.Server).Warn("notification of a rate limit is dropped: ring is full")
	}
}

// addSuspects queues what dispatch has learnt of crashes. It never blocks; a full ring drops
// it.
func (n *notifier) addSuspects(r backend.SuspectReport) {
	if !n.suspects.TryPut(r) {
		n.log.Warn("notification of a crash is dropped: ring is full")
	}
}

// addPeerOwnerships queues the jobs that peers have started to own. It never blocks;
// a full ring drops them.
func (n *notifier) addPeerOwnerships(list []batch.Ownership) {
	if !n.peerOwnerships.TryPut(list) {
		n.log.WithField("jobs", len(list)).Warn("demand of jobs owned by peers is not counted: ring is full")
	}
}

// addDemand adds the remaining work of jobs to the demand.
func (n *notifier) addDemand(list ...batch.Ownership) {
	now := n.loop.Clock().Now()
	for _, o := range list {
		n.demand.Add(now, o.Model, float64(o.RemainingTokens))
	}
	recent := n.demand.Recent(now)
	n.latestDemand.Store(&recent)
}

// recentWork returns the recent demand of each model. Any goroutine may call it.
func (n *notifier) recentWork() map[string]float64 {
	if recent := n.latestDemand.Load(); recent != nil {
		return *recent
	}
	return nil
}

func (n *notifier) handleModelStatus(status backend.ModelStatus) {
	n.pending.Engines = append(n.pending.Engines, status)
	n.scheduleFlush()
}

func (n *notifier) handleRateLimit(l backend.ServerRateLimit) {
	n.pending.RateLimits = append(n.pending.RateLimits, l)
	n.scheduleFlush()
}

func (n *notifier) handleSuspects(r backend.SuspectReport) {
	for _, c := range r.Crashes {
		n.log.WithFields(logrus.Fields{"backend_server": c.Server, "run": c.Run, "requests": len(c.InFlight), "items": c.Accepted}).Info("backend server crashed")
	}
	for _, c := range r.ConfirmedCauses {
		n.log.WithField("fingerprint", c.Fingerprint).Warn("a request is confirmed to crash backend servers; it is refused")
	}
	for i := range r.Crashes {
		r.Crashes[i].Daemon = n.self
	}
	n.pending.Suspects.Add(r)
	n.scheduleFlush()
}

func (n *notifier) handleOwnership(o batch.Ownership) {
	n.addDemand(o)
	n.pending.Owners = append(n.pending.Owners, o)
	n.scheduleFlush()
}

func (n *notifier) scheduleFlush() {
	if !n.flushScheduled {
		n.flushScheduled = true
		n.loop.After(notificationBatchDelay, n.flush)
	}
}

func (n *notifier) flush() {
	list := n.pending
	n.pending, n.flushScheduled = daemonrpc.Notifications{}, false
	if len(list.Engines) > 0 {
		n.applyLocally(list.Engines)
	}
	if len(list.RateLimits) > 0 {
		n.applyLimits(list.RateLimits)
	}
	for _, address := range n.peerAddresses() {
		if !n.pool.TryGo(func() { n.sendTo(address, list) }) {
			n.log.WithField("daemon", address).Warn("notification is dropped: pool is busy")
		}
	}
}

// sendTo sends the notifications to one peer. It runs on a pool goroutine.
func (n *notifier) sendTo(address string, list daemonrpc.Notifications) {
	attempts, timeout := 1, notificationTimeout
	if !list.Suspects.IsEmpty() {
		attempts, timeout = crashAttempts, crashTimeout
	}
	for range attempts {
		err := n.trySend(address, list, timeout)
		if err == nil {
			return
		}
		n.log.WithError(err).WithField("daemon", address).Debug("notification could not be sent")
	}
}

func (n *notifier) trySend(address string, list daemonrpc.Notifications, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return n.send(ctx, address, list)
}
