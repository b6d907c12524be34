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

func (sim *simulation) wantHost(t *testing.T, dataCentre, name string, want platform.HostState) {
	t.Helper()
	for _, n := range sim.liveDaemons() {
		if got := n.hostState(name); n.id.DataCentre == dataCentre && got != want {
			t.Errorf("%s/%s has %s as %q, want %q", n.id.DataCentre, n.id.Name, name, got, want)
		}
	}
}

func (sim *simulation) pollers(dataCentre string) (polling, others []*simDaemon) {
	for _, n := range sim.liveDaemons() {
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

func newHostsSimulation(seed uint64, dataCentres, daemonsPerDataCentre int) *simulation {
	sim := newSimulation(seed)
	sim.startCluster(dataCentres, daemonsPerDataCentre)
	for i := range 4 {
		sim.setHost(fmt.Sprintf("s%d", i), fmt.Sprintf("dc%d", i%dataCentres), platform.HostLive)
	}
	sim.run(5*time.Second, nil)
	return sim
}

// Guards against a number of platform calls that grows with the number of
// daemons, against a list that misses a daemon or a backend server of another
// data centre, and against one that contains live daemons of other data
// centres.
func TestHostListReachesEveryDaemon(t *testing.T) {
	sim := newHostsSimulation(1, 2, 4)
	for _, dataCentre := range []string{"dc0", "dc1"} {
		if polling, _ := sim.pollers(dataCentre); len(polling) != WatchersPerDataCentre {
			t.Errorf("%d daemons of %s poll, want %d", len(polling), dataCentre, WatchersPerDataCentre)
		}
	}
	sim.wantHost(t, "dc0", "s0", platform.HostLive)
	sim.wantHost(t, "dc1", "s0", platform.HostLive)
	sim.setHost("other", "dc0", platform.HostLive)
	sim.hosts[len(sim.hosts)-1].Role = platform.RoleDaemon
	sim.run(time.Second, nil)
	sim.wantHost(t, "dc0", "other", platform.HostLive)
	sim.wantHost(t, "dc1", "other", "")
	sim.setHost("s0", "dc0", platform.HostLeaving)
	sim.run(time.Second, nil)
	sim.wantHost(t, "dc0", "s0", platform.HostLeaving)
	sim.wantHost(t, "dc1", "s0", platform.HostLeaving)
}

// Guards against a leaving host that a daemon receives later than 1 s after
// its poller, when the other poller cannot reach the platform and the change
// message is lost.
func TestLostHostChangeIsRepairedWithinOneSecond(t *testing.T) {
	sim := newHostsSimulation(2, 1, 4)
	polling, _ := sim.pollers("dc0")
	sim.isHostListDown[polling[0].id.Address] = true
	sim.isLost = func(e Envelope) bool { _, isChange := e.Message.(HostChanges); return isChange }
	sim.setHost("s0", "dc0", platform.HostLeaving)
	for polling[1].hostState("s0") != platform.HostLeaving {
		sim.run(10*time.Millisecond, nil)
	}
	sim.isLost = nil
	sim.run(990*time.Millisecond, nil)
	sim.wantHost(t, "dc0", "s0", platform.HostLeaving)
}

// Guards against a poller without access to the platform whose outdated list
// replaces a newer one, through its digests, its responses, a membership
// change or a new daemon.
func TestStalePollerNeverOverridesNewerList(t *testing.T) {
	sim := newHostsSimulation(3, 1, 4)
	polling, others := sim.pollers("dc0")
	sim.isHostListDown[polling[0].id.Address] = true
	sim.setHost("s0", "dc0", platform.HostLeaving)
	sim.setHost("new", "dc0", platform.HostLive)
	sim.run(time.Second, nil)
	check := func() {
		for _, n := range sim.liveDaemons() {
			if n.id.Name != "late" && (n.hostState("s0") != platform.HostLeaving || n.hostState("new") != platform.HostLive) {
				t.Fatalf("%s has s0 as %q and new as %q", n.id.Name, n.hostState("s0"), n.hostState("new"))
			}
		}
	}
	sim.run(5*time.Second, check)
	sim.startDaemon("late", "dc0", "10.0.0.9:1", polling[0].id.Address)
	sim.run(5*time.Second, check)
	sim.wantHost(t, "dc0", "s0", platform.HostLeaving)
	sim.kill(others[0])
	sim.run(10*time.Second, check)
	// The poller with the newer list dies; no daemon can reach the platform.
	for _, n := range sim.daemons {
		sim.isHostListDown[n.id.Address] = true
	}
	sim.kill(polling[1])
	sim.run(10*time.Second, check)
	sim.run(formerListValidity, nil)
	sim.wantHost(t, "dc0", "s0", platform.HostLeaving)
	clear(sim.isHostListDown)
	sim.isHostListDown[polling[0].id.Address] = true
	sim.run(time.Second, nil)
	sim.wantHost(t, "dc0", "new", platform.HostLive)
	// The host becomes live again; the poller without the platform misses it.
	sim.setHost("s0", "dc0", platform.HostLive)
	sim.run(3*time.Second, nil)
	sim.wantHost(t, "dc0", "s0", platform.HostLive)
	delete(sim.isHostListDown, polling[0].id.Address)
	sim.run(time.Second, nil)
	sim.wantHost(t, "dc0", "s0", platform.HostLive)
}

// Guards against a host list that is lost with its pollers, and against new
// pollers that do not start polling.
func TestNewPollersTakeOver(t *testing.T) {
	sim := newHostsSimulation(4, 1, 5)
	polling, others := sim.pollers("dc0")
	for _, n := range polling {
		sim.kill(n)
	}
	sim.run(10*time.Second, func() {
		for _, n := range others {
			if n.hostState("s0") != platform.HostLive {
				t.Fatalf("%s has s0 as %q", n.id.Name, n.hostState("s0"))
			}
		}
	})
	sim.setHost("s0", "dc0", platform.HostLeaving)
	sim.run(time.Second, nil)
	sim.wantHost(t, "dc0", "s0", platform.HostLeaving)
}

// Guards against the removal of a host that one poller still lists and that
// may still respond, and against one that is never removed.
func TestHostStaysListedWhileAnyPollerListsIt(t *testing.T) {
	sim := newHostsSimulation(5, 1, 4)
	polling, _ := sim.pollers("dc0")
	sim.isHostListDown[polling[0].id.Address] = true
	sim.removeHost("s0")
	sim.run(3*time.Second, nil)
	sim.wantHost(t, "dc0", "s0", platform.HostLive)
	delete(sim.isHostListDown, polling[0].id.Address)
	sim.run(formerListValidity, nil)
	sim.wantHost(t, "dc0", "s0", "")
}

// Guards against daemons whose host lists differ after partitions and lost
// messages.
func TestHostListsAgreeAfterFaults(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds/4; seed++ {
		sim := newHostsSimulation(seed, 2, 3)
		sim.jitter = 200 * time.Millisecond
		for range 8 {
			sim.randomFault(sim.random)
			states := []platform.HostState{platform.HostLive, platform.HostLeaving}
			sim.setHost(fmt.Sprintf("s%d", sim.random.IntN(4)), "dc0", states[sim.random.IntN(2)])
			sim.run(time.Duration(sim.random.IntN(3000))*time.Millisecond, nil)
		}
		sim.heal()
		sim.run(20*time.Second, nil)
		for _, h := range sim.hosts {
			sim.wantHost(t, h.DataCentre, h.Name, h.State)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("seeds 1 to %d", randomSeeds/4)
}
