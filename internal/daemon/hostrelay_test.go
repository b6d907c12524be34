package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

// hostState returns the state of the host in the daemon's list, empty if it is
// not listed.
func (n *simDaemon) hostState(name string) platform.HostState {
	for _, h := range n.hosts {
		if h.Name == name {
			return h.State
		}
	}
	return ""
}

func (w *simulation) wantHost(t *testing.T, dataCentre, name string, want platform.HostState) {
	t.Helper()
	for _, n := range w.liveNodes() {
		if got := n.hostState(name); n.id.DataCentre == dataCentre && got != want {
			t.Errorf("%s/%s has %s as %q, want %q", n.id.DataCentre, n.id.Name, name, got, want)
		}
	}
}

func (w *simulation) pollers(dataCentre string) (polling, others []*simDaemon) {
	for _, n := range w.liveNodes() {
		switch {
		case n.id.DataCentre != dataCentre:
		case n.isPolling:
			polling = append(polling, n)
		default:
			others = append(others, n)
		}
	}
	return polling, others
}

func newHostsSimulation(seed uint64, dataCentres, perDC int) *simulation {
	w := newSimulation(seed)
	w.startCluster(dataCentres, perDC)
	for i := range 4 {
		w.setHost(fmt.Sprintf("s%d", i), fmt.Sprintf("dc%d", i%dataCentres), platform.HostLive)
	}
	w.run(5*time.Second, nil)
	return w
}

// Guards against a number of platform calls that grows with the number of
// daemons, against a list that misses a daemon or a backend server of another
// data centre, and against one that contains live daemons of other data
// centres.
func TestHostListReachesEveryDaemon(t *testing.T) {
	w := newHostsSimulation(1, 2, 4)
	for _, dataCentre := range []string{"dc0", "dc1"} {
		if polling, _ := w.pollers(dataCentre); len(polling) != WatchersPerDataCentre {
			t.Errorf("%d daemons of %s poll, want %d", len(polling), dataCentre, WatchersPerDataCentre)
		}
	}
	w.wantHost(t, "dc0", "s0", platform.HostLive)
	w.wantHost(t, "dc1", "s0", platform.HostLive)
	w.setHost("other", "dc0", platform.HostLive)
	w.hosts[len(w.hosts)-1].Role = platform.RoleDaemon
	w.run(time.Second, nil)
	w.wantHost(t, "dc0", "other", platform.HostLive)
	w.wantHost(t, "dc1", "other", "")
	w.setHost("s0", "dc0", platform.HostLeaving)
	w.run(time.Second, nil)
	w.wantHost(t, "dc0", "s0", platform.HostLeaving)
	w.wantHost(t, "dc1", "s0", platform.HostLeaving)
}

// Guards against a leaving host that a daemon receives later than 1 s after
// its poller, when the other poller cannot reach the platform and the change
// message is lost.
func TestLostHostChangeIsRepairedWithinOneSecond(t *testing.T) {
	w := newHostsSimulation(2, 1, 4)
	polling, _ := w.pollers("dc0")
	w.isHostListDown[polling[0].id.Address] = true
	w.isLost = func(e Envelope) bool { _, isChange := e.Message.(HostChanges); return isChange }
	w.setHost("s0", "dc0", platform.HostLeaving)
	for polling[1].hostState("s0") != platform.HostLeaving {
		w.run(10*time.Millisecond, nil)
	}
	w.isLost = nil
	w.run(990*time.Millisecond, nil)
	w.wantHost(t, "dc0", "s0", platform.HostLeaving)
}

