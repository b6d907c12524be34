package hosted

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/trainer/batch"
	"github.com/berylfall/berylfall/internal/transport"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	// exchangePoolSize, collectorPoolSize and peerPoolSize are numbers of pool
	// goroutines: for attempts at backend servers, for collecting the output of items of
	// jobs, and for messages from (and, in another pool, to) peers.
	exchangePoolSize  = 4096
	collectorPoolSize = 4096
	peerPoolSize      = 512
	// peerListBatchDelay is how long changes of the daemons are collected.
	peerListBatchDelay = time.Second
	// maxBody and maxHeader bound a request in bytes, and callerIdleTimeout bounds the
	// idle time of a caller's connection. The limits of the configuration, which is not
	// known when the listener opens, are lower.
	maxBody           = 40 << 20
	maxHeader         = 256 << 10
	callerIdleTimeout = 10 * time.Minute
	// bodyMemoryShare is the share of the process's memory for the bodies of requests.
	bodyMemoryShare = 0.25
	// storeCallTimeout is well above the response time of a slow store and below the
	// timeout of a trainer's request.
	storeCallTimeout = 800 * time.Millisecond
	// storeReadTimeout bounds one read of the store as a whole. It has room for an object of
	// the largest size on a small host's link that other reads share.
	storeReadTimeout = 5 * time.Second
	// stopReserve is the part of the stop grace that is reserved for the release of
	// jobs and leases.
	stopReserve = 1500 * time.Millisecond
	// answerReserve is the last part of the stop grace, in which requests that are still
	// in progress get an answer.
	answerReserve = 700 * time.Millisecond
	// jobReleaseDelay is how long the release of jobs takes.
	jobReleaseDelay = 500 * time.Millisecond
	// maxAcceptDuration is how long new requests are passed on after the stop signal. A
	// later one may take longer than what is left of the grace.
	maxAcceptDuration = 3 * time.Second
	// isolationPoolSize has room for two checks of the peers.
	isolationPoolSize = 16
	// minStopDuration is how long new connections are accepted after the stop signal:
	// the load balancer removes a daemon after two failed readiness checks.
	minStopDuration = 2500 * time.Millisecond
)

// frontDaemon serves callers and trainers.
type frontDaemon struct {
	*base
	routes       *caller.RouteTable
	dispatch     *backend.Dispatcher
	rateLimiter  *backend.RateLimiter
	directory    *backend.Directory
	jobManager   *batch.Manager
	peers        *daemonrpc.PeerClient
	peerList     *peerList
	unauthorized *unauthorizedRequests
	notifier     *notifier
	relay        *platform.Relay
	origins      *caller.StreamOrigins
	orders       *engineOrders
	usage        *usageReports // nil if the platform wants no reports of usage
	callers      *transport.Server
	readiness    *transport.Server
	metrics      *settings.Metrics
	isStopping   atomic.Bool
	isClosing    atomic.Bool // requests are no longer passed on to backend servers
	oddServers   oddEntries
	oddConfigs   oddEntries
	oddCustomers oddEntries
	oddDaemons   oddEntries
	oddVersions  oddEntries
	endRequests  func()      // ends the requests in progress with an answer
	isIsolated   atomic.Bool // the store and most peers do not answer
}

