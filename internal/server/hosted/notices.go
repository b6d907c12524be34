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
	noticeRing = 1024
	// noticeDelay lets notices collect, so that one message carries several.
	noticeDelay = 10 * time.Millisecond
	// noticeTimeout bounds one message. The store says the same, later.
	noticeTimeout = time.Second
)

// notices is the duty that tells all daemons what this one knows first: the
// engines that it orders and the jobs that it owns. It adds up the work of all
// jobs by model.
type notices struct {
	loop    *duty.Loop
	log     *logrus.Entry
	engines *ring.Ring[backend.ModelStatus]
	owners  *ring.Ring[batch.Ownership]
	learned *ring.Ring[[]batch.Ownership]
	demand  weights.Demand
	recent  atomic.Pointer[map[string]float64] // of demand
	pool    *duty.Pool
	local   func([]backend.ModelStatus)
	others  func() []string
	send    func(ctx context.Context, address string, n daemonrpc.Notifications) error
	pending daemonrpc.Notifications
	due     bool
}

func (d *frontDaemon) buildNotices() error {
	pool, err := d.pool("notices", peerWorkers)
	if err != nil {
		return err
	}
	n := &notices{
		loop: duty.New("notices", d.clock), log: d.log,
		engines: ring.New[backend.ModelStatus]("notices.engines", noticeRing),
		owners:  ring.New[batch.Ownership]("notices.owners", noticeRing),
		learned: ring.New[[]batch.Ownership]("notices.learned", noticeRing),
		pool:    pool, local: d.directory.UpdateModelStatus, others: d.roster.others, send: d.peers.Notify,
	}
	duty.On(n.loop, n.engines, n.handleEngine)
	duty.On(n.loop, n.owners, n.handleOwner)
	duty.On(n.loop, n.learned, func(list []batch.Ownership) { n.count(list...) })
	d.notices = n
	d.loops = append(d.loops, n.loop)
	return nil
}

// add takes a notice of the roll-out. It never waits.
func (n *notices) add(w weights.LoadEvent) {
	if !n.engines.TryPut(backend.ModelStatus{Server: w.Engine, Model: w.Model, Version: w.Version, Loading: w.Loading}) {
		n.log.WithField("backend_server", w.Engine).Warn("notice about an engine is dropped")
	}
}

// announce takes a job that this daemon owns now. It never waits.
func (n *notices) announce(o batch.Ownership) {
	if !n.owners.TryPut(o) {
		n.log.WithField("job", o.Job).Warn("notice about a job is dropped")
	}
}

// learn takes the jobs that other daemons own now. It never waits.
func (n *notices) learn(list []batch.Ownership) {
	if !n.learned.TryPut(list) {
		n.log.WithField("jobs", len(list)).Warn("work of jobs is not counted: the ring of notices is full")
	}
}

// count adds the work of jobs to the demand.
func (n *notices) count(list ...batch.Ownership) {
	now := n.loop.Clock().Now()
	for _, o := range list {
		n.demand.Add(now, o.Model, float64(o.RemainingTokens))
	}
	recent := n.demand.Recent(now)
	n.recent.Store(&recent)
}

// recentWork returns the recent work of each model. Any goroutine may call it.
func (n *notices) recentWork() map[string]float64 {
	if recent := n.recent.Load(); recent != nil {
		return *recent
	}
	return nil
}

func (n *notices) handleEngine(notice backend.ModelStatus) {
	n.pending.Engines = append(n.pending.Engines, notice)
	n.flushSoon()
}

func (n *notices) handleOwner(o batch.Ownership) {
	n.count(o)
	n.pending.Owners = append(n.pending.Owners, o)
	n.flushSoon()
}

func (n *notices) flushSoon() {
	if !n.due {
		n.due = true
		n.loop.After(noticeDelay, n.flush)
	}
}

func (n *notices) flush() {
	list := n.pending
	n.pending, n.due = daemonrpc.Notifications{}, false
	if len(list.Engines) > 0 {
		n.local(list.Engines)
	}
	for _, address := range n.others() {
		if !n.pool.TryGo(func() { n.tell(address, list) }) {
			n.log.WithField("daemon", address).Warn("no worker is free to tell a daemon")
		}
	}
}

// tell runs on the pool.
func (n *notices) tell(address string, list daemonrpc.Notifications) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if err := n.send(ctx, address, list); err != nil {
		n.log.WithError(err).WithField("daemon", address).Debug("daemon could not be told")
	}
}
