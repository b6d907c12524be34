package hosted

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	configSeeds = 200
	configStep  = 20 * time.Millisecond
	// The bound applies once the daemon has reached a healthy store for configHealthyTime.
	// configBound is the time within which a version must be in force.
	configHealthyTime = 3 * time.Second
	configBound       = 2 * time.Second
	// configDeadConnTime is the time until keep-alive probes detect a dead connection.
	configDeadConnTime = 3 * time.Second
)

// configStore holds the configuration and the state of the store's faults.
type configStore struct {
	version      int64
	revision     int64 // of the last change of the configuration
	newest       int64 // of the store
	compacted    int64
	down         bool // calls fail
	losesWatches bool // connections of new watches may receive nothing
}

func (s *configStore) object() platform.Object {
	value := fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, s.version)
	return platform.Object{Key: adapter.ConfigKey(), Version: s.revision, Revision: s.revision, Value: []byte(value)}
}

func (s *configStore) change() {
	s.version += 1 + s.newest%3
	s.newest++
	s.revision = s.newest
}

// configSimulation simulates the path from the store to the routes of one daemon.
type configSimulation struct {
	random  *rand.Rand
	clock   *duty.ManualClock
	store   *configStore
	front   *frontDaemon
	pending []*pendingCall
	calls   *delayedPool
}

// pendingCall is a watch or list call in flight.
type pendingCall struct {
	run     func()
	silent  bool // its connection receives nothing until expires, and then fails
	expires time.Time
}

// delayedPool is the pool of the watches. It delays calls until the simulation runs
// them.
type delayedPool struct{ simulation *configSimulation }

func (h *delayedPool) TryGo(f func()) bool {
	w := h.simulation
	w.pending = append(w.pending, &pendingCall{run: f, silent: w.store.losesWatches && w.random.IntN(2) == 0, expires: w.clock.Now().Add(configDeadConnTime)})
	return true
}

// Get, Find, Put and Delete complete the object API; this test does not call them.
func (w *configSimulation) Get(context.Context, string) (platform.Object, error) {
	return platform.Object{}, platform.ErrRejected
}

func (w *configSimulation) Find(context.Context, string) (platform.Object, error) {
	return platform.Object{}, platform.ErrRejected
}

func (w *configSimulation) Put(context.Context, platform.Write) (platform.Object, error) {
	return platform.Object{}, platform.ErrRejected
}

func (w *configSimulation) Delete(context.Context, platform.Write) (platform.Object, error) {
	return platform.Object{}, platform.ErrRejected
}

func (w *configSimulation) Ping(context.Context) error {
	if w.store.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (w *configSimulation) List(context.Context, string) (platform.Listing, error) {
	if w.store.down {
		return platform.Listing{}, platform.ErrUnavailable
	}
	return platform.Listing{Objects: []platform.Object{w.store.object()}, Revision: w.store.newest}, nil
}

func (w *configSimulation) Watch(_ context.Context, _ string, after int64) (platform.Listing, error) {
	switch {
	case w.store.down:
		return platform.Listing{}, platform.ErrUnavailable
	case after < w.store.compacted:
		return platform.Listing{}, platform.ErrCompacted
	case w.store.revision > after:
		return platform.Listing{Objects: []platform.Object{w.store.object()}, Revision: w.store.newest}, nil
	}
	return platform.Listing{Revision: after}, nil
}

func newConfigWorld(seed uint64) *configSimulation {
	w := &configSimulation{random: rand.New(rand.NewPCG(seed, 9)), clock: duty.NewManualClock(orderStart), store: &configStore{version: 1, revision: 1, newest: 1}}
	w.calls = &delayedPool{simulation: w}
	w.restart()
	return w
}

// restart restarts the daemon, without a configuration.
func (w *configSimulation) restart() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.pending = nil
	w.front = &frontDaemon{routes: &caller.RouteTable{}, base: &base{log: logrus.NewEntry(log), clock: w.clock}}
	watcher := platform.NewWatcher(w.clock, w, w.calls, adapter.KindConfig+"/", w.front.handleConfig, platform.WatcherOptions{
		WatchTimeout: watchTimeout, MaxRetryDelay: maxWatchRetryDelay, RelistAfterFailure: true, Random: w.random,
		OnCallEnd: w.front.reportWatchEnd,
	})
	w.front.probe = platform.NewProbe(w.clock, w, w.calls, func(c platform.AvailabilityChange) {
		if c.Up {
			watcher.Relist()
		}
	})
	w.front.watchers = []*platform.Watcher{watcher}
	w.front.loops = []*duty.Loop{watcher.Loop(), w.front.probe.Loop()}
}

// step advances the clock by configStep. Calls are answered soon after the store can
// answer them; watches without changes stay pending.
func (w *configSimulation) step() {
	w.clock.Advance(configStep)
	for _, l := range w.front.loops {
		l.RunPending()
	}
	calls := w.pending
	w.pending = nil
	for _, c := range calls {
		isQuiet := !w.store.down && w.inForce() == w.store.version && w.random.IntN(50) > 0
		switch {
		case c.silent && w.clock.Now().Before(c.expires), isQuiet, w.random.IntN(3) == 0:
			w.pending = append(w.pending, c)
		default:
			down := w.store.down
			w.store.down = down || c.silent
			c.run()
			w.store.down = down
		}
	}
	for _, l := range w.front.loops {
		l.RunPending()
	}
}

func (w *configSimulation) inForce() int64 {
	if set := w.front.routes.Current(); set != nil {
		return set.Version
	}
	return 0
}

// Guards against a return to an older configuration within one process, and against
// a configuration that takes effect too late at a daemon that reaches the store:
// after outages, dead watch connections, compaction of the history, and restarts.
func TestConfigurationTakesEffectInTime(t *testing.T) {
	for seed := range uint64(configSeeds) {
		w := newConfigWorld(seed)
		healthySince, changedAt := w.clock.Now(), w.clock.Now()
		before := int64(0)
		for range int(40 * time.Second / configStep) {
			if w.random.IntN(100) == 0 {
				w.store.change()
				changedAt = w.clock.Now()
			}
			switch w.random.IntN(250) {
			case 0:
				w.store.down = !w.store.down
				healthySince = w.clock.Now()
			case 1:
				w.store.losesWatches = !w.store.losesWatches
				healthySince = w.clock.Now()
			case 2:
				w.store.compacted = w.store.newest
				healthySince = w.clock.Now()
			case 3:
				w.restart()
				before, healthySince = 0, w.clock.Now()
			}
			w.step()
			now := w.clock.Now()
			if w.inForce() < before {
				t.Fatalf("seed %d: version %d in force after %d", seed, w.inForce(), before)
			}
			before = w.inForce()
			isHealthy := !w.store.down && !w.store.losesWatches && now.Sub(healthySince) > configHealthyTime+configBound
			if isHealthy && now.Sub(changedAt) > configBound && before != w.store.version {
				t.Fatalf("seed %d: version %d is in force, %d was accepted %v ago", seed, before, w.store.version, now.Sub(changedAt))
			}
		}
	}
}
