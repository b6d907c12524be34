package hosted

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	// dutyCapacity is the number of duties and listeners of one daemon.
	dutyCapacity = 32
	// storeWorkers bounds calls of the store at once, beside the watches.
	storeWorkers = 32
	// watchWorkers holds each watch and, beside it, an abandoned one.
	watchWorkers = 16
	// watchBound is beyond the wait of the store itself; probes of the
	// connection find a silent one much earlier.
	watchBound = 32 * time.Second
	// watchRetry bounds the pause between failed calls of a watch. After an
	// outage a new configuration is to be in force within two seconds.
	watchRetry = 700 * time.Millisecond
)

// base is what the daemons of all roles are built on.
type base struct {
	set    *adapter.Settings
	log    *logrus.Entry
	clock  duty.Clock
	runner *duty.Runner
	pools  []*duty.Pool
	loops  []*duty.Loop
	api    *adapter.Store
	watch  *duty.Pool
	// watchers are made anew after an outage of the store.
	watchers []*platform.Watcher
}

func newBase(set *adapter.Settings, log *logrus.Entry) (*base, error) {
	runner, err := duty.NewRunner(dutyCapacity)
	if err != nil {
		return nil, err
	}
	b := &base{set: set, log: log, clock: duty.SystemClock{}, runner: runner, api: adapter.NewStore(set.Store.Address)}
	b.watch, err = b.pool("watches", watchWorkers)
	return b, err
}

func (b *base) pool(name string, size int) (*duty.Pool, error) {
	p, err := duty.NewPool(name, size)
	if err == nil {
		b.pools = append(b.pools, p)
	}
	return p, err
}

func (b *base) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), uint64(time.Now().UnixNano())))
}

// follow adds a duty that watches a kind of objects in the store.
func (b *base) follow(kind string, o platform.WatcherOptions, deliver func(platform.Snapshot)) *platform.Watcher {
	return b.followOn(b.api, kind, o, deliver)
}

// followOn is follow with another way to the store.
func (b *base) followOn(api platform.ObjectAPI, kind string, o platform.WatcherOptions, deliver func(platform.Snapshot)) *platform.Watcher {
	o.WatchTimeout, o.MaxRetryDelay, o.RelistAfterFailure = watchBound, watchRetry, true
	o.Random = b.random()
	told := o.OnCallEnd
	up := true
	o.OnCallEnd = func(err error) {
		now := err == nil || errors.Is(err, platform.ErrCompacted)
		if now != up || err != nil {
			b.log.WithError(err).WithFields(logrus.Fields{"kind": kind, "up": now}).Warn("watch of the store changed")
		}
		up = now
		if told != nil {
			told(err)
		}
	}
	w := platform.NewWatcher(b.clock, api, b.watch, kind+"/", deliver, o)
	b.watchers = append(b.watchers, w)
	b.loops = append(b.loops, w.Loop())
	return w
}

// probeStore adds the duty that has all watches made anew after an outage, and
// calls onUp then.
func (b *base) probeStore(onUp func()) {
	p := platform.NewProbe(b.clock, b.api, b.watch, func(up bool) {
		b.log.WithField("up", up).Warn("store answers changed")
		if !up {
			return
		}
		for _, w := range b.watchers {
			w.Relist()
		}
		onUp()
	})
	b.loops = append(b.loops, p.Loop())
}

// startDuties runs the duties after all callbacks between them have been set.
func (b *base) startDuties() error {
	for _, loop := range b.loops {
		if err := b.runner.Start(loop); err != nil {
			return err
		}
	}
	return nil
}

func (b *base) release() {
	for _, p := range b.pools {
		p.Release()
	}
}

// runName differs for each start of the daemon.
func (b *base) runName() string {
	return fmt.Sprintf("%s/%x-%x", b.set.Host, time.Now().UnixNano(), rand.Uint32())
}
