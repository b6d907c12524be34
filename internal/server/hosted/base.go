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
	// dutyCapacity is the maximum number of duties and listeners of one daemon.
	dutyCapacity = 32
	// storePoolSize is the number of concurrent calls of the store, not counting
	// watches.
	storePoolSize = 32
	// watchPoolSize has room for each watch and, in addition, one abandoned call of it.
	watchPoolSize = 16
	// watchTimeout is longer than the store holds a watch of a list whose age is not
	// bounded; keep-alive probes detect a dead connection much earlier.
	watchTimeout = 32 * time.Second
	// Ages that the state of a list may reach before it is confirmed by its own watch. A
	// dead watch is found within this time after the disturbance that killed it. The
	// configuration must be in force 3 s after a change; the others delay work only.
	maxConfigAge   = 3 * time.Second
	maxVersionsAge = 5 * time.Second
	maxDaemonsAge  = 10 * time.Second
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
	probe    *platform.Probe
	store    *platform.Store // nil in roles that only watch
}

func newBase(set *adapter.Settings, log *logrus.Entry) (*base, error) {
	runner, err := duty.NewRunner(dutyCapacity)
	if err != nil {
		return nil, err
	}
	b := &base{hostSettings: set, log: log, clock: duty.SystemClock{}, bootClock: duty.NewBootClock(), runner: runner}
	b.storeClient = adapter.NewStore(set.Store.Address)
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

// fixedAge returns an age for platform.WatcherOptions.
func fixedAge(age time.Duration) func() time.Duration { return func() time.Duration { return age } }

// watchKind adds a duty that watches the objects of a kind in the store.
func (b *base) watchKind(kind string, o platform.WatcherOptions, deliver func(platform.Snapshot)) *platform.Watcher {
	onCallEnd := o.OnCallEnd
	o.OnCallEnd = func(err error) {
		b.reportWatchEnd(err)
		if onCallEnd != nil {
			onCallEnd(err)
		}
	}
	return b.watchKindVia(b.storeClient, kind, o, deliver)
}

// watchKindVia does the same as watchKind through another object API, whose answers do
// not show that the store answers.
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

// reportWatchEnd passes the end of a call of a watch. An answer counts from the time of
// its arrival, since the store holds watches, and a failure shows no silence.
func (b *base) reportWatchEnd(err error) {
	now := b.clock.Now()
	b.reportStoreCall(platform.CallEnd{Started: now, Ended: now, Err: err})
}

// reportStoreCall passes the end of a watch of the store to the duties that know whether
// the store answers: first to the store duty, which must not refuse the operations that
// others submit because of an answer.
func (b *base) reportStoreCall(e platform.CallEnd) {
	if b.store != nil {
		b.store.ReportCall(e)
	}
	b.probe.ReportCall(e)
}

// probeStore adds the duty that knows whether the store answers. After an outage it
// lists all watches again. It passes each change to onChange.
func (b *base) probeStore(onChange func(up bool)) {
	b.probe = platform.NewProbe(b.clock, b.storeClient, b.watchPool, func(c platform.AvailabilityChange) {
		b.logAvailability(c)
		if c.Up {
			for _, w := range b.watchers {
				w.Relist()
			}
		}
		onChange(c.Up)
	})
	if b.store != nil {
		b.probe.OnPingEnd(b.store.ReportCall)
		b.store.OnCallEnd(b.probe.ReportCall)
	}
	b.loops = append(b.loops, b.probe.Loop())
}

// logAvailability logs that the store has stopped or started answering.
func (b *base) logAvailability(c platform.AvailabilityChange) {
	b.log.WithError(c.Err).WithFields(logrus.Fields{
		"up": c.Up, "reason": c.Reason, "former_state_ms": c.Lasted.Milliseconds(),
	}).Warn("store availability changed")
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
