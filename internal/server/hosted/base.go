package hosted

import (
	"context"
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
	// dutyCapacity is the maximum number of duties and listeners of one daemon.
	dutyCapacity = 32
	// storePoolSize is the number of concurrent calls of the store, not counting
	// watches.
	storePoolSize = 32
	// watchPoolSize has room for each watch and, in addition, one abandoned call of it.
	watchPoolSize = 16
	// watchTimeout is longer than the store holds a watch; keep-alive probes detect a
	// dead connection much earlier.
	watchTimeout = 32 * time.Second
	// maxWatchRetryDelay bounds the delay after a failed call of a watch. After an
	// outage a new configuration must be in force within 2 s.
	maxWatchRetryDelay = 700 * time.Millisecond
)

// base holds the components that the daemons of all roles share.
type base struct {
	hostSettings *adapter.Settings
	log          *logrus.Entry
	clock        duty.Clock
	bootClock    duty.Clock // includes the time for which the host is suspended
	runner       *duty.Runner
	pools        []*duty.Pool
	loops        []*duty.Loop
	storeClient  *adapter.Store
	watchPool    *duty.Pool
	// watchers are listed again after an outage of the store.
	watchers []*platform.Watcher
}

func newBase(set *adapter.Settings, log *logrus.Entry) (*base, error) {
	runner, err := duty.NewRunner(dutyCapacity)
	if err != nil {
		return nil, err
	}
	b := &base{hostSettings: set, log: log, clock: duty.SystemClock{}, bootClock: duty.NewBootClock(), runner: runner, storeClient: adapter.NewStore(set.Store.Address)}
	b.watchPool, err = b.pool("watches", watchPoolSize)
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

// watchKind adds a duty that watches the objects of a kind in the store.
func (b *base) watchKind(kind string, o platform.WatcherOptions, deliver func(platform.Snapshot)) *platform.Watcher {
	return b.watchKindVia(b.storeClient, kind, o, deliver)
}

// watchKindVia does the same as watchKind through another object API.
func (b *base) watchKindVia(api platform.ObjectAPI, kind string, o platform.WatcherOptions, deliver func(platform.Snapshot)) *platform.Watcher {
	// The boot clock gives the ages of answers.
	o.WatchTimeout, o.MaxRetryDelay, o.RelistAfterFailure = watchTimeout, maxWatchRetryDelay, true
	o.Random = b.random()
	onCallEnd := o.OnCallEnd
	wasUp := true
	o.OnCallEnd = func(err error) {
		isUp := err == nil || errors.Is(err, platform.ErrCompacted)
		if isUp != wasUp || err != nil {
			b.log.WithError(err).WithFields(logrus.Fields{"kind": kind, "up": isUp}).Warn("store watch status changed")
		}
		wasUp = isUp
		if onCallEnd != nil {
			onCallEnd(err)
		}
	}
	w := platform.NewWatcher(b.bootClock, api, b.watchPool, kind+"/", deliver, o)
	b.watchers = append(b.watchers, w)
	b.loops = append(b.loops, w.Loop())
	return w
}

// probeStore adds a duty that probes the store. After an outage it lists all
// watches again. It passes each change to onChange, and the time of each request that the
// store answered to onContact, on a pool goroutine.
func (b *base) probeStore(onChange func(up bool), onContact func(sentAt time.Time)) {
	pinger := contactPinger{Pinger: b.storeClient, now: b.bootClock.Now, onContact: onContact}
	p := platform.NewProbe(b.clock, pinger, b.watchPool, func(up bool) {
		b.log.WithField("up", up).Warn("store availability changed")
		if up {
			for _, w := range b.watchers {
				w.Relist()
			}
		}
		onChange(up)
	})
	b.loops = append(b.loops, p.Loop())
}

// contactPinger reports when the requests that the store answers were sent.
type contactPinger struct {
	platform.Pinger
	now       func() time.Time
	onContact func(sentAt time.Time)
}

// Ping implements platform.Pinger.
func (p contactPinger) Ping(ctx context.Context) error {
	sentAt := p.now()
	err := p.Pinger.Ping(ctx)
	if err == nil {
		p.onContact(sentAt)
	}
	return err
}

// startDuties starts the duties. It runs after all callbacks between them have been
// set.
func (b *base) startDuties() error {
	for _, loop := range b.loops {
		if err := b.runner.Start(loop); err != nil {
			return err
		}
	}
	return nil
}

func (b *base) releasePools() {
	for _, p := range b.pools {
		p.Release()
	}
}

// runName returns a name of this run of the daemon, which no other run has.
func (b *base) runName() string {
	return fmt.Sprintf("%s/%x-%x", b.hostSettings.Host, time.Now().UnixNano(), rand.Uint32())
}
