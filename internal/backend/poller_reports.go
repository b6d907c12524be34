package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// ServerReport is the result of one daemon's poll of a server.
type ServerReport struct {
	Server      core.ServerID
	Unreachable bool
	Description Description
	Load        Load
	Age         time.Duration // since the poll
}

// AddPeerReports queues reports of polls by other daemons of the data centre.
func (p *Poller) AddPeerReports(r []ServerReport) { p.reports.PutLatest(r) }

// SetReportHandler sets the function that receives this daemon's poll results
// for the other daemons. The function must not block. SetReportHandler must be
// called before the duty starts.
func (p *Poller) SetReportHandler(deliver func([]ServerReport)) { p.deliverReports = deliver }

// handleReports applies reports of other daemons. A report that is not newer
// than the last one is ignored.
func (p *Poller) handleReports(reports []ServerReport) {
	now := p.loop.Clock().Now()
	for i := range reports {
		r := &reports[i]
		t, at := p.servers[r.Server], now.Add(-r.Age)
		if t == nil || !at.After(t.reportedAt) {
			continue
		}
		if r.Unreachable {
			t.reportedAt = at
			t.server.Unreachable = true
			p.schedulePublish()
			continue
		}
		description := r.Description
		if description.Incarnation == "" {
			// An empty incarnation means that the description has not changed.
			description = t.server.Description
		}
		if description.Incarnation == "" {
			continue
		}
		// The other daemon may have read the description up to one period
		// before it polled the load.
		t.server.DescribedAt = at.Add(-describePeriod)
		load := r.Load
		load.ReceivedAt = at
		p.applyReport(t, description, load, at)
	}
}

// queueReport queues the result of a local poll for the other daemons. Its age,
// at most publishPeriod, is neglected.
func (p *Poller) queueReport(t *polledServer) {
	if p.deliverReports == nil {
		return
	}
	p.unsentReports = append(p.unsentReports, ServerReport{
		Server: t.server.ID, Unreachable: t.server.Unreachable, Description: t.server.Description,
		Load: t.server.Load,
	})
	p.schedulePublish()
}

// schedulePublish publishes within publishPeriod, together with changes that
// arrive until then.
func (p *Poller) schedulePublish() {
	if p.publishPending {
		return
	}
	p.publishPending = true
	p.loop.After(publishPeriod, func() {
		if p.publishPending {
			p.publish()
		}
	})
}

func (p *Poller) publish() {
	p.publishPending = false
	servers := make([]Server, 0, len(p.order))
	for _, t := range p.order {
		if t.server.Description.Incarnation != "" {
			servers = append(servers, t.server)
		}
	}
	p.deliver(servers)
	if len(p.unsentReports) > 0 {
		p.deliverReports(p.unsentReports)
		p.unsentReports = nil
	}
}
