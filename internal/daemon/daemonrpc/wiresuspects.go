package daemonrpc

import (
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
)

// encodeSuspects returns nil for an empty report.
func encodeSuspects(r backend.SuspectReport) *SuspectList {
	if r.IsEmpty() {
		return nil
	}
	m := &SuspectList{}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &ServerCrash{Server: string(c.Server), Run: c.Run, Daemon: c.Daemon, InFlight: c.InFlight, Accepted: int64(c.Accepted)})
	}
	for _, s := range r.Suspects {
		m.Suspects = append(m.Suspects, &CrashSuspect{Fingerprint: s.Fingerprint, CrashesAlone: int64(s.CrashesAlone), RemainingNs: s.Remaining.Nanoseconds()})
	}
	for _, c := range r.ConfirmedCauses {
		m.Causes = append(m.Causes, &CrashCause{Fingerprint: c.Fingerprint, RemainingNs: c.Remaining.Nanoseconds()})
	}
	return m
}

// decodeSuspects leaves out crashes that name no server or no daemon: their requests could
// not be told from those of this daemon.
func decodeSuspects(m *SuspectList) backend.SuspectReport {
	var r backend.SuspectReport
	for _, c := range m.GetCrashes() {
		if c.GetServer() == "" || c.GetDaemon() == "" {
			continue
		}
		r.Crashes = append(r.Crashes, backend.CrashReport{
			CrashID: backend.CrashID{Server: core.ServerID(c.GetServer()), Run: c.GetRun()}, Daemon: c.GetDaemon(),
			InFlight: c.GetInFlight(), Accepted: int(max(0, c.GetAccepted())),
		})
	}
	for _, s := range m.GetSuspects() {
		r.Suspects = append(r.Suspects, backend.SuspectRequest{Fingerprint: s.GetFingerprint(), CrashesAlone: int(s.GetCrashesAlone()), Remaining: time.Duration(s.GetRemainingNs())})
	}
	for _, c := range m.GetCauses() {
		r.ConfirmedCauses = append(r.ConfirmedCauses, backend.ConfirmedCause{Fingerprint: c.GetFingerprint(), Remaining: time.Duration(c.GetRemainingNs())})
	}
	return r
}
