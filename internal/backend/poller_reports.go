package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// ServerReport is what a daemon learned of a server by polling it.
type ServerReport struct {
	Server      core.ServerID
	Unreachable bool
	Description Description
	Load        Load
	Age         time.Duration // since the poll
}

// AddPeerReports takes what other daemons of the data centre have polled.
func (p *Poller) AddPeerReports(r []ServerReport) { p.reports.PutLatest(r) }

// SetReportHandler sets the function that takes what this daemon has polled, for the
// other daemons. It must not wait, and it is set before the duty starts.
func (p *Poller) SetReportHandler(deliver func([]ServerReport)) { p.deliverReports = deliver }

// handleReports takes reports of other daemons. Only a newer one counts.
func (p *Poller) handleReports(reports []ServerReport) {
	now := p.loop.Clock().Now()
	for i := range reports {
		r := &reports[i]
		t, at := p.known[r.Server], now.Add(-r.Age)
		if t == nil || !at.After(t.heardAt) {
			continue
		}
		if r.Unreachable {
			t.heardAt = at
			t.server.Unreachable = true
			p.publishSoon()
			continue
		}
		description := r.Description
		if description.Incarnation == "" {
			// The report says that the description has not changed.
			description = t.server.Description
		}
		if description.Incarnation == "" {
			continue
		}
		// The other daemon may have asked for the description up to one period
		// before it polled the load.
		t.server.DescribedAt = at.Add(-describePeriod)
		load := r.Load
		load.ReceivedAt = at
		p.heard(t, description, load, at)
	}
}

// report notes what was polled here for the other daemons. Its age is at most
// publishPeriod, which is left out.
func (p *Poller) report(t *tracked) {
	if p.deliverReports == nil {
		return
	}
	p.fresh = append(p.fresh, ServerReport{
		Server: t.server.ID, Unreachable: t.server.Unreachable, Description: t.server.Description,
		Load: t.server.Load,
	})
	p.publishSoon()
}

// publishSoon publishes within publishPeriod, together with what comes until then.
func (p *Poller) publishSoon() {
	if p.publishDue {
		return
	}
	p.publishDue = true
	p.loop.After(publishPeriod, func() {
		if p.publishDue {
			p.publish()
		}
	})
}

func (p *Poller) publish() {
	p.publishDue = false
	servers := make([]Server, 0, len(p.order))
	for _, t := range p.order {
		if t.server.Description.Incarnation != "" {
			servers = append(servers, t.server)
		}
	}
	p.deliver(servers)
	if len(p.fresh) > 0 {
		p.deliverReports(p.fresh)
		p.fresh = nil
	}
}
