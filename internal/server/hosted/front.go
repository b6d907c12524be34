package hosted

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/trainer/batch"
	"github.com/berylfall/berylfall/internal/transport"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	exchangeWorkers  = 4096
	collectorWorkers = 4096
	peerWorkers      = 512
	// rosterPace lets changes of daemons collect.
	rosterPace = time.Second
	// maxBody and maxHeader bound a request in bytes, and callerIdle the time
	// that a caller's connection is idle. The limits of the configuration, which
	// is not known when the listener opens, are lower.
	maxBody    = 40 << 20
	maxHeader  = 256 << 10
	callerIdle = 10 * time.Minute
	// storeCallTimeout is far above the time of an answer from a slow store and
	// below the patience of a trainer.
	storeCallTimeout = 800 * time.Millisecond
	// stopReserve is kept of the stop grace for the release of jobs and leases.
	stopReserve = 1500 * time.Millisecond
	// stopMinimum is how long new connections may still come after the stop
	// signal: the load balancer takes a daemon out after two missed questions.
	stopMinimum = 2500 * time.Millisecond
)

// frontDaemon serves callers and trainers.
type frontDaemon struct {
	*base
	routes    *caller.RouteTable
	store     *platform.Store
	dispatch  *backend.Dispatcher
	directory *backend.Directory
	keeper    *batch.Manager
	peers     *daemonrpc.PeerClient
	roster    *roster
	notices   *notices
	relay     *platform.Relay
	orders    *orderParts
	callers   *transport.Server
	readiness *transport.Server
	metrics   *settings.Metrics
	stopping  atomic.Bool
	closing   atomic.Bool // nothing more is passed on to servers
}

