// Package daemonrpc is the wire encoding between daemons: protobuf messages on
// one yamux stream per link.
package daemonrpc

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
)

// MaxMessageBytes is the largest message on a link. It holds a contract of the
// largest size that the object API stores, with room for the rest.
const MaxMessageBytes = 2 << 20

// lengthBytes is the size of the length before each message.
const lengthBytes = 4

// Errors of the encoding.
var (
	// ErrTooLarge means that a message is over MaxMessageBytes.
	ErrTooLarge = errors.New("daemonrpc: message too large")
	// ErrMalformed means that the bytes are no message of this protocol.
	ErrMalformed = errors.New("daemonrpc: malformed message")
)

// encoder writes envelopes. The identity of the sender is written only when it
// differs from that of the message before, since it is half of a heartbeat.
type encoder struct {
	w    io.Writer
	last daemon.Identity
	buf  []byte
}

// write sends the envelope and returns the number of bytes. Contracts that are
// too large for one message are sent in several.
func (e *encoder) write(envelope daemon.Envelope) (int, error) {
	wire, err := toWire(envelope)
	if err != nil {
		return 0, err
	}
	if envelope.From == e.last {
		wire.From = nil
	}
	size := proto.Size(wire)
	if size > MaxMessageBytes {
		return e.writeParts(envelope)
	}
	e.buf = binary.BigEndian.AppendUint32(e.buf[:0], uint32(size))
	e.buf, err = proto.MarshalOptions{}.MarshalAppend(e.buf, wire)
	if err != nil {
		return 0, fmt.Errorf("encode message: %w", err)
	}
	n, err := e.w.Write(e.buf)
	if err == nil {
		e.last = envelope.From
	}
	return n, err
}

func (e *encoder) writeParts(envelope daemon.Envelope) (int, error) {
	m, ok := envelope.Message.(daemon.Contracts)
	if !ok || len(m.Contracts) < 2 {
		return 0, ErrTooLarge
	}
	half := len(m.Contracts) / 2
	head, tail := envelope, envelope
	head.Message = daemon.Contracts{Contracts: m.Contracts[:half]}
	m.Contracts = m.Contracts[half:]
	tail.Message = m
	first, err := e.write(head)
	if err != nil {
		return first, err
	}
	second, err := e.write(tail)
	return first + second, err
}

// decoder reads envelopes.
type decoder struct {
	r    io.Reader
	last daemon.Identity
	buf  []byte
}

