package daemonrpc

import (
	"time"

	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
)

func hostChangesToWire(m daemon.HostChanges) *HostChanges {
	w := &HostChanges{Sequence: m.Sequence, Full: m.Full, Removed: m.Removed}
	for _, h := range m.Hosts {
		w.Hosts = append(w.Hosts, &HostEntry{
			Name: h.Name, Role: string(h.Role), Address: h.Address, DataCentre: h.DataCentre, Region: h.Region,
			State: string(h.State), Service: h.Service, ServerKind: h.ServerKind, ChecksFence: h.ChecksFence,
			AgeNs: int64(h.Age),
		})
	}
	return w
}

func hostChangesFromWire(w *HostChanges) daemon.HostChanges {
	m := daemon.HostChanges{Sequence: w.Sequence, Full: w.Full, Removed: w.Removed}
	for _, h := range w.Hosts {
		host := platform.Host{
			Name: h.Name, Role: platform.HostRole(h.Role), Address: h.Address, DataCentre: h.DataCentre, Region: h.Region,
			State: platform.HostState(h.State), Service: h.Service, ServerKind: h.ServerKind, ChecksFence: h.ChecksFence,
		}
		m.Hosts = append(m.Hosts, daemon.HostEntry{Host: host, Age: time.Duration(h.AgeNs)})
	}
	return m
}

func suspectReportToWire(m daemon.SuspectReport) *SuspectReport {
	w := &SuspectReport{}
	for _, s := range m.Suspects {
		w.Suspicions = append(w.Suspicions, &Suspicion{
			Fingerprint: s.Fingerprint, CrashesAlone: uint32(s.CrashesAlone), RemainingNs: int64(s.Remaining),
		})
	}
	for _, c := range m.ConfirmedCauses {
		w.Convictions = append(w.Convictions, &Conviction{Fingerprint: c.Fingerprint, RemainingNs: int64(c.Remaining)})
	}
	return w
}

func suspectReportFromWire(w *SuspectReport) daemon.SuspectReport {
	m := daemon.SuspectReport{}
	for _, s := range w.Suspicions {
		m.Suspects = append(m.Suspects, daemon.SuspectRequest{
			Fingerprint: s.Fingerprint, CrashesAlone: int(s.CrashesAlone), Remaining: time.Duration(s.RemainingNs),
		})
	}
	for _, c := range w.Convictions {
		m.ConfirmedCauses = append(m.ConfirmedCauses, daemon.ConfirmedCause{Fingerprint: c.Fingerprint, Remaining: time.Duration(c.RemainingNs)})
	}
	return m
}
