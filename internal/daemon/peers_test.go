package daemon

import (
	"testing"
	"time"
)

// Guards against members that never meet: each knows only one address.
func TestMeshFormsFromOneAddress(t *testing.T) {
	w := newWorld(1)
	w.cluster(3, 3)
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
	// Each pair keeps one link; 3 data centres with 2 gateways have 3*3 links
	// inside and 3*4 between them.
	if len(w.wires) != 21 {
		t.Errorf("%d links are open, want 21", len(w.wires))
	}
}

// Guards against a dead daemon that stays in the rankings, and against one that
// is marked dead before the bound.
func TestDeathIsSeenInTime(t *testing.T) {
	w := newWorld(2)
	w.cluster(1, 3)
	w.run(5*time.Second, nil)
	dead := w.nodes[2]
	w.byAddr[dead.id.Address] = nil
	dead.ended = true // without a reset of its connections
	w.run(2500*time.Millisecond, nil)
	wantState(t, w.nodes[0], dead, MemberAlive)
	w.run(1500*time.Millisecond, nil)
	wantState(t, w.nodes[0], dead, MemberSuspect)
	w.run(3*time.Second, nil)
	wantState(t, w.nodes[0], dead, MemberDead)
	wantState(t, w.nodes[1], dead, MemberDead)
}

// Guards against a death report for a daemon whose connection is silent for
// good while new connections to it work.
func TestSilentLinkIsReplaced(t *testing.T) {
	w := newWorld(3)
	w.cluster(1, 3)
	w.run(5*time.Second, nil)
	for _, l := range w.wires {
		l.silent = true
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
	if len(w.wires) != 3 {
		t.Errorf("%d links are open, want 3", len(w.wires))
	}
}

// Guards against two ends of a one-way partition that rank different members.
func TestOneWayPartitionIsSeenAtBothEnds(t *testing.T) {
	w := newWorld(4)
	w.cluster(1, 3)
	w.run(5*time.Second, nil)
	a, b := w.nodes[0], w.nodes[1]
	w.cut[[2]string{a.id.Address, b.id.Address}] = true
	w.run(11*time.Second, nil)
	wantState(t, a, b, MemberDead)
	wantState(t, b, a, MemberDead)
	delete(w.cut, [2]string{a.id.Address, b.id.Address})
	w.run(10*time.Second, nil)
	wantState(t, a, b, MemberAlive)
	wantState(t, b, a, MemberAlive)
}

// Guards against a leaving daemon that counts as live until the silence bound.
func TestLeaveCountsAtOnce(t *testing.T) {
	w := newWorld(5)
	w.cluster(1, 3)
	w.run(5*time.Second, nil)
	gone := w.nodes[1]
	gone.peers.Leave()
	gone.touch()
	w.run(100*time.Millisecond, nil)
	w.end(gone)
	wantState(t, w.nodes[0], gone, MemberLeft)
	w.run(10*time.Second, nil)
	wantState(t, w.nodes[0], gone, MemberLeft)
	wantState(t, w.nodes[2], gone, MemberLeft)
}

// Guards against two live daemons at one address after a restart under a new name.
func TestRestartWithNewIdentityReplaces(t *testing.T) {
	w := newWorld(6)
	w.cluster(1, 3)
	w.run(5*time.Second, nil)
	old := w.nodes[1]
	renamed := w.start("renamed", old.id.DataCentre, old.id.Address, w.nodes[0].id.Address)
	w.run(2*time.Second, nil)
	wantState(t, w.nodes[0], old, MemberDead)
	wantState(t, w.nodes[0], renamed, MemberAlive)
	wantState(t, w.nodes[2], renamed, MemberAlive)
}

// Guards against a delayed message of an earlier run that displaces the present one.
func TestOldIncarnationIsIgnored(t *testing.T) {
	w := newWorld(7)
	w.cluster(1, 2)
	w.run(5*time.Second, nil)
	observer, old := w.nodes[0], w.nodes[1]
	restarted := w.start(old.id.Name, old.id.DataCentre, old.id.Address, observer.id.Address)
	w.run(2*time.Second, nil)
	wantState(t, observer, restarted, MemberAlive)
	link := observer.peers.bestLink(restarted.id.ID())
	observer.deliver(LinkEvent{Kind: LinkMessageReceived, Link: link.id, Envelope: Envelope{From: old.id, Message: Leave{}}})
	w.run(10*time.Millisecond, nil)
	wantState(t, observer, restarted, MemberAlive)
}

// Guards against a daemon that is ignored for good because its host's clock
// went back before the restart.
func TestEarlierStartTimeIsRaised(t *testing.T) {
	w := newWorld(8)
	w.cluster(1, 2)
	w.run(5*time.Second, nil)
	observer, old := w.nodes[0], w.nodes[1]
	now := w.now
	w.now = w.now.Add(-time.Hour)
	restarted := w.start(old.id.Name, old.id.DataCentre, old.id.Address, observer.id.Address)
	w.now = now
	w.run(4*time.Second, nil)
	m := observer.peers.members[old.id.ID()]
	if m.state != MemberAlive || m.Incarnation != restarted.peers.self.Incarnation {
		t.Errorf("the restarted daemon is %v as %v, its own incarnation is %v", m.state, m.Incarnation, restarted.peers.self.Incarnation)
	}
}

// Guards against data centres that stay apart after a partition, because each
// holds the other's gateways for dead.
func TestDataCentresMeetAgainAfterPartition(t *testing.T) {
	w := newWorld(9)
	w.cluster(2, 5)
	w.run(5*time.Second, nil)
	w.cutBoth("dc0", "dc1", true)
	w.run(30*time.Second, nil)
	for _, n := range w.nodes {
		if len(n.peers.view.ReachableDataCentres) != 0 {
			t.Errorf("%s/%s reaches %v through the partition", n.id.DataCentre, n.id.Name, n.peers.view.ReachableDataCentres)
		}
	}
	w.cutBoth("dc0", "dc1", false)
	w.run(10*time.Second, nil)
	links := len(w.wires)
	w.run(20*time.Second, func() {
		if len(w.wires) != links {
			t.Fatalf("links between data centres come and go: %d, then %d", links, len(w.wires))
		}
	})
	if want := 10 + 10 + 4; links != want {
		t.Errorf("%d links are open, want %d", links, want)
	}
}
