package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// partitionedPeers are the peers of a daemon, of which only those of its own data
// centre answer during a partition.
type partitionedPeers struct {
	addresses     []string
	isPartitioned bool
}

func (p *partitionedPeers) RecentPeers() []string { return p.addresses }

func (p *partitionedPeers) Ping(_ context.Context, address string) error {
	if p.isPartitioned && !strings.HasPrefix(address, "own-") {
		return errors.New("no answer")
	}
	return nil
}

// Guards against a daemon in a data centre that is cut off and still takes callers whom
// others could serve, and against daemons that all refuse callers during an outage of
// the store alone.
func TestIsolationOfSmallerPart(t *testing.T) {
	for _, own := range []int{1, 4, 62} { // of 250 daemons
		clock := duty.NewManualClock(time.Unix(1e9, 0))
		peers := &partitionedPeers{}
		for i := range own {
			peers.addresses = append(peers.addresses, fmt.Sprint("own-", i))
		}
		for i := range 250 - own {
			peers.addresses = append(peers.addresses, fmt.Sprint("other-", i))
		}
		isIsolated := false
		tryGo := func(f func()) bool { f(); return true }
		isolation := NewIsolation(clock, rand.New(rand.NewPCG(5, 5)), peers, tryGo, func(isolated bool) { isIsolated = isolated })
		run := func() {
			clock.Advance(isolationCheckPeriod)
			isolation.loop.RunPending()
			isolation.loop.RunPending()
		}
		run()
		if isIsolated {
			t.Errorf("%d own daemons: isolated while the store answers", own)
		}
		isolation.SetStoreUp(false)
		run()
		if isIsolated {
			t.Errorf("%d own daemons: isolated in an outage of the store", own)
		}
		peers.isPartitioned = true
		run()
		if !isIsolated {
			t.Errorf("%d own daemons: not isolated in a partition", own)
		}
		peers.isPartitioned = false
		isolation.SetStoreUp(true)
		run()
		if isIsolated {
			t.Errorf("%d own daemons: isolated after the partition", own)
		}
	}
}

// Guards against a single daemon without peers that refuses its callers while the store
// is down.
func TestDaemonWithoutPeersIsNotIsolated(t *testing.T) {
	clock := duty.NewManualClock(time.Unix(1e9, 0))
	isolation := NewIsolation(clock, rand.New(rand.NewPCG(5, 5)), &partitionedPeers{}, func(f func()) bool { f(); return true }, func(bool) { t.Error("isolated") })
	isolation.SetStoreUp(false)
	for range 3 {
		clock.Advance(isolationCheckPeriod)
		isolation.loop.RunPending()
	}
}
