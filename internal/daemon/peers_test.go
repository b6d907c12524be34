package daemon

import (
	"testing"
	"time"
)

// Guards against an incomplete mesh when each daemon knows only one address.
func TestMeshFormsFromOneSeedAddress(t *testing.T) {
	sim := newSimulation(1)
	sim.startCluster(3, 3)
	sim.run(5*time.Second, nil)
	for _, a := range sim.daemons {
		for _, b := range sim.daemons {
			if a != b && a.id.DataCentre == b.id.DataCentre {
				wantState(t, a, b, MemberAlive)
			}
		}
		if len(a.peers.view.DataCentres) != 3 {
			t.Errorf("%v knows the data centres %v", a.id, a.peers.view.DataCentres)
		}
		if a.peers.view.IsGateway && len(a.peers.view.ReachableDataCentres) != 2 {
			t.Errorf("gateway %v reaches %v", a.id, a.peers.view.ReachableDataCentres)
		}
	}
	// Each pair keeps one link: 3 data centres with 2 gateways have 3*3 links
	// within and 3*4 between data centres.
	if len(sim.links) != 21 {
		t.Errorf("%d links are open, want 21", len(sim.links))
	}
}

// Guards against a failed daemon that stays in the ranking, and against one
// that is marked as dead before DeadAfter.
func TestFailureIsDetectedWithinBounds(t *testing.T) {
	sim := newSimulation(2)
	sim.startCluster(1, 3)
	sim.run(5*time.Second, nil)
	dead := sim.daemons[2]
	sim.byAddress[dead.id.Address] = nil
	dead.hasEnded = true // without a reset of its connections
	sim.run(2500*time.Millisecond, nil)
	wantState(t, sim.daemons[0], dead, MemberAlive)
	sim.run(1500*time.Millisecond, nil)
	wantState(t, sim.daemons[0], dead, MemberSuspect)
	sim.run(3*time.Second, nil)
	wantState(t, sim.daemons[0], dead, MemberDead)
	wantState(t, sim.daemons[1], dead, MemberDead)
}

// Guards against a daemon that is marked as dead because its connection is
// silent while new connections to it work.
func TestSilentLinkIsReplaced(t *testing.T) {
	sim := newSimulation(3)
	sim.startCluster(1, 3)
	sim.run(5*time.Second, nil)
	for _, l := range sim.links {
		l.isSilent = true
	}
	sim.run(20*time.Second, func() {
		for _, a := range sim.daemons {
			for _, b := range sim.daemons {
				if a != b && a.state(b) == MemberDead {
					t.Fatalf("%s sees %s as dead", a.id.Name, b.id.Name)
				}
			}
		}
	})
	for _, n := range sim.daemons[1:] {
		wantState(t, sim.daemons[0], n, MemberAlive)
	}
	if len(sim.links) != 3 {
		t.Errorf("%d links are open, want 3", len(sim.links))
	}
}

// Guards against two ends of a one-way partition that rank different members.
func TestOneWayPartitionIsDetectedAtBothEnds(t *testing.T) {
	sim := newSimulation(4)
	sim.startCluster(1, 3)
	sim.run(5*time.Second, nil)
	a, b := sim.daemons[0], sim.daemons[1]
	sim.isBlocked[[2]string{a.id.Address, b.id.Address}] = true
	sim.run(11*time.Second, nil)
	wantState(t, a, b, MemberDead)
	wantState(t, b, a, MemberDead)
	delete(sim.isBlocked, [2]string{a.id.Address, b.id.Address})
	sim.run(10*time.Second, nil)
	wantState(t, a, b, MemberAlive)
	wantState(t, b, a, MemberAlive)
}