// StartFront starts a daemon that serves callers and trainers.
func StartFront(set *adapter.Settings, log *logrus.Entry) (Daemon, error) {
	b, err := newBase(set, log)
	if err != nil {
		return nil, err
	}
	d := &frontDaemon{base: b, routes: &caller.RouteTable{}, roster: &roster{}}
	d.peers = daemonrpc.NewPeerClient(d.roster.others)
	d.metrics = settings.NewMetrics(func() []*duty.Loop { return d.runner.Loops() })
	for _, step := range []func() error{
		d.buildStore, d.buildRoster, d.buildBackend, d.buildNotices, d.buildOrders, d.buildJobs, d.buildConfig, d.startDuties, d.buildListeners,
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *frontDaemon) buildStore() error {
	pool, err := d.pool("store", storeWorkers)
	if err != nil {
		return err
	}
	d.store = platform.NewStoreWithOptions(d.clock, d.api, pool, platform.StoreOptions{
		Budget: platform.NewBudget(platform.BudgetOptions{
			ReadsPerSecond: d.set.Store.ReadsPerSecond / budgetDivisor, WritesPerSecond: d.set.Store.WritesPerSecond / budgetDivisor,
		}),
		CallTimeout: storeCallTimeout, MaxRetryDelay: watchRetry,
		Random: d.random(),
	})
	d.loops = append(d.loops, d.store.Loop())
	return nil
}

// budgetDivisor is the part of the store's rates that one daemon may use. Work
// is spread unevenly, so it is larger than an even part.
const budgetDivisor = 5

func (d *frontDaemon) buildBackend() error {
	exchanges, err := d.pool("exchanges", exchangeWorkers)
	if err != nil {
		return err
	}
	d.dispatch = backend.NewDispatcher(d.clock, d.random(), adapter.NewExchanger(), exchanges)
	d.dispatch.SetDataCentre(d.set.DataCentre)
	d.dispatch.SetAttemptEndHandler(d.logAttempt)
	d.directory = backend.NewDirectory(d.clock, d.log, d.setServers)
	d.loops = append(d.loops, d.dispatch.Loop(), d.directory.Loop())
	d.followServers()
	return nil
}

// storeAnswered runs on the watch's goroutine.
func (d *frontDaemon) storeAnswered(err error) {
	d.directory.SetStoreAvailable(err == nil || errors.Is(err, platform.ErrCompacted))
}

// setServers runs on the directory's goroutine.
func (d *frontDaemon) setServers(servers []backend.Server) {
	d.dispatch.SetServers(servers)
	d.orders.setServers(servers, d.routes.Current(), d.notices.recentWork())
}

// handleServers decodes entries on the watch's goroutine.
func (d *frontDaemon) handleServers(s platform.Snapshot) {
	changes := make([]backend.ServerChange, 0, len(s.Objects))
	for _, o := range s.Objects {
		name := o.Key[len(adapter.KindServers)+1:]
		change := backend.ServerChange{ID: core.ServerID(name), Removed: o.Deleted}
		if !o.Deleted {
			server, err := adapter.DecodeServer(name, o.Value)
			if err != nil {
				d.log.WithError(err).WithField("backend_server", name).Warn("entry names no backend server")
				change.Removed = true
			}
			change.Server = server
		}
		changes = append(changes, change)
	}
	if !d.directory.SubmitChanges(changes) {
		d.log.Error("changes of backend servers are lost: the directory's ring is full")
	}
}

func (d *frontDaemon) buildJobs() error {
	collectors, err := d.pool("collectors", collectorWorkers)
	if err != nil {
		return err
	}
	d.keeper = batch.NewManager(batch.Options{
		Clock: d.clock, Log: d.log, Store: d.store, Calls: d.dispatch, Pool: collectors,
		Routes: jobRoutes{table: d.routes}, OnOwned: d.notices.announce,
		Self: batch.Owner{Address: d.set.PeerAddress, Run: d.runName()},
	})
	sweeper := batch.NewSweeper(batch.SweeperOptions{
		Clock: d.clock, Log: d.log, Store: d.store, Retention: d.set.Bounds.KeepResults,
		IsSweeper: func() bool { return d.orders.groups[0].held.Load() },
	})
	d.loops = append(d.loops, d.keeper.Loop(), sweeper.Loop())
	return nil
}

func (d *frontDaemon) buildConfig() error {
	d.follow(adapter.KindConfig, platform.WatcherOptions{}, d.handleConfig)
	d.probeStore(d.keeper.RecheckOwnership)
	return nil
}

// handleConfig puts a configuration into force, on the watch's goroutine.
func (d *frontDaemon) handleConfig(s platform.Snapshot) {
	for _, o := range s.Objects {
		if o.Deleted || o.Key != adapter.ConfigKey() {
			continue
		}
		set, err := adapter.DecodeConfig(o.Value)
		if err != nil {
			d.log.WithError(err).Error("configuration cannot be read; the one before stays in force")
			continue
		}
		d.log.WithFields(logrus.Fields{"config": set.Version, "applied": d.routes.Apply(set)}).Info("configuration received")
	}
}

func (d *frontDaemon) buildListeners() error {
	desk := batch.NewRouter(d.keeper, d.peers, d.log)
	front := &adapter.Front{Routes: d.routes, Calls: d.dispatch, Jobs: desk, Log: d.log, Ready: d.isReady, Closing: d.closing.Load, OnEnd: d.countRequest, Metrics: d.writeMetrics}
	var err error
	if d.callers, err = transport.Listen(d.set.Callers, transport.ServerOptions{MaxBodyBytes: maxBody, MaxHeaderBytes: maxHeader, IdleTimeout: callerIdle}); err != nil {
		return err
	}
	d.callers.Router().NoRoute(front.Handle)
	if d.readiness, err = transport.Listen(d.set.Readiness, transport.ServerOptions{}); err != nil {
		return err
	}
	d.readiness.Router().NoRoute(front.HandleReady)
	pool, err := d.pool("peers", peerWorkers)
	if err != nil {
		return err
	}
	jobs, err := daemonrpc.ListenPeers(d.set.PeerAddress, pool, d.log, daemonrpc.PeerHandlers{HandleJobRequest: desk.HandleRelayed, HandleEngineNotifications: d.directory.UpdateModelStatus, HandleOwnerNotifications: d.learnOwners, HandleWatchRequest: d.relay.Watch})
	if err != nil {
		return err
	}
	for _, s := range []struct {
		name     string
		serve    func() error
		shutdown func(context.Context) error
	}{
		{"peers", jobs.Serve, jobs.Shutdown},
		{"readiness", d.readiness.Serve, d.readiness.Close},
		{"callers", d.callers.Serve, d.callers.Shutdown},
	} {
		if err := d.runner.Serve(s.name, s.serve, s.shutdown); err != nil {
			return err
		}
	}
	return nil
}

// learnOwners takes the jobs that another daemon owns now, on a pool worker.
func (d *frontDaemon) learnOwners(list []batch.Ownership) {
	d.keeper.UpdateOwners(list)
	d.notices.learn(list)
}

// isReady reports whether the daemon takes new connections and jobs.
func (d *frontDaemon) isReady() bool {
	return !d.stopping.Load() && d.routes.Current() != nil
}

// Stop ends the daemon within the grace of ctx. Open connections are served to
// the end; jobs run on until the reserve, then other daemons take them.
func (d *frontDaemon) Stop(ctx context.Context) {
	d.stopping.Store(true)
	d.callers.Drain()
	d.orders.release(ctx)
	deadline, _ := ctx.Deadline()
	working, cancel := context.WithDeadline(ctx, deadline.Add(-stopReserve))
	defer cancel()
	_ = duty.Sleep(working, stopMinimum-releaseWait)
	d.keeper.WaitIdle(working)
	d.callers.WaitIdle(working)
	// A request that comes from here on is refused; the second wait is for those
	// that came in between.
	d.closing.Store(true)
	d.callers.WaitIdle(ctx)
	d.keeper.ReleaseJobs()
	_ = duty.Sleep(ctx, stopReserve/3)
	d.runner.Stop(ctx)
	d.peers.Close()
	d.release()
}

// jobRoutes finds the rules of jobs in the configuration in force.
type jobRoutes struct {
	table *caller.RouteTable
}

// JobRules implements batch.Routes.
func (r jobRoutes) JobRules(host, target string) (batch.JobRules, bool) {
	route := r.match(host, target)
	if route == nil || len(route.Targets) == 0 {
		return batch.JobRules{}, false
	}
	return batch.JobRules{
		Service: route.Targets[0].Service, MaxAttempts: route.MaxAttempts,
		SingleVersion: route.SingleVersion, AbandonAfter: route.AbandonAfter,
	}, true
}

// RewardRules implements batch.Routes.
func (r jobRoutes) RewardRules(host, target string) (batch.RewardRules, bool) {
	route := r.match(host, target)
	if route == nil || len(route.Targets) == 0 {
		return batch.RewardRules{}, false
	}
	return batch.RewardRules{Service: route.Targets[0].Service, MaxAttempts: route.MaxAttempts, Timeout: route.Timeout}, true
}

func (r jobRoutes) match(host, target string) *caller.Route {
	set := r.table.Current()
	if set == nil {
		return nil
	}
	return set.Match(host, target)
}
