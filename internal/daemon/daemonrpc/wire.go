package daemonrpc

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
)

func identityToWire(id daemon.Identity) *Identity {
	return &Identity{
		Name: id.Name, DataCentre: id.DataCentre, Address: id.Address,
		Incarnation: incarnationToWire(id.Incarnation),
	}
}

func identityFromWire(w *Identity) daemon.Identity {
	return daemon.Identity{
		Name: w.GetName(), DataCentre: w.GetDataCentre(), Address: w.GetAddress(),
		Incarnation: incarnationFromWire(w.GetIncarnation()),
	}
}

func incarnationToWire(i daemon.Incarnation) *Incarnation {
	return &Incarnation{Start: i.Start, Random: i.Random}
}

func incarnationFromWire(w *Incarnation) daemon.Incarnation {
	return daemon.Incarnation{Start: w.GetStart(), Random: w.GetRandom()}
}

func heartbeatToWire(h daemon.Heartbeat) *Heartbeat {
	w := &Heartbeat{
		Sequence: h.Sequence, Echo: h.EchoedSequence, EchoAgeNs: int64(h.EchoAge), MembersDigest: h.MembersDigest,
		ConfigDigest: h.Config.Digest, ConfigRevision: h.Config.Revision, ConfigReady: h.Config.Ready,
		WorkFull: h.IsFullWork,
	}
	if h.ReceiverIncarnation != (daemon.Incarnation{}) {
		w.Seen = incarnationToWire(h.ReceiverIncarnation)
	}
	for _, work := range h.OutstandingWork {
		w.WorkServers = append(w.WorkServers, uint32(work.Server))
		w.WorkOutstanding = append(w.WorkOutstanding, uint32(work.Outstanding))
	}
	return w
}

func heartbeatFromWire(w *Heartbeat) (daemon.Heartbeat, error) {
	if len(w.WorkServers) != len(w.WorkOutstanding) {
		return daemon.Heartbeat{}, fmt.Errorf("%w: work of %d servers has %d amounts", ErrMalformed, len(w.WorkServers), len(w.WorkOutstanding))
	}
	h := daemon.Heartbeat{
		Sequence: w.Sequence, EchoedSequence: w.Echo, EchoAge: time.Duration(w.EchoAgeNs), ReceiverIncarnation: incarnationFromWire(w.Seen),
		MembersDigest: w.MembersDigest, IsFullWork: w.WorkFull,
		Config: daemon.ConfigState{Digest: w.ConfigDigest, Revision: w.ConfigRevision, Ready: w.ConfigReady},
	}
	for i, server := range w.WorkServers {
		h.OutstandingWork = append(h.OutstandingWork, daemon.ServerWork{Server: daemon.ServerKey(server), Outstanding: int(w.WorkOutstanding[i])})
	}
	return h, nil
}

func memberListToWire(l daemon.MemberList) *MemberList {
	w := &MemberList{DataCentre: l.DataCentre, Stamp: l.Version}
	for _, m := range l.Members {
		w.Members = append(w.Members, &MemberInfo{Identity: identityToWire(m.Identity), State: uint32(m.State)})
	}
	return w
}

func memberListFromWire(w *MemberList) daemon.MemberList {
	l := daemon.MemberList{DataCentre: w.DataCentre, Version: w.Stamp}
	for _, m := range w.Members {
		state := daemon.MemberState(min(m.State, uint32(daemon.MemberLeft)))
		l.Members = append(l.Members, daemon.MemberInfo{Identity: identityFromWire(m.Identity), State: state})
	}
	return l
}

func contractsToWire(m daemon.Contracts) (*Contracts, error) {
	w := &Contracts{Revision: m.Revision, Full: m.Full, Ready: m.Ready}
	for _, c := range m.Contracts {
		stored := &StoredContract{Customer: string(c.Customer), Version: c.Version, Revision: c.Revision, Deleted: c.Deleted}
		if c.Contract != nil {
			value, err := json.Marshal(c.Contract)
			if err != nil {
				return nil, fmt.Errorf("encode contract of %s: %w", c.Customer, err)
			}
			stored.ContractJson = value
		}
		w.Contracts = append(w.Contracts, stored)
	}
	return w, nil
}

func contractsFromWire(w *Contracts) (daemon.Contracts, error) {
	m := daemon.Contracts{Revision: w.Revision, Full: w.Full, Ready: w.Ready}
	for _, c := range w.Contracts {
		stored := core.StoredContract{Customer: core.CustomerID(c.Customer), Version: c.Version, Revision: c.Revision, Deleted: c.Deleted}
		if !c.Deleted {
			stored.Contract = &core.Contract{}
			if err := json.Unmarshal(c.ContractJson, stored.Contract); err != nil {
				return m, fmt.Errorf("%w: contract of %s: %w", ErrMalformed, c.Customer, err)
			}
		}
		m.Contracts = append(m.Contracts, stored)
	}
	return m, nil
}

func contractsRequestToWire(m daemon.ContractsRequest) *ContractVersions {
	w := &ContractVersions{Revision: m.Revision}
	for _, v := range m.Versions {
		w.Versions = append(w.Versions, &ContractVersion{Customer: string(v.Customer), Version: v.Version})
	}
	return w
}

func contractsRequestFromWire(w *ContractVersions) daemon.ContractsRequest {
	m := daemon.ContractsRequest{Revision: w.Revision}
	for _, v := range w.Versions {
		m.Versions = append(m.Versions, daemon.ContractVersion{Customer: core.CustomerID(v.Customer), Version: v.Version})
	}
	return m
}

func loadReportsToWire(m daemon.LoadReports) *LoadReports {
	w := &LoadReports{}
	for _, r := range m.Reports {
		w.Reports = append(w.Reports, &ServerReport{
			Server: string(r.Server), AgeNs: int64(r.Age),
			Running: uint32(r.Running), Waiting: uint32(r.Waiting), KvUsed: float32(r.KVUsed),
			Unreachable: r.Unreachable, Description: r.Description,
		})
	}
	return w
}

func loadReportsFromWire(w *LoadReports) daemon.LoadReports {
	m := daemon.LoadReports{}
	for _, r := range w.Reports {
		m.Reports = append(m.Reports, daemon.ServerReport{
			Server: core.ServerID(r.Server), Age: time.Duration(r.AgeNs),
			Running: int(r.Running), Waiting: int(r.Waiting), KVUsed: float64(r.KvUsed),
			Unreachable: r.Unreachable, Description: r.Description,
		})
	}
	return m
}