// Guards against a poller without access to the platform whose outdated list
// replaces a newer one, through its digests, its responses, a membership
// change or a new daemon.
func TestStalePollerNeverOverridesNewerList(t *testing.T) {
	w := newHostsSimulation(3, 1, 4)
	polling, others := w.pollers("dc0")
	w.isHostListDown[polling[0].id.Address] = true
	w.setHost("s0", "dc0", platform.HostLeaving)
	w.setHost("new", "dc0", platform.HostLive)
	w.run(time.Second, nil)
	check := func() {
		for _, n := range w.liveNodes() {
			if n.id.Name != "late" && (n.hostState("s0") != platform.HostLeaving || n.hostState("new") != platform.HostLive) {
				t.Fatalf("%s has s0 as %q and new as %q", n.id.Name, n.hostState("s0"), n.hostState("new"))
			}
		}
	}
	w.run(5*time.Second, check)
	w.startDaemon("late", "dc0", "10.0.0.9:1", polling[0].id.Address)
	w.run(5*time.Second, check)
	w.wantHost(t, "dc0", "s0", platform.HostLeaving)
	w.kill(others[0])
	w.run(10*time.Second, check)
	// The poller with the newer list dies; no daemon can reach the platform.
	for _, n := range w.nodes {
		w.isHostListDown[n.id.Address] = true
	}
	w.kill(polling[1])
	w.run(10*time.Second, check)
	w.run(formerListValidity, nil)
	w.wantHost(t, "dc0", "s0", platform.HostLeaving)
	clear(w.isHostListDown)
	w.isHostListDown[polling[0].id.Address] = true
	w.run(time.Second, nil)
	w.wantHost(t, "dc0", "new", platform.HostLive)
	// The host becomes live again; the poller without the platform misses it.
	w.setHost("s0", "dc0", platform.HostLive)
	w.run(3*time.Second, nil)
	w.wantHost(t, "dc0", "s0", platform.HostLive)
	delete(w.isHostListDown, polling[0].id.Address)
	w.run(time.Second, nil)
	w.wantHost(t, "dc0", "s0", platform.HostLive)
}

// Guards against a host list that is lost with its pollers, and against new
// pollers that do not start polling.
func TestNewPollersTakeOver(t *testing.T) {
	w := newHostsSimulation(4, 1, 5)
	polling, others := w.pollers("dc0")
	for _, n := range polling {
		w.kill(n)
	}
	w.run(10*time.Second, func() {
		for _, n := range others {
			if n.hostState("s0") != platform.HostLive {
				t.Fatalf("%s has s0 as %q", n.id.Name, n.hostState("s0"))
			}
		}
	})
	w.setHost("s0", "dc0", platform.HostLeaving)
	w.run(time.Second, nil)
	w.wantHost(t, "dc0", "s0", platform.HostLeaving)
}

// Guards against the removal of a host that one poller still lists and that
// may still respond, and against one that is never removed.
func TestHostStaysListedWhileAnyPollerListsIt(t *testing.T) {
	w := newHostsSimulation(5, 1, 4)
	polling, _ := w.pollers("dc0")
	w.isHostListDown[polling[0].id.Address] = true
	w.removeHost("s0")
	w.run(3*time.Second, nil)
	w.wantHost(t, "dc0", "s0", platform.HostLive)
	delete(w.isHostListDown, polling[0].id.Address)
	w.run(formerListValidity, nil)
	w.wantHost(t, "dc0", "s0", "")
}

// Guards against daemons whose host lists differ after partitions and lost
// messages.
func TestHostListsAgreeAfterFaults(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds/4; seed++ {
		w := newHostsSimulation(seed, 2, 3)
		w.jitter = 200 * time.Millisecond
		for range 8 {
			w.randomFault(w.random)
			states := []platform.HostState{platform.HostLive, platform.HostLeaving}
			w.setHost(fmt.Sprintf("s%d", w.random.IntN(4)), "dc0", states[w.random.IntN(2)])
			w.run(time.Duration(w.random.IntN(3000))*time.Millisecond, nil)
		}
		w.heal()
		w.run(20*time.Second, nil)
		for _, h := range w.hosts {
			w.wantHost(t, h.DataCentre, h.Name, h.State)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds/4)
}
