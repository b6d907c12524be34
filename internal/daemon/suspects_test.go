package daemon

import (
	"testing"
	"time"
)

// known returns what the node would report now.
func (n *node) known() SuspectReport { return n.suspects.report(n.suspects.all()) }

func (n *node) report(r SuspectReport) {
	n.suspects.Report(r)
	n.touch()
}

func (w *world) wantConvicted(t *testing.T, fingerprint uint64, at []*node) {
	t.Helper()
	for _, n := range at {
		found := false
		for _, c := range n.known().ConfirmedCauses {
			found = found || c.Fingerprint == fingerprint
		}
		if !found {
			t.Errorf("%s/%s does not know the conviction of %d", n.id.DataCentre, n.id.Name, fingerprint)
		}
	}
}

// Guards against a suspect that a daemon of this or another data centre does
// not hear of, and against reports that go round for ever.
func TestSuspectsReachEveryDaemon(t *testing.T) {
	w := newWorld(1)
	w.cluster(3, 4)
	w.run(10*time.Second, nil)
	w.nodes[3].report(SuspectReport{
		Suspects:        []SuspectRequest{{Fingerprint: 7, CrashesAlone: 1, Remaining: time.Minute}},
		ConfirmedCauses: []ConfirmedCause{{Fingerprint: 8, Remaining: time.Minute}},
	})
	w.run(time.Second, nil)
	w.wantConvicted(t, 8, w.nodes)
	for _, n := range w.nodes {
		s := n.known().Suspects
		if len(s) != 1 || s[0].CrashesAlone != 1 || s[0].Remaining > time.Minute {
			t.Errorf("%s/%s has the suspicions %+v", n.id.DataCentre, n.id.Name, s)
		}
		if n != w.nodes[3] && len(n.told) != 1 {
			t.Errorf("%s/%s was told %d times", n.id.DataCentre, n.id.Name, len(n.told))
		}
	}
	w.run(2*suspectRepeat, nil)
	sent := w.sent["daemon.SuspectReport"]
	w.run(time.Minute, nil)
	if after := w.sent["daemon.SuspectReport"]; after != sent {
		t.Errorf("%d reports were sent without news", after-sent)
	}
	if n := w.nodes[0]; len(n.known().Suspects)+len(n.known().ConfirmedCauses) != 0 {
		t.Errorf("after their time %+v is known", n.known())
	}
}

// Guards against reports that are lost on the way, to a new daemon, or to a
// data centre that was cut off.
func TestSuspectsReachThoseThatMissedThem(t *testing.T) {
	w := newWorld(2)
	w.cluster(2, 3)
	w.run(10*time.Second, nil)
	w.drop = func(Envelope) bool { return true }
	w.nodes[0].report(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 1, Remaining: MaxSuspectDuration}}})
	w.run(time.Second, nil)
	w.drop = nil
	w.run(suspectRepeat+time.Second, nil)
	w.wantConvicted(t, 1, w.nodes)

	late := w.start("late", "dc0", "10.0.0.9:1", w.nodes[1].id.Address)
	w.run(5*time.Second, nil)
	w.wantConvicted(t, 1, []*node{late})

	w.cutBoth("dc0", "dc1", true)
	w.run(10*time.Second, nil)
	w.nodes[0].report(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 2, Remaining: MaxSuspectDuration}}})
	w.run(20*time.Second, nil)
	w.cutBoth("dc0", "dc1", false)
	w.run(15*time.Second, nil)
	w.wantConvicted(t, 2, w.nodes)
}

// Guards against a later report with less time that shortens a conviction,
// against a claim of an endless one, and against memory that grows with requests.
func TestSuspectsAreMergedAndBounded(t *testing.T) {
	w := newWorld(3)
	s := w.start("d0", "dc0", "10.0.0.0:1").suspects
	remaining := func() time.Duration { return s.report([]uint64{1}).ConfirmedCauses[0].Remaining }
	for _, claimed := range []time.Duration{5 * time.Minute, time.Minute} {
		s.merge(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 1, Remaining: claimed}}})
	}
	if remaining() != 5*time.Minute {
		t.Errorf("a shorter report left %v", remaining())
	}
	s.merge(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 1, Remaining: 24 * time.Hour}}})
	if remaining() != MaxSuspectDuration {
		t.Errorf("a report of a day left %v", remaining())
	}
	var flood SuspectReport
	for i := range 2 * MaxSuspects {
		flood.Suspects = append(flood.Suspects, SuspectRequest{Fingerprint: uint64(10 + i), Remaining: time.Minute})
	}
	s.merge(flood)
	if len(s.entries) != MaxSuspects || remaining() != MaxSuspectDuration {
		t.Errorf("%d entries are kept, the conviction for %v", len(s.entries), remaining())
	}
}
