package daemonrpc

import (
	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/trainer/batch"
)

// Notifications carry changes from the daemon that detected them first to the
// others.
type Notifications struct {
	Engines    []backend.ModelStatus
	Owners     []batch.Ownership
	RateLimits []backend.ServerRateLimit
	Suspects   backend.SuspectReport
}

func encodeNotifications(n Notifications) *Question {
	m := &NoticeList{Limits: encodeServerLimits(n.RateLimits), Suspects: encodeSuspects(n.Suspects)}
	for _, e := range n.Engines {
		m.Engines = append(m.Engines, &ServerNotice{Server: string(e.Server), Model: e.Model, Version: int64(e.Version), Loading: e.Loading})
	}
	for _, o := range n.Owners {
		m.Owners = append(m.Owners, &JobOwner{Job: string(o.Job), Address: o.Owner.Address, Run: o.Owner.Run, Model: o.Model, Work: o.RemainingTokens, Customer: string(o.Customer)})
	}
	return &Question{Kind: &Question_Notices{Notices: m}}
}

func decodeNotifications(m *NoticeList) Notifications {
	n := Notifications{RateLimits: decodeServerLimits(m.Limits), Suspects: decodeSuspects(m.Suspects)}
	for _, e := range m.Engines {
		n.Engines = append(n.Engines, backend.ModelStatus{Server: core.ServerID(e.Server), Model: e.Model, Version: core.Version(e.Version), Loading: e.Loading})
	}
	for _, o := range m.Owners {
		n.Owners = append(n.Owners, batch.Ownership{
			Job: batch.JobID(o.Job), Owner: batch.Owner{Address: o.Address, Run: o.Run}, Model: o.Model, RemainingTokens: o.Work,
			Customer: core.CustomerID(o.Customer),
		})
	}
	return n
}