// StartFront starts a daemon that serves callers and trainers. It returns once the
// listeners are open; the daemon is ready when it has received a configuration.
func StartFront(set *adapter.Settings, log *logrus.Entry) (Daemon, error) {
	b, err := newBase(set, log)
	if err != nil {
		return nil, err
	}
	d := &frontDaemon{base: b, routes: &caller.RouteTable{}, peerList: &peerList{}}
	d.peers = daemonrpc.NewPeerClient(d.peerList.otherAddresses)
	d.metrics = settings.NewMetrics(func() []*duty.Loop { return d.runner.Loops() })
	d.unauthorized = newUnauthorizedRequests(d.clock, d.log, d.metrics)
	for _, step := range []func() error{
		d.buildStore, d.buildPeerList, d.buildBackend, d.buildRateLimiter, d.buildStreamOrigins, d.buildNotifier, d.buildOrders, d.buildUsage, d.buildJobs, d.buildConfig, d.startDuties, d.buildListeners,
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *frontDaemon) buildStore() error {
	pool, err := d.pool("store", storePoolSize)
	if err != nil {
		return err
	}
	d.store = platform.NewStoreWithOptions(d.clock, d.storeClient, pool, platform.StoreOptions{
		Budget: platform.NewBudget(platform.BudgetOptions{
			ReadsPerSecond: d.hostSettings.Store.ReadsPerSecond / budgetDivisor, WritesPerSecond: d.hostSettings.Store.WritesPerSecond / budgetDivisor,
		}),
		CallTimeout: storeCallTimeout, ReadTimeout: storeReadTimeout, Random: d.random(),
	})
	d.store.OnRefusals(d.logRefusals)
	d.observeStoreCalls()
	d.loops = append(d.loops, d.store.Loop())
	return nil
}

// budgetDivisor divides the store's total rates into the budget of one daemon. The
// budget exceeds an even share, since work is spread unevenly.
const budgetDivisor = 5

func (d *frontDaemon) buildBackend() error {
	exchanges, err := d.pool("exchanges", exchangePoolSize)
	if err != nil {
		return err
	}
	d.dispatch = backend.NewDispatcher(d.clock, d.random(), adapter.NewExchanger(), exchanges, d.sendSuspects)
	d.dispatch.SetDataCentre(d.hostSettings.DataCentre)
	d.dispatch.SetAttemptEndHandler(d.logAttempt)
	d.dispatch.SetRateLimitObserver(backend.RateLimitObserver{OnChange: d.logRateLimit, OnUsage: d.logRateUsage})
	d.dispatch.SetEntryTerm(backend.EntryTerm, d.bootClock.Now)
	d.directory = backend.NewDirectory(d.bootClock, d.log, d.setServers)
	d.dispatch.SetLeavingHandler(d.directory.AddLeavingNotice)
	d.loops = append(d.loops, d.dispatch.Loop(), d.directory.Loop())
	d.watchServers()
	return nil
}

// setStoreAvailable reports to the directory whether the store answered a call. It
// runs on the goroutine of the watch.
func (d *frontDaemon) setStoreAvailable(err error) {
	d.directory.SetStoreAvailable(err == nil || errors.Is(err, platform.ErrCompacted))
}

// setServers passes the backend servers of the directory to dispatch and the
// roll-outs. It runs on the directory's goroutine.
func (d *frontDaemon) setServers(servers []backend.Server) {
	d.dispatch.SetServers(servers)
	d.orders.reportServers(servers, d.routes.Current(), d.notifier.recentWork())
}

// handleServers decodes the entries of backend servers and submits the changes to
// the directory. It removes the values of entries that name no server to use, which
// may be large, so that a relay does not pass them on. It runs on the goroutine of the
// watch.
func (d *frontDaemon) handleServers(s platform.Snapshot) {
	changes := make([]backend.ServerChange, 0, len(s.Objects))
	for i := range s.Objects {
		o := &s.Objects[i]
		change, err := decodeServerChange(o)
		if err != nil {
			d.reportOddEntry(&d.oddServers, o.Key, "entry of a backend server cannot be decoded", err)
			o.Value = nil
		} else {
			d.oddServers.remove(o.Key)
		}
		changes = append(changes, change)
	}
	if !d.directory.SubmitChanges(changes) {
		d.log.Error("changes of backend servers are dropped: directory ring is full")
	}
}

// decodeServerChange decodes a change of a backend server's entry. An entry that cannot
// be decoded names no server to use, and the change then removes the server.
func decodeServerChange(o *platform.Object) (backend.ServerChange, error) {
	name := strings.TrimPrefix(o.Key, adapter.KindServers+"/")
	change := backend.ServerChange{ID: core.ServerID(name), Removed: o.Deleted}
	if o.Deleted {
		return change, nil
	}
	var err error
	change.Server, err = adapter.DecodeServer(name, o.Value)
	change.Removed = err != nil
	return change, err
}

func (d *frontDaemon) buildJobs() error {
	collectors, err := d.pool("collectors", collectorPoolSize)
	if err != nil {
		return err
	}
	d.jobManager = batch.NewManager(batch.Options{
		Clock: d.clock, Log: d.log, Store: d.store, Calls: d.dispatch, Pool: collectors,
		Routes: jobRoutes{table: d.routes}, OnOwned: d.notifier.addOwnership,
		Self:     batch.Owner{Address: d.hostSettings.PeerAddress, Run: d.runName()},
		LeaseNow: duty.NewBootClock().Now,
	})
	sweeper := batch.NewSweeper(batch.SweeperOptions{
		Clock: d.clock, Log: d.log, Store: d.store, Retention: d.hostSettings.Bounds.KeepResults,
		IsSweeper: func() bool { return d.orders.groups[0].isHolder.Load() },
	})
	d.loops = append(d.loops, d.jobManager.Loop(), sweeper.Loop())
	return nil
}

func (d *frontDaemon) buildConfig() error {
	d.watchKind(adapter.KindConfig, platform.WatcherOptions{MaxAge: fixedAge(maxConfigAge)}, d.handleConfig)
	pool, err := d.pool("isolation", isolationPoolSize)
	if err != nil {
		return err
	}
	isolation := daemon.NewIsolation(d.clock, d.random(), d.peers, pool.TryGo, d.setIsolated)
	d.loops = append(d.loops, isolation.Loop())
	d.probeStore(func(up bool) {
		isolation.SetStoreUp(up)
		if up {
			d.jobManager.RecheckOwnership()
		}
	})
	return nil
}

// setIsolated records whether this daemon is cut off from the store and from most
// peers. It runs on the goroutine of the isolation duty.
func (d *frontDaemon) setIsolated(isolated bool) {
	d.log.WithField("isolated", isolated).Warn("isolation changed")
	d.isIsolated.Store(isolated)
}

// handleConfig applies a new configuration. It runs on the goroutine of the watch.
func (d *frontDaemon) handleConfig(s platform.Snapshot) {
	for _, o := range s.Objects {
		if o.Deleted || o.Key != adapter.ConfigKey() {
			continue
		}
		set, faults, err := adapter.DecodeConfig(o.Value)
		if err != nil {
			d.reportOddEntry(&d.oddConfigs, o.Key, "configuration cannot be decoded; the previous one stays in force", err)
			continue
		}
		d.oddConfigs.remove(o.Key)
		d.reportOddCustomers(o.Key, faults)
		d.log.WithFields(logrus.Fields{"config": set.Version, "applied": d.routes.Apply(set)}).Info("configuration received")
	}
}

func (d *frontDaemon) buildListeners() error {
	jobRouter := batch.NewRouter(d.jobManager, d.peers, d.log)
	stopping, endRequests := context.WithCancel(context.Background())
	d.endRequests = endRequests
	front := &adapter.RequestHandler{
		Routes:         d.routes,
		Calls:          d.dispatch,
		Jobs:           jobRouter,
		Streams:        d.origins,
		Log:            d.log,
		IsReady:        d.isReady,
		IsClosing:      d.isClosing.Load,
		Stopping:       stopping,
		OnRequestEnd:   d.countRequest,
		OnUnauthorized: d.unauthorized.report,
		Bodies:         transport.NewBodyMemory(bodyMemory(d.hostSettings.Memory)),
		WriteMetrics:   d.writeMetrics,
	}
	var err error
	if d.callers, err = transport.Listen(d.hostSettings.Callers, transport.ServerOptions{MaxBodyBytes: maxBody, MaxHeaderBytes: maxHeader, IdleTimeout: callerIdleTimeout, StreamBodies: true}); err != nil {
		return err
	}
	d.callers.Router().NoRoute(front.Handle)
	if d.readiness, err = transport.Listen(d.hostSettings.Readiness, transport.ServerOptions{}); err != nil {
		return err
	}
	d.readiness.Router().NoRoute(front.HandleReady)
	pool, err := d.pool("peers", peerPoolSize)
	if err != nil {
		return err
	}
	handlers := daemonrpc.PeerHandlers{
		HandleContact:             d.peers.RecordContact,
		HandleJobRequest:          jobRouter.HandleRelayed,
		HandleEngineNotifications: d.directory.UpdateModelStatus,
		HandleOwnerNotifications:  d.updateOwners,
		HandleWatchRequest:        d.relay.Watch,
		HandlePermitRequest:       d.rateLimiter.HandlePeer,
		HandleRateLimits:          d.dispatch.UpdateRateLimits,
		HandleOrigins:             d.origins.Receive,
		HandleOriginQuestion:      d.origins.FindHeld,
		HandleOriginPull:          d.origins.FindReplicas,
		HandleSuspects:            d.mergeSuspects,
		HandleSuspectQuestion:     d.dispatch.Suspects,
	}
	d.usageHandlers(&handlers)
	jobs, err := daemonrpc.ListenPeers(d.hostSettings.PeerAddress, pool, d.log, handlers)
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

// bodyMemory returns the memory for the bodies of requests, in bytes. It has room for one of
// the largest size, and garbage of as many bytes may be left of the bodies before.
func bodyMemory(processMemory int64) int {
	return max(maxBody, int(bodyMemoryShare*float64(processMemory)))
}

// updateOwners passes the jobs that a peer has started to own to the jobs duty and
// the notifier. It runs on a pool goroutine.
func (d *frontDaemon) updateOwners(list []batch.Ownership) {
	d.jobManager.UpdateOwners(list)
	d.notifier.addPeerOwnerships(list)
}

// isReady reports whether the daemon accepts new connections and jobs. An isolated
// daemon does not, so that the load balancer sends its callers to another data centre;
// the requests that still reach it are served as far as that is possible.
func (d *frontDaemon) isReady() bool {
	return !d.isStopping.Load() && !d.isIsolated.Load() && d.routes.Current() != nil
}

// Stop ends the daemon before the deadline of ctx. New requests are passed on for
// maxAcceptDuration and then refused as not run, however busy the daemon is: one that is
// passed on late would be cut off at the end. Jobs run until stopReserve is left, then
// other daemons take them over. Requests that still run when answerReserve is left end
// with an answer.
func (d *frontDaemon) Stop(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	working, cancelWorking := context.WithDeadline(ctx, deadline.Add(-stopReserve))
	defer cancelWorking()
	accepting, cancelAccepting := context.WithTimeout(working, maxAcceptDuration)
	defer cancelAccepting()
	d.isStopping.Store(true)
	d.callers.Drain()
	d.stopUsageReports()
	d.orders.releaseLeases(accepting)
	d.releaseUsageLease()
	_ = duty.Sleep(accepting, minStopDuration-leaseReleaseDelay)
	d.callers.WaitIdle(accepting)
	d.isClosing.Store(true)
	d.jobManager.WaitIdle(working)
	d.callers.WaitIdle(working)
	d.jobManager.ReleaseJobs()
	_ = duty.Sleep(ctx, jobReleaseDelay)
	answering, cancelAnswering := context.WithDeadline(ctx, deadline.Add(-answerReserve))
	defer cancelAnswering()
	d.callers.WaitIdle(answering)
	d.endRequests()
	d.callers.WaitIdle(ctx)
	d.sendLastCounts(ctx)
	d.runner.Stop(ctx)
	d.peers.Close()
	d.releasePools()
}

// jobRoutes looks up the rules of jobs in the current configuration.
type jobRoutes struct {
	table *caller.RouteTable
}

// JobRules implements batch.Routes.
func (r jobRoutes) JobRules(host, target string, customer core.CustomerID) (batch.JobRules, bool) {
	set := r.table.Current()
	if set == nil {
		return batch.JobRules{}, false
	}
	route := set.Match(host, target)
	if route == nil || len(route.Targets) == 0 {
		return batch.JobRules{}, false
	}
	return batch.JobRules{
		Service: route.Targets[0].Service, Rank: set.RankOf(route, customer), MaxAttempts: route.MaxAttempts,
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