// Guards against a leaving daemon that stays live until it is silent for
// DeadAfter.
func TestLeaveTakesEffectImmediately(t *testing.T) {
	sim := newSimulation(5)
	sim.startCluster(1, 3)
	sim.run(5*time.Second, nil)
	leaving := sim.daemons[1]
	leaving.peers.Leave()
	leaving.markRunnable()
	sim.run(100*time.Millisecond, nil)
	sim.kill(leaving)
	wantState(t, sim.daemons[0], leaving, MemberLeft)
	sim.run(10*time.Second, nil)
	wantState(t, sim.daemons[0], leaving, MemberLeft)
	wantState(t, sim.daemons[2], leaving, MemberLeft)
}

// Guards against two live daemons at one address after a restart under a new
// name.
func TestRestartUnderNewNameReplacesMember(t *testing.T) {
	sim := newSimulation(6)
	sim.startCluster(1, 3)
	sim.run(5*time.Second, nil)
	old := sim.daemons[1]
	renamed := sim.startDaemon("renamed", old.id.DataCentre, old.id.Address, sim.daemons[0].id.Address)
	sim.run(2*time.Second, nil)
	wantState(t, sim.daemons[0], old, MemberDead)
	wantState(t, sim.daemons[0], renamed, MemberAlive)
	wantState(t, sim.daemons[2], renamed, MemberAlive)
}

// Guards against a delayed message of an earlier run that changes the state of
// the current one.
func TestOldIncarnationIsIgnored(t *testing.T) {
	sim := newSimulation(7)
	sim.startCluster(1, 2)
	sim.run(5*time.Second, nil)
	observer, old := sim.daemons[0], sim.daemons[1]
	restarted := sim.startDaemon(old.id.Name, old.id.DataCentre, old.id.Address, observer.id.Address)
	sim.run(2*time.Second, nil)
	wantState(t, observer, restarted, MemberAlive)
	link := observer.peers.latestLink(restarted.id.ID())
	observer.deliver(LinkEvent{Kind: LinkMessageReceived, Link: link.id, Envelope: Envelope{From: old.id, Message: Leave{}}})
	sim.run(10*time.Millisecond, nil)
	wantState(t, observer, restarted, MemberAlive)
}

// Guards against a daemon whose messages are ignored permanently because its
// host's clock was set back before the restart.
func TestIncarnationIsRaisedAfterClockSetBack(t *testing.T) {
	sim := newSimulation(8)
	sim.startCluster(1, 2)
	sim.run(5*time.Second, nil)
	observer, old := sim.daemons[0], sim.daemons[1]
	now := sim.now
	sim.now = sim.now.Add(-time.Hour)
	restarted := sim.startDaemon(old.id.Name, old.id.DataCentre, old.id.Address, observer.id.Address)
	sim.now = now
	sim.run(4*time.Second, nil)
	m := observer.peers.members[old.id.ID()]
	if m.state != MemberAlive || m.Incarnation != restarted.peers.self.Incarnation {
		t.Errorf("the restarted daemon is %v as %v, its own incarnation is %v", m.state, m.Incarnation, restarted.peers.self.Incarnation)
	}
}

// Guards against data centres that stay disconnected after a partition because
// each considers the other's gateways as dead.
func TestDataCentresReconnectAfterPartition(t *testing.T) {
	sim := newSimulation(9)
	sim.startCluster(2, 5)
	sim.run(5*time.Second, nil)
	sim.setPartition("dc0", "dc1", true)
	sim.run(30*time.Second, nil)
	for _, n := range sim.daemons {
		if len(n.peers.view.ReachableDataCentres) != 0 {
			t.Errorf("%s/%s reaches %v through the partition", n.id.DataCentre, n.id.Name, n.peers.view.ReachableDataCentres)
		}
	}
	sim.setPartition("dc0", "dc1", false)
	sim.run(10*time.Second, nil)
	links := len(sim.links)
	sim.run(20*time.Second, func() {
		if len(sim.links) != links {
			t.Fatalf("the number of links between data centres is not stable: %d, then %d", links, len(sim.links))
		}
	})
	if want := 10 + 10 + 4; links != want {
		t.Errorf("%d links are open, want %d", links, want)
	}
}
