package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	// isolationCheckPeriod is the time between two checks while the store is down.
	isolationCheckPeriod = time.Second
	// isolationCheckTimeout bounds the check of one peer.
	isolationCheckTimeout = 400 * time.Millisecond
	// maxCheckedPeers bounds the peers of one check.
	maxCheckedPeers = 8
	// isolationRingCapacity has room for the results of several checks.
	isolationRingCapacity = 8 * maxCheckedPeers
)

// PeerPinger checks whether a peer answers. Ping blocks.
type PeerPinger interface {
	Ping(ctx context.Context, address string) error
	// RecentPeers returns the addresses of the peers that have answered lately. Peers
	// that are gone for good would be taken for the other side of a partition.
	RecentPeers() []string
}

// peerCheck is the result of the check of one peer.
type peerCheck struct {
	number  uint64 // of the check
	reached bool
}

// Isolation is the duty that detects a daemon that is cut off together with a small
// part of the system, such as its data centre. A daemon is isolated if neither the
// store nor half of its peers answer. In a partition the callers of the smaller part
// are served elsewhere once its daemons report that they are not ready. An outage of
// the store alone isolates nobody, since the peers answer.
type Isolation struct {
	loop     *duty.Loop
	random   *rand.Rand
	pinger   PeerPinger
	tryGo    func(func()) bool
	onChange func(isolated bool)

	storeChanges *ring.Ring[bool]
	checks       *ring.Ring[peerCheck]

	isStoreUp  bool
	isIsolated bool
	peers      []string // that had answered shortly before the store was lost
	number     uint64   // of the newest check
	sampled    int      // peers of the newest check
	answered   int      // results of the newest check
	reached    int      // peers that answered the newest check
}

// NewIsolation returns the duty. onChange is called on the duty's goroutine and must
// not block.
func NewIsolation(clock duty.Clock, random *rand.Rand, pinger PeerPinger, tryGo func(func()) bool, onChange func(isolated bool)) *Isolation {
	i := &Isolation{
		loop: duty.New("isolation", clock), random: random, pinger: pinger, tryGo: tryGo, onChange: onChange,
		storeChanges: ring.New[bool]("isolation.store", 1),
		checks:       ring.New[peerCheck]("isolation.checks", isolationRingCapacity),
		isStoreUp:    true,
	}
	duty.On(i.loop, i.storeChanges, i.handleStoreChange)
	duty.On(i.loop, i.checks, i.handleCheck)
	i.loop.Every(isolationCheckPeriod, i.check)
	return i
}

// Loop returns the duty's loop.
func (i *Isolation) Loop() *duty.Loop { return i.loop }

// SetStoreUp passes whether the store answers. Any goroutine may call it.
func (i *Isolation) SetStoreUp(up bool) { i.storeChanges.PutLatest(up) }

func (i *Isolation) handleStoreChange(up bool) {
	i.isStoreUp = up
	if up {
		i.setIsolated(false)
		return
	}
	i.peers = append([]string{}, i.pinger.RecentPeers()...)
	i.check()
}

// check pings a random sample of these peers while the store is down.
func (i *Isolation) check() {
	if i.isStoreUp {
		return
	}
	i.random.Shuffle(len(i.peers), func(a, b int) { i.peers[a], i.peers[b] = i.peers[b], i.peers[a] })
	peers := i.peers[:min(len(i.peers), maxCheckedPeers)]
	i.number++
	i.sampled, i.answered, i.reached = len(peers), 0, 0
	number := i.number
	for _, address := range peers {
		started := i.tryGo(func() {
			ctx, cancel := context.WithTimeout(context.Background(), isolationCheckTimeout)
			defer cancel()
			i.checks.TryPut(peerCheck{number: number, reached: i.pinger.Ping(ctx, address) == nil})
		})
		if !started {
			i.sampled--
		}
	}
}

func (i *Isolation) handleCheck(c peerCheck) {
	if c.number != i.number || i.isStoreUp {
		return
	}
	i.answered++
	if c.reached {
		i.reached++
	}
	if i.answered == i.sampled {
		i.setIsolated(2*i.reached < i.sampled)
	}
}

func (i *Isolation) setIsolated(isolated bool) {
	if isolated == i.isIsolated {
		return
	}
	i.isIsolated = isolated
	i.onChange(isolated)
}
