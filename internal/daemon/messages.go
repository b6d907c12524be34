package daemon

import (
	"cmp"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// Incarnation identifies one run of a daemon. A later run has a higher start
// time; the random value orders runs with equal start times.
type Incarnation struct {
	Start  int64 // nanoseconds since 1970
	Random uint64
}

// Compare returns a negative number if i is earlier than other, 0 if both are
// equal, and a positive number otherwise.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Start, other.Start), cmp.Compare(i.Random, other.Random))
}

// Identity identifies one run of a daemon.
type Identity struct {
	Name        string // unique in the data centre
	DataCentre  string
	Address     string // of the peer listener
	Incarnation Incarnation
}

// PeerID identifies a daemon across its runs.
type PeerID struct {
	DataCentre string
	Name       string
}

// ID returns the identity without address and incarnation.
func (i Identity) ID() PeerID { return PeerID{DataCentre: i.DataCentre, Name: i.Name} }

// Message is the body of an Envelope: one of the message types of this file.
type Message interface{ message() }

// Envelope is one message on a link.
type Envelope struct {
	From Identity
	// ToDataCentre is set in a message for another data centre, which gateways
	// forward to a gateway there.
	ToDataCentre string
	Message      Message
}

// ConfigState summarises the contracts that are in force at a daemon.
type ConfigState struct {
	Digest   uint64 // of the customers and their contract versions
	Revision int64  // highest store revision applied
	Ready    bool   // the daemon has a complete contract set
}

// ServerKey is a 32-bit hash of a backend server's ID. It is used for load
// estimates only, where a collision merely adds the load of two servers.
type ServerKey uint32

// ServerWork is the outstanding work of one daemon at one backend server.
type ServerWork struct {
	Server      ServerKey
	Outstanding int
}

// Heartbeat is sent on every link each HeartbeatPeriod.
type Heartbeat struct {
	Sequence            uint64
	EchoedSequence      uint64        // highest sequence received from the receiver, 0 for none
	EchoAge             time.Duration // time since it was received
	ReceiverIncarnation Incarnation   // the receiver's incarnation that the sender knows
	MembersDigest       uint64
	Config              ConfigState
	// OutstandingWork is sent only within a data centre. Unless IsFullWork is
	// set it holds the changes since the previous heartbeat, with 0 for a
	// server without work.
	OutstandingWork []ServerWork
	IsFullWork      bool
}

// MemberInfo is a daemon and its state as seen by the sender.
type MemberInfo struct {
	Identity
	State MemberState
}

// MemberList is the membership of one data centre.
type MemberList struct {
	DataCentre string
	Version    int64 // increases with each change published by a daemon of that data centre
	Members    []MemberInfo
}

// Leave announces that the sender stops.
type Leave struct{}

// Contracts carries contracts and tombstones to a peer.
type Contracts struct {
	Contracts []core.StoredContract
	Revision  int64
	Full      bool // the message completes the sender's set
	Ready     bool // the sender's set is complete
}

// ContractVersion is the version of a contract at a daemon.
type ContractVersion struct {
	Customer core.CustomerID
	Version  int64
}

// ContractsRequest carries the sender's contract versions and requests the
// contracts of which the receiver has newer versions.
type ContractsRequest struct {
	Versions []ContractVersion
	Revision int64
}

// ServerReport is a load report of a backend server, as received by the daemon
// that polls it.
type ServerReport struct {
	Server  core.ServerID
	Age     time.Duration // time between the measurement and the sending of the message
	Running int
	Waiting int
	KVUsed  float64 // used fraction of the KV cache memory, 0 to 1
	// Unreachable means that the sender's polls failed; the other fields are
	// empty then.
	Unreachable bool
	// Description is the server's description of itself, encoded by the owner
	// of the load table. It is empty if it equals the one in the sender's last
	// report that carried a description.
	Description []byte
}

// LoadReports carries the reports of the servers that the sender polls.
type LoadReports struct{ Reports []ServerReport }

// ShareDemand requests grants from the shares owner of the data centre and
// confirms the base that the sender uses.
type ShareDemand struct {
	Sequence          uint64
	AllocationVersion int64  // of the base allocation that the sender applies
	BaseUnits         int64  // part of the bases that the sender uses; confirms a decrease
	BasesDigest       uint64 // of the bases that the sender knows
	Requested         []IndexedAmount
}

// IndexedAmount is an amount of the limit at an index of the sorted list of
// bases whose digest the message carries. Indexes replace names, which would
// take most of the message's bytes.
type IndexedAmount struct {
	Index uint32
	Units int64
}

// ShareAmount is an amount of a limit in share units.
type ShareAmount struct {
	Key   ShareKey
	Units int64
}

// ShareGrants is the shares owner's response to a ShareDemand.
type ShareGrants struct {
	Sequence          uint64        // of the demand
	Fence             int64         // fencing number of the shares owner's lease
	AllocationVersion int64         // object version of the base allocation
	BaseUnits         int64         // the receiver's part of the bases, in share units
	Bases             []ShareAmount // of the data centre, sorted; empty if the receiver has them
	// BaseConfirmed allows the receiver to use its base for BaseValidity from
	// the sending of the demand.
	BaseConfirmed bool
	// BasesDigest is copied from the demand. If the owner's digest differs, it
	// could not resolve the demand's indexes and Grants is empty.
	BasesDigest uint64
	Grants      []IndexedAmount // valid for GrantValidity from when the demand was sent
}

// ShareTransferRequest requests a part of another data centre's pool.
type ShareTransferRequest struct {
	DataCentre string // that requests the transfer
	Requested  []ShareAmount
}

// ShareTransferred notifies a data centre that its part of a customer's limits
// has grown in the store.
type ShareTransferred struct{ Customer core.CustomerID }

// HostEntry is a listed host, as seen by the daemon that polls the host list.
type HostEntry struct {
	platform.Host
	Age time.Duration // time between the last change of the entry and the sending of the message
}

// HostChanges carries changes of the sender's host list, or the whole list.
type HostChanges struct {
	Sequence uint64 // of the sender's list after the change
	Full     bool   // Hosts is the complete list
	Hosts    []HostEntry
	Removed  []string // names of hosts no longer listed
}

// HostDigest carries the digest of the sender's host list.
type HostDigest struct {
	Sequence uint64
	Digest   uint64
}

// HostListRequest requests the receiver's complete host list.
type HostListRequest struct{}

// SuspectRequest is a caller's request that was in flight when a backend
// server crashed.
type SuspectRequest struct {
	Fingerprint  uint64
	CrashesAlone int // crashes at which it was the only suspect on the server
	Remaining    time.Duration
}

// ConfirmedCause is a caller's request that is confirmed to crash backend
// servers.
type ConfirmedCause struct {
	Fingerprint uint64
	Remaining   time.Duration
}

// SuspectReport carries suspect requests and confirmed causes of crashes.
type SuspectReport struct {
	Suspects        []SuspectRequest
	ConfirmedCauses []ConfirmedCause
}

func (Heartbeat) message()            {}
func (MemberList) message()           {}
func (Leave) message()                {}
func (Contracts) message()            {}
func (ContractsRequest) message()     {}
func (LoadReports) message()          {}
func (ShareDemand) message()          {}
func (ShareGrants) message()          {}
func (ShareTransferRequest) message() {}
func (ShareTransferred) message()     {}
func (HostChanges) message()          {}
func (HostDigest) message()           {}
func (HostListRequest) message()      {}
func (SuspectReport) message()        {}
