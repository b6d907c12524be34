package server

import (
	"encoding/json"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/daemon"
)

// reportToPeers translates a poll's result for the other daemons.
func reportToPeers(r backend.Report, now time.Time) daemon.LocalReport {
	local := daemon.LocalReport{
		Server:      r.Server,
		At:          now.Add(-r.Age),
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

// addPeerReports takes what other daemons have polled.
func (b *builder) addPeerReports(reports []daemon.PeerReport) {
	now := b.clock.Now()
	list := make([]backend.Report, 0, len(reports))
	for _, r := range reports {
		report := backend.Report{
			Server:      r.Server,
			Unreachable: r.Unreachable,
			Load:        backend.Load{At: r.At, Running: r.Running, Waiting: r.Waiting, KVUsed: r.KVUsed},
			Age:         now.Sub(r.At),
		}
		if len(r.Description) > 0 && json.Unmarshal(r.Description, &report.Description) != nil {
			continue
		}
		list = append(list, report)
	}
	b.poller.AddReports(list)
}

func suspectsToPeers(r backend.SuspectReport) daemon.SuspectReport {
	var m daemon.SuspectReport
	for _, s := range r.Suspicions {
		m.Suspicions = append(m.Suspicions, daemon.Suspicion(s))
	}
	for _, c := range r.Convictions {
		m.Convictions = append(m.Convictions, daemon.Conviction(c))
	}
	return m
}

func suspectsFromPeers(m daemon.SuspectReport) backend.SuspectReport {
	var r backend.SuspectReport
	for _, s := range m.Suspicions {
		r.Suspicions = append(r.Suspicions, backend.Suspicion(s))
	}
	for _, c := range m.Convictions {
		r.Convictions = append(r.Convictions, backend.Conviction(c))
	}
	return r
}
