// Package daemonrpc encodes the messages between daemons as protobuf and
// carries them over yamux sessions: one stream for each link (Links), and one
// stream for each peer request (PeerClient, PeerServer). It makes no
// decisions; the packages whose messages it carries do, mainly daemon and
// trainer/batch.
//
// Links and PeerClient guard their open sessions with a mutex, because pool
// goroutines and duties use them. Messages on a link arrive in order or are
// lost; a peer request has one response or fails.
package daemonrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
)

// MaxMessageBytes is the largest message on a link. It has room for a contract
// of the largest size that the object API stores.
const MaxMessageBytes = 2 << 20

// lengthBytes is the size of the length prefix of each message.
const lengthBytes = 4

// Errors of the encoding.
var (
	// ErrTooLarge means that a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("daemonrpc: message too large")
	// ErrMalformed means that the bytes or the type are not a message of this
	// protocol.
	ErrMalformed = errors.New("daemonrpc: malformed message")
)

// encoder writes envelopes to a link. The identity of the sender is left out
// if it equals that of the previous message, since it is half of a heartbeat's
// size.
type encoder struct {
	w          io.Writer
	lastSender daemon.Identity
	buf        []byte
}

// write sends the envelope and returns the number of bytes written. Contracts
// that are too large for one message are sent in several.
func (e *encoder) write(envelope daemon.Envelope) (int, error) {
	wire, err := toWire(envelope)
	if err != nil {
		return 0, err
	}
	if envelope.From == e.lastSender {
		wire.From = nil
	}
	size := proto.Size(wire)
	if size > MaxMessageBytes {
		return e.writeInParts(envelope)
	}
	e.buf = binary.BigEndian.AppendUint32(e.buf[:0], uint32(size))
	e.buf, err = proto.MarshalOptions{}.MarshalAppend(e.buf, wire)
	if err != nil {
		return 0, fmt.Errorf("encode message: %w", err)
	}
	n, err := e.w.Write(e.buf)
	if err == nil {
		e.lastSender = envelope.From
	}
	return n, err
}

func (e *encoder) writeInParts(envelope daemon.Envelope) (int, error) {
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

// decoder reads the envelopes of an encoder.
type decoder struct {
	r          io.Reader
	lastSender daemon.Identity
	buf        []byte
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
		envelope.From = d.lastSender
	}
	d.lastSender = envelope.From
	return envelope, size + lengthBytes, nil
}

// EncodedSize returns the number of bytes of the envelope on a link whose
// receiver already knows the sender.
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
		wire.Message = &Envelope_MemberList{MemberList: memberListToWire(m)}
	case daemon.Leave:
		wire.Message = &Envelope_Leave{Leave: &Leave{}}
	case daemon.Contracts:
		contracts, err := contractsToWire(m)
		if err != nil {
			return nil, err
		}
		wire.Message = &Envelope_Contracts{Contracts: contracts}
	case daemon.ContractsRequest:
		wire.Message = &Envelope_ContractVersions{ContractVersions: contractsRequestToWire(m)}
	case daemon.LoadReports:
		wire.Message = &Envelope_LoadReports{LoadReports: loadReportsToWire(m)}
	case daemon.ShareDemand:
		wire.Message = &Envelope_ShareDemand{ShareDemand: demandToWire(m)}
	case daemon.ShareGrants:
		wire.Message = &Envelope_ShareGrants{ShareGrants: grantsToWire(m)}
	case daemon.ShareTransferRequest:
		wire.Message = &Envelope_ShareAsk{ShareAsk: &ShareAsk{DataCentre: m.DataCentre, Wants: amountsToWire(m.Requested)}}
	case daemon.ShareTransferred:
		wire.Message = &Envelope_ShareGiven{ShareGiven: &ShareGiven{Customer: string(m.Customer)}}
	case daemon.HostChanges:
		wire.Message = &Envelope_HostChanges{HostChanges: hostChangesToWire(m)}
	case daemon.HostDigest:
		wire.Message = &Envelope_HostDigest{HostDigest: &HostDigest{Sequence: m.Sequence, Digest: m.Digest}}
	case daemon.HostListRequest:
		wire.Message = &Envelope_HostAsk{HostAsk: &HostAsk{}}
	case daemon.SuspectReport:
		wire.Message = &Envelope_SuspectReport{SuspectReport: suspectReportToWire(m)}
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
		e.Message = memberListFromWire(m.MemberList)
	case *Envelope_Leave:
		e.Message = daemon.Leave{}
	case *Envelope_Contracts:
		e.Message, err = contractsFromWire(m.Contracts)
	case *Envelope_ContractVersions:
		e.Message = contractsRequestFromWire(m.ContractVersions)
	case *Envelope_LoadReports:
		e.Message = loadReportsFromWire(m.LoadReports)
	case *Envelope_ShareDemand:
		e.Message, err = demandFromWire(m.ShareDemand)
	case *Envelope_ShareGrants:
		e.Message, err = grantsFromWire(m.ShareGrants)
	case *Envelope_ShareAsk:
		e.Message = daemon.ShareTransferRequest{DataCentre: m.ShareAsk.DataCentre, Requested: amountsFromWire(m.ShareAsk.Wants)}
	case *Envelope_ShareGiven:
		e.Message = daemon.ShareTransferred{Customer: core.CustomerID(m.ShareGiven.Customer)}
	case *Envelope_HostChanges:
		e.Message = hostChangesFromWire(m.HostChanges)
	case *Envelope_HostDigest:
		e.Message = daemon.HostDigest{Sequence: m.HostDigest.Sequence, Digest: m.HostDigest.Digest}
	case *Envelope_HostAsk:
		e.Message = daemon.HostListRequest{}
	case *Envelope_SuspectReport:
		e.Message = suspectReportFromWire(m.SuspectReport)
	default:
		err = fmt.Errorf("%w: no message", ErrMalformed)
	}
	return e, err
}

// isEncodingError reports whether the message rather than the link caused the
// error.
func isEncodingError(err error) bool {
	return errors.Is(err, ErrTooLarge) || errors.Is(err, ErrMalformed)
}
