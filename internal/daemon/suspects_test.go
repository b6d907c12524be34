package daemon

import (
	"testing"
	"time"
)

// knownSuspects returns the daemon's report of all its fingerprints.
func (n *simDaemon) knownSuspects() SuspectReport {
	return n.suspects.reportFor(n.suspects.fingerprints())
}

func (n *simDaemon) report(r SuspectReport) {
	n.suspects.Report(r)
	n.markRunnable()
}

func (sim *simulation) wantConfirmed(t *testing.T, fingerprint uint64, at []*simDaemon) {
	t.Helper()
	for _, n := range at {
		found := false
		for _, c := range n.knownSuspects().ConfirmedCauses {
			found = found || c.Fingerprint == fingerprint
		}
		if !found {
			t.Errorf("%s/%s does not know %d as a confirmed cause", n.id.DataCentre, n.id.Name, fingerprint)
		}
	}
}

// Guards against a suspect that does not reach a daemon of this or another
// data centre, and against reports that circulate endlessly.
func TestSuspectsReachEveryDaemon(t *testing.T) {
	sim := newSimulation(1)
	sim.startCluster(3, 4)
	sim.run(10*time.Second, nil)
	sim.daemons[3].report(SuspectReport{
		Suspects:        []SuspectRequest{{Fingerprint: 7, CrashesAlone: 1, Remaining: time.Minute}},
		ConfirmedCauses: []ConfirmedCause{{Fingerprint: 8, Remaining: time.Minute}},
	})
	sim.run(time.Second, nil)
	sim.wantConfirmed(t, 8, sim.daemons)
	for _, n := range sim.daemons {
		s := n.knownSuspects().Suspects
		if len(s) != 1 || s[0].CrashesAlone != 1 || s[0].Remaining > time.Minute {
			t.Errorf("%s/%s has the suspects %+v", n.id.DataCentre, n.id.Name, s)
		}
		if n != sim.daemons[3] && len(n.receivedReports) != 1 {
			t.Errorf("%s/%s received %d reports, want 1", n.id.DataCentre, n.id.Name, len(n.receivedReports))
		}
	}
	sim.run(2*suspectRepeatDelay, nil)
	sent := sim.sentByType["daemon.SuspectReport"]
	sim.run(time.Minute, nil)
	if after := sim.sentByType["daemon.SuspectReport"]; after != sent {
		t.Errorf("%d reports were sent without changes", after-sent)
	}
	if n := sim.daemons[0]; len(n.knownSuspects().Suspects)+len(n.knownSuspects().ConfirmedCauses) != 0 {
		t.Errorf("after their expiry %+v is still known", n.knownSuspects())
	}
}

// Guards against suspects that a daemon lacks permanently because the report
// was lost, the daemon started later, or its data centre was cut off.
func TestMissedSuspectsAreSentAgain(t *testing.T) {
	sim := newSimulation(2)
	sim.startCluster(2, 3)
	sim.run(10*time.Second, nil)
	sim.isLost = func(Envelope) bool { return true }
	sim.daemons[0].report(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 1, Remaining: MaxSuspectDuration}}})
	sim.run(time.Second, nil)
	sim.isLost = nil
	sim.run(suspectRepeatDelay+time.Second, nil)
	sim.wantConfirmed(t, 1, sim.daemons)

	late := sim.startDaemon("late", "dc0", "10.0.0.9:1", sim.daemons[1].id.Address)
	sim.run(5*time.Second, nil)
	sim.wantConfirmed(t, 1, []*simDaemon{late})

	sim.setPartition("dc0", "dc1", true)
	sim.run(10*time.Second, nil)
	sim.daemons[0].report(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 2, Remaining: MaxSuspectDuration}}})
	sim.run(20*time.Second, nil)
	sim.setPartition("dc0", "dc1", false)
	sim.run(15*time.Second, nil)
	sim.wantConfirmed(t, 2, sim.daemons)
}

// Guards against a later report that shortens a confirmation, against a
// claimed remaining time without bound, and against memory that grows with the
// number of requests.
func TestSuspectsAreMergedAndBounded(t *testing.T) {
	sim := newSimulation(3)
	s := sim.startDaemon("d0", "dc0", "10.0.0.0:1").suspects
	remaining := func() time.Duration { return s.reportFor([]uint64{1}).ConfirmedCauses[0].Remaining }
	for _, claimed := range []time.Duration{5 * time.Minute, time.Minute} {
		s.mergeReport(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 1, Remaining: claimed}}})
	}
	if remaining() != 5*time.Minute {
		t.Errorf("a shorter report left %v", remaining())
	}
	s.mergeReport(SuspectReport{ConfirmedCauses: []ConfirmedCause{{Fingerprint: 1, Remaining: 24 * time.Hour}}})
	if remaining() != MaxSuspectDuration {
		t.Errorf("a report of a day left %v", remaining())
	}
	var flood SuspectReport
	for i := range 2 * MaxSuspects {
		flood.Suspects = append(flood.Suspects, SuspectRequest{Fingerprint: uint64(10 + i), Remaining: time.Minute})
	}
	s.mergeReport(flood)
	if len(s.suspects) != MaxSuspects || remaining() != MaxSuspectDuration {
		t.Errorf("%d fingerprints are kept, the confirmed one for %v", len(s.suspects), remaining())
	}
}