// read returns the next envelope and its size in bytes.
func (d *decoder) read() (daemon.Envelope, int, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(d.r, length[:]); err != nil {
		return daemon.Envelope{}, 0, err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > MaxMessageBytes {
		return daemon.Envelope{}, 0, fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	if cap(d.buf) < size {
		d.buf = make([]byte, size)
	}
	d.buf = d.buf[:size]
	if _, err := io.ReadFull(d.r, d.buf); err != nil {
		return daemon.Envelope{}, 0, err
	}
	wire := &Envelope{}
	if err := proto.Unmarshal(d.buf, wire); err != nil {
		return daemon.Envelope{}, 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	envelope, err := fromWire(wire)
	if err != nil {
		return daemon.Envelope{}, 0, err
	}
	if wire.From == nil {
		envelope.From = d.last
	}
	d.last = envelope.From
	return envelope, size + lengthBytes, nil
}

// EncodedSize returns the bytes that the envelope takes on a link on which its
// sender is known.
func EncodedSize(envelope daemon.Envelope) (int, error) {
	wire, err := toWire(envelope)
	if err != nil {
		return 0, err
	}
	wire.From = nil
	return proto.Size(wire) + lengthBytes, nil
}

func toWire(e daemon.Envelope) (*Envelope, error) {
	wire := &Envelope{From: identityToWire(e.From), ToDataCentre: e.ToDataCentre}
	switch m := e.Message.(type) {
	case daemon.Heartbeat:
		wire.Message = &Envelope_Heartbeat{Heartbeat: heartbeatToWire(m)}
	case daemon.MemberList:
		wire.Message = &Envelope_MemberList{MemberList: listToWire(m)}
	case daemon.Leave:
		wire.Message = &Envelope_Leave{Leave: &Leave{}}
	case daemon.Contracts:
		contracts, err := contractsToWire(m)
		if err != nil {
			return nil, err
		}
		wire.Message = &Envelope_Contracts{Contracts: contracts}
	case daemon.ContractVersions:
		wire.Message = &Envelope_ContractVersions{ContractVersions: versionsToWire(m)}
	case daemon.LoadReports:
		wire.Message = &Envelope_LoadReports{LoadReports: reportsToWire(m)}
	case daemon.ShareDemand:
		wire.Message = &Envelope_ShareDemand{ShareDemand: &ShareDemand{
			Sequence: m.Sequence, RosterVersion: m.RosterVersion, BaseUnits: m.BaseUnits,
			BasesDigest: m.BasesDigest, Wants: amountsToWire(m.Wants),
		}}
	case daemon.ShareGrants:
		wire.Message = &Envelope_ShareGrants{ShareGrants: &ShareGrants{
			Sequence: m.Sequence, Fence: m.Fence, RosterVersion: m.RosterVersion, BaseUnits: m.BaseUnits,
			Bases: amountsToWire(m.Bases), Grants: amountsToWire(m.Grants),
		}}
	case daemon.ShareAsk:
		wire.Message = &Envelope_ShareAsk{ShareAsk: &ShareAsk{DataCentre: m.DataCentre, Wants: amountsToWire(m.Wants)}}
	case daemon.ShareGiven:
		wire.Message = &Envelope_ShareGiven{ShareGiven: &ShareGiven{Customer: string(m.Customer)}}
	default:
		return nil, fmt.Errorf("%w: type %T", ErrMalformed, e.Message)
	}
	return wire, nil
}

func fromWire(wire *Envelope) (daemon.Envelope, error) {
	e := daemon.Envelope{From: identityFromWire(wire.From), ToDataCentre: wire.ToDataCentre}
	var err error
	switch m := wire.Message.(type) {
	case *Envelope_Heartbeat:
		e.Message, err = heartbeatFromWire(m.Heartbeat)
	case *Envelope_MemberList:
		e.Message = listFromWire(m.MemberList)
	case *Envelope_Leave:
		e.Message = daemon.Leave{}
	case *Envelope_Contracts:
		e.Message, err = contractsFromWire(m.Contracts)
	case *Envelope_ContractVersions:
		e.Message = versionsFromWire(m.ContractVersions)
	case *Envelope_LoadReports:
		e.Message = reportsFromWire(m.LoadReports)
	case *Envelope_ShareDemand:
		d := m.ShareDemand
		e.Message = daemon.ShareDemand{
			Sequence: d.Sequence, RosterVersion: d.RosterVersion, BaseUnits: d.BaseUnits,
			BasesDigest: d.BasesDigest, Wants: amountsFromWire(d.Wants),
		}
	case *Envelope_ShareGrants:
		g := m.ShareGrants
		e.Message = daemon.ShareGrants{
			Sequence: g.Sequence, Fence: g.Fence, RosterVersion: g.RosterVersion, BaseUnits: g.BaseUnits,
			Bases: amountsFromWire(g.Bases), Grants: amountsFromWire(g.Grants),
		}
	case *Envelope_ShareAsk:
		e.Message = daemon.ShareAsk{DataCentre: m.ShareAsk.DataCentre, Wants: amountsFromWire(m.ShareAsk.Wants)}
	case *Envelope_ShareGiven:
		e.Message = daemon.ShareGiven{Customer: core.CustomerID(m.ShareGiven.Customer)}
	default:
		err = fmt.Errorf("%w: no message", ErrMalformed)
	}
	return e, err
}

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
		Sequence: h.Sequence, Echo: h.Echo, EchoAgeNs: int64(h.EchoAge), MembersDigest: h.MembersDigest,
		ConfigDigest: h.Config.Digest, ConfigRevision: h.Config.Revision, ConfigReady: h.Config.Ready,
		WorkFull: h.WorkFull,
	}
	if h.Seen != (daemon.Incarnation{}) {
		w.Seen = incarnationToWire(h.Seen)
	}
	for _, work := range h.Work {
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
		Sequence: w.Sequence, Echo: w.Echo, EchoAge: time.Duration(w.EchoAgeNs), Seen: incarnationFromWire(w.Seen),
		MembersDigest: w.MembersDigest, WorkFull: w.WorkFull,
		Config: daemon.ConfigState{Digest: w.ConfigDigest, Revision: w.ConfigRevision, Ready: w.ConfigReady},
	}
	for i, server := range w.WorkServers {
		h.Work = append(h.Work, daemon.ServerWork{Server: daemon.ServerKey(server), Outstanding: int(w.WorkOutstanding[i])})
	}
	return h, nil
}

func listToWire(l daemon.MemberList) *MemberList {
	w := &MemberList{DataCentre: l.DataCentre, Stamp: l.Stamp}
	for _, m := range l.Members {
		w.Members = append(w.Members, &MemberInfo{Identity: identityToWire(m.Identity), State: uint32(m.State)})
	}
	return w
}

func listFromWire(w *MemberList) daemon.MemberList {
	l := daemon.MemberList{DataCentre: w.DataCentre, Stamp: w.Stamp}
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

func versionsToWire(m daemon.ContractVersions) *ContractVersions {
	w := &ContractVersions{Revision: m.Revision}
	for _, v := range m.Versions {
		w.Versions = append(w.Versions, &ContractVersion{Customer: string(v.Customer), Version: v.Version})
	}
	return w
}

func versionsFromWire(w *ContractVersions) daemon.ContractVersions {
	m := daemon.ContractVersions{Revision: w.Revision}
	for _, v := range w.Versions {
		m.Versions = append(m.Versions, daemon.ContractVersion{Customer: core.CustomerID(v.Customer), Version: v.Version})
	}
	return m
}

func reportsToWire(m daemon.LoadReports) *LoadReports {
	w := &LoadReports{}
	for _, r := range m.Reports {
		w.Reports = append(w.Reports, &ServerReport{
			Server: string(r.Server), AgeNs: int64(r.Age),
			Running: uint32(r.Running), Waiting: uint32(r.Waiting), KvUsed: float32(r.KVUsed),
		})
	}
	return w
}

func reportsFromWire(w *LoadReports) daemon.LoadReports {
	m := daemon.LoadReports{}
	for _, r := range w.Reports {
		m.Reports = append(m.Reports, daemon.ServerReport{
			Server: core.ServerID(r.Server), Age: time.Duration(r.AgeNs),
			Running: int(r.Running), Waiting: int(r.Waiting), KVUsed: float64(r.KvUsed),
		})
	}
	return m
}

func amountsToWire(amounts []daemon.ShareAmount) []*ShareAmount {
	w := make([]*ShareAmount, 0, len(amounts))
	for _, a := range amounts {
		w = append(w, &ShareAmount{Customer: string(a.Key.Customer), Limit: limitToWire(a.Key.Limit), Units: a.Units})
	}
	return w
}

func amountsFromWire(w []*ShareAmount) []daemon.ShareAmount {
	var amounts []daemon.ShareAmount
	for _, a := range w {
		key := daemon.ShareKey{Customer: core.CustomerID(a.Customer), Limit: limitFromWire(a.Limit)}
		amounts = append(amounts, daemon.ShareAmount{Key: key, Units: a.Units})
	}
	return amounts
}

func limitToWire(l daemon.Limit) Limit {
	switch l {
	case daemon.LimitRequests:
		return Limit_LIMIT_REQUESTS
	case daemon.LimitTokens:
		return Limit_LIMIT_TOKENS
	case daemon.LimitConcurrency:
		return Limit_LIMIT_CONCURRENCY
	}
	return Limit_LIMIT_UNSPECIFIED
}

func limitFromWire(l Limit) daemon.Limit {
	switch l {
	case Limit_LIMIT_REQUESTS:
		return daemon.LimitRequests
	case Limit_LIMIT_TOKENS:
		return daemon.LimitTokens
	case Limit_LIMIT_CONCURRENCY:
		return daemon.LimitConcurrency
	}
	return ""
}

// isEncodingError reports whether the message, and not the link, is at fault.
func isEncodingError(err error) bool {
	return errors.Is(err, ErrTooLarge) || errors.Is(err, ErrMalformed)
}
