package server

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/trainer"
	"github.com/berylfall/berylfall/internal/weights"
)

// builder holds the components of a daemon while it is being composed. Each
// build method belongs to one peer and is declared in the file of that peer.
type builder struct {
	server   *Server
	settings *settings.Daemon
	clock    duty.Clock
	// leaseClock includes the time for which the host is suspended. A lease that expired
	// meanwhile must not be used.
	leaseClock duty.Clock

	platformClient *platformhttp.Client
	storePool      *duty.Pool
	budget         *platform.Budget
	store          *platform.Store
	leaseManager   *platform.LeaseManager
	leaseReporter  *leaseStatusReporter
	dispatch       *backend.Dispatcher
	suspects       *daemon.Suspects
	poller         *backend.Poller
	claims         *caller.Claims
	admission      *caller.Admission
	trainers       *trainer.Manager
	versionRollout *weights.Rollout // nil without a weight store
	config         *daemon.Config
	status         *operator.Status
	metrics        *settings.Metrics

	listenerAccess listenerAccess
	loops          []*duty.Loop
	incarnation    daemon.Incarnation
	identity       daemon.Identity
	serverIDs      atomic.Pointer[map[daemon.ServerKey]core.ServerID]
	liveDaemons    atomic.Int64 // of this data centre, this one included
	// onStoreWatchChange lists the functions that are called when this daemon
	// becomes, or stops being, one of the daemons of its data centre that watch
	// the store.
	onStoreWatchChange []func(active bool)
}

func (b *builder) build() error {
	steps := []struct {
		peer  string
		build func() error
	}{
		{"status", b.buildStatus},
		{"sockets", b.openListeners},
		{"platform", b.buildPlatform},
		{"backend", b.buildBackend},
		{"caller", b.buildCaller},
		{"trainer", b.buildTrainer},
		{"weights", b.buildWeights},
		{"daemon", b.buildDaemon},
		{"gate", b.buildGate},
		{"duties", b.startDuties},
		{"listeners", b.serveListeners},
	}
	for _, step := range steps {
		if err := step.build(); err != nil {
			return fmt.Errorf("set up %s: %w", step.peer, err)
		}
	}
	return nil
}

// start registers duties for startDuties, which starts them in the order of the
// calls once every component has been built.
func (b *builder) start(loops ...*duty.Loop) { b.loops = append(b.loops, loops...) }

// startDuties starts the registered duties. It runs after all callbacks between
// duties have been set.
func (b *builder) startDuties() error {
	for _, loop := range b.loops {
		if err := b.server.runner.Start(loop); err != nil {
			return err
		}
	}
	return nil
}

// pool returns a new pool that is released when the daemon stops.
func (b *builder) pool(name string, size int) (*duty.Pool, error) {
	p, err := duty.NewPool(name, size)
	if err == nil {
		b.server.pools = append(b.server.pools, p)
	}
	return p, err
}

// random returns a new random source, which must be used by one duty only.
func (b *builder) random() *rand.Rand {
	return rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
}
