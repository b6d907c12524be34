package server

import (
	"encoding/json"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/daemon"
)

// toPeerReport converts the result of a poll to the report for peers.
func toPeerReport(r backend.ServerReport, now time.Time) daemon.LocalReport {
	local := daemon.LocalReport{
		Server:      r.Server,
		MeasuredAt:  now.Add(-r.Age),
		Running:     r.Load.Running,
		Waiting:     r.Load.Waiting,
		KVUsed:      r.Load.KVUsed,
		Unreachable: r.Unreachable,
	}
	if description, err := json.Marshal(r.Description); err == nil && !r.Unreachable {
		local.Description = description
	}
	return local
}

// addPeerReports passes the polling results of peers to the poller. A report whose
// description cannot be decoded is dropped.
func (b *builder) addPeerReports(reports []daemon.PeerReport) {
	now := b.clock.Now()
	list := make([]backend.ServerReport, 0, len(reports))
	for _, r := range reports {
		report := backend.ServerReport{
			Server:      r.Server,
			Unreachable: r.Unreachable,
			Load:        backend.Load{MeasuredAt: r.MeasuredAt, Running: r.Running, Waiting: r.Waiting, KVUsed: r.KVUsed},
			Age:         now.Sub(r.MeasuredAt),
		}
		if len(r.Description) > 0 && json.Unmarshal(r.Description, &report.Description) != nil {
			continue
		}
		list = append(list, report)
	}
	b.poller.AddPeerReports(list)
}

func toPeerSuspects(r backend.SuspectReport) daemon.SuspectReport {
	var m daemon.SuspectReport
	for _, s := range r.Suspects {
		m.Suspects = append(m.Suspects, daemon.SuspectRequest(s))
	}
	for _, c := range r.ConfirmedCauses {
		m.ConfirmedCauses = append(m.ConfirmedCauses, daemon.ConfirmedCause(c))
	}
	return m
}

func fromPeerSuspects(m daemon.SuspectReport) backend.SuspectReport {
	var r backend.SuspectReport
	for _, s := range m.Suspects {
		r.Suspects = append(r.Suspects, backend.SuspectRequest(s))
	}
	for _, c := range m.ConfirmedCauses {
		r.ConfirmedCauses = append(r.ConfirmedCauses, backend.ConfirmedCause(c))
	}
	return r
}
