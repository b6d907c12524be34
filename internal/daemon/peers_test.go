package daemon

import (
	"testing"
	"time"
)

// Guards against an incomplete mesh when each daemon knows only one address.
func TestMeshFormsFromOneSeedAddress(t *testing.T) {
	w := newSimulation(1)
	w.startCluster(3, 3)
	w.run(5*time.Second, nil)
	for _, a := range w.nodes {
		for _, b := range w.nodes {
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
	if len(w.links) != 21 {
		t.Errorf("%d links are open, want 21", len(w.links))
	}
}

// Guards against a failed daemon that stays in the ranking, and against one
// that is marked as dead before DeadAfter.
func TestFailureIsDetectedWithinBounds(t *testing.T) {
	w := newSimulation(2)
	w.startCluster(1, 3)
	w.run(5*time.Second, nil)
	dead := w.nodes[2]
	w.byAddress[dead.id.Address] = nil
	dead.hasEnded = true // without a reset of its connections
	w.run(2500*time.Millisecond, nil)
	wantState(t, w.nodes[0], dead, MemberAlive)
	w.run(1500*time.Millisecond, nil)
	wantState(t, w.nodes[0], dead, MemberSuspect)
	w.run(3*time.Second, nil)
	wantState(t, w.nodes[0], dead, MemberDead)
	wantState(t, w.nodes[1], dead, MemberDead)
}

// Guards against a daemon that is marked as dead because its connection is
// silent while new connections to it work.
func TestSilentLinkIsReplaced(t *testing.T) {
	w := newSimulation(3)
	w.startCluster(1, 3)
	w.run(5*time.Second, nil)
	for _, l := range w.links {
		l.isSilent = true
	}
	w.run(20*time.Second, func() {
		for _, a := range w.nodes {
			for _, b := range w.nodes {
				if a != b && a.state(b) == MemberDead {
					t.Fatalf("%s sees %s as dead", a.id.Name, b.id.Name)
				}
			}
		}
	})
	for _, n := range w.nodes[1:] {
		wantState(t, w.nodes[0], n, MemberAlive)
	}
	if len(w.links) != 3 {
		t.Errorf("%d links are open, want 3", len(w.links))
	}
}

// Guards against two ends of a one-way partition that rank different members.
func TestOneWayPartitionIsDetectedAtBothEnds(t *testing.T) {
	w := newSimulation(4)
	w.startCluster(1, 3)
	w.run(5*time.Second, nil)
	a, b := w.nodes[0], w.nodes[1]
	w.isBlocked[[2]string{a.id.Address, b.id.Address}] = true
	w.run(11*time.Second, nil)
	wantState(t, a, b, MemberDead)
	wantState(t, b, a, MemberDead)
	delete(w.isBlocked, [2]string{a.id.Address, b.id.Address})
	w.run(10*time.Second, nil)
	wantState(t, a, b, MemberAlive)
	wantState(t, b, a, MemberAlive)
}

// Guards against a leaving daemon that stays live until it is silent for
// DeadAfter.
func TestLeaveTakesEffectImmediately(t *testing.T) {
	w := newSimulation(5)
	w.startCluster(1, 3)
	w.run(5*time.Second, nil)
	gone := w.nodes[1]
	gone.peers.Leave()
	gone.markRunnable()
	w.run(100*time.Millisecond, nil)
	w.kill(gone)
	wantState(t, w.nodes[0], gone, MemberLeft)
	w.run(10*time.Second, nil)
	wantState(t, w.nodes[0], gone, MemberLeft)
	wantState(t, w.nodes[2], gone, MemberLeft)
}

// Guards against two live daemons at one address after a restart under a new
// name.
func TestRestartUnderNewNameReplacesMember(t *testing.T) {
	w := newSimulation(6)
	w.startCluster(1, 3)
	w.run(5*time.Second, nil)
	old := w.nodes[1]
	renamed := w.startDaemon("renamed", old.id.DataCentre, old.id.Address, w.nodes[0].id.Address)
	w.run(2*time.Second, nil)
	wantState(t, w.nodes[0], old, MemberDead)
	wantState(t, w.nodes[0], renamed, MemberAlive)
	wantState(t, w.nodes[2], renamed, MemberAlive)
}

// Guards against a delayed message of an earlier run that changes the state of
// the current one.
func TestOldIncarnationIsIgnored(t *testing.T) {
	w := newSimulation(7)
	w.startCluster(1, 2)
	w.run(5*time.Second, nil)
	observer, old := w.nodes[0], w.nodes[1]
	restarted := w.startDaemon(old.id.Name, old.id.DataCentre, old.id.Address, observer.id.Address)
	w.run(2*time.Second, nil)
	wantState(t, observer, restarted, MemberAlive)
	link := observer.peers.latestLink(restarted.id.ID())
	observer.deliver(LinkEvent{Kind: LinkMessageReceived, Link: link.id, Envelope: Envelope{From: old.id, Message: Leave{}}})
	w.run(10*time.Millisecond, nil)
	wantState(t, observer, restarted, MemberAlive)
}

// Guards against a daemon whose messages are ignored permanently because its
// host's clock was set back before the restart.
func TestIncarnationIsRaisedAfterClockSetBack(t *testing.T) {
	w := newSimulation(8)
	w.startCluster(1, 2)
	w.run(5*time.Second, nil)
	observer, old := w.nodes[0], w.nodes[1]
	now := w.now
	w.now = w.now.Add(-time.Hour)
	restarted := w.startDaemon(old.id.Name, old.id.DataCentre, old.id.Address, observer.id.Address)
	w.now = now
	w.run(4*time.Second, nil)
	m := observer.peers.members[old.id.ID()]
	if m.state != MemberAlive || m.Incarnation != restarted.peers.self.Incarnation {
		t.Errorf("the restarted daemon is %v as %v, its own incarnation is %v", m.state, m.Incarnation, restarted.peers.self.Incarnation)
	}
}

// Guards against data centres that stay disconnected after a partition because
// each considers the other's gateways as dead.
func TestDataCentresReconnectAfterPartition(t *testing.T) {
	w := newSimulation(9)
	w.startCluster(2, 5)
	w.run(5*time.Second, nil)
	w.setPartition("dc0", "dc1", true)
	w.run(30*time.Second, nil)
	for _, n := range w.nodes {
		if len(n.peers.view.ReachableDataCentres) != 0 {
			t.Errorf("%s/%s reaches %v through the partition", n.id.DataCentre, n.id.Name, n.peers.view.ReachableDataCentres)
		}
	}
	w.setPartition("dc0", "dc1", false)
	w.run(10*time.Second, nil)
	links := len(w.links)
	w.run(20*time.Second, func() {
		if len(w.links) != links {
			t.Fatalf("the number of links between data centres is not stable: %d, then %d", links, len(w.links))
		}
	})
	if want := 10 + 10 + 4; links != want {
		t.Errorf("%d links are open, want %d", links, want)
	}
}
