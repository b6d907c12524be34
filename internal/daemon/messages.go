package daemon

import (
	"cmp"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// Incarnation tells the runs of a daemon apart. The later one has the higher
// start time; the random value decides between equal start times.
type Incarnation struct {
	Start  int64 // nanoseconds since 1970
	Random uint64
}

// Compare orders incarnations, the earlier one first.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Start, other.Start), cmp.Compare(i.Random, other.Random))
}

// Identity is one run of one daemon.
type Identity struct {
	Name        string // unique in the data centre
	DataCentre  string
	Address     string // of the peer listener
	Incarnation Incarnation
}

// PeerID names a daemon over all its runs.
type PeerID struct {
	DataCentre string
	Name       string
}

// ID returns the daemon's name without its run.
func (i Identity) ID() PeerID { return PeerID{DataCentre: i.DataCentre, Name: i.Name} }

// Message is one of the messages below.
type Message interface{ message() }

// Envelope is one message on a link.
type Envelope struct {
	From Identity
	// ToDataCentre is set for a message that gateways forward to a gateway of
	// that data centre.
	ToDataCentre string
	Message      Message
}

// ConfigState sums up the contracts in force at a daemon.
type ConfigState struct {
	Digest   uint64 // of customers and versions
	Revision int64  // highest store revision applied
	Ready    bool   // the daemon has a whole set
}

// ServerKey is a short hash of a backend server's ID. A collision only blurs
// the load view, since the key is used for nothing else.
type ServerKey uint32

// ServerWork is the outstanding work of one daemon at one backend server.
type ServerWork struct {
	Server      ServerKey
	Outstanding int
}

// Heartbeat is sent each HeartbeatPeriod on every link.
type Heartbeat struct {
	Sequence            uint64
	EchoedSequence      uint64        // highest sequence heard from the receiver, 0 for none
	EchoAge             time.Duration // since it was heard
	ReceiverIncarnation Incarnation   // of the receiver, as the sender knows it
	MembersDigest       uint64
	Config              ConfigState
	// OutstandingWork is sent only within a data centre. Unless WorkFull is set it holds
	// what has changed since the heartbeat before, with 0 for no work.
	OutstandingWork []ServerWork
	IsFullWork      bool
}

// MemberInfo is a daemon as another daemon knows it.
type MemberInfo struct {
	Identity
	State MemberState
}

// MemberList is the membership of one data centre.
type MemberList struct {
	DataCentre string
	Version    int64 // grows with each change made by a daemon of that data centre
	Members    []MemberInfo
}

// Leave says that the sender stops.
type Leave struct{}

// Contracts carries contracts and tombstones.
type Contracts struct {
	Contracts []core.StoredContract
	Revision  int64
	Full      bool // the whole set of the sender
	Ready     bool // the sender has a whole set
}

// ContractVersion is the version of one contract at a daemon.
type ContractVersion struct {
	Customer core.CustomerID
	Version  int64
}

// ContractsRequest asks for the contracts that are newer at the receiver.
type ContractsRequest struct {
	Versions []ContractVersion
	Revision int64
}

// ServerReport is a backend server's load report, as its poller received it.
type ServerReport struct {
	Server  core.ServerID
	Age     time.Duration // since the server measured it, when the message was sent
	Running int
	Waiting int
	KVUsed  float64 // share of the cache memory in use, 0 to 1
	// Unreachable says that the sender's polls failed; the other fields are empty then.
	Unreachable bool
	// Description is what the server says of itself, encoded by the owner of the
	// load table. It is empty when it is the same as in the sender's last report
	// that carried one.
	Description []byte
}

// LoadReports carries the reports of the servers that the sender polls.
type LoadReports struct{ Reports []ServerReport }

// ShareDemand asks the shares owner of the data centre for grants.
type ShareDemand struct {
	Sequence          uint64
	AllocationVersion int64  // of the roster that the sender holds
	BaseUnits         int64  // that the sender uses of it; confirms a decrease
	BasesDigest       uint64 // of the bases that the sender holds
	Requested         []IndexedAmount
}

// IndexedAmount is an amount of the limit at the index in the list of bases
// whose digest the message carries. Names would be most of the bytes.
type IndexedAmount struct {
	Index uint32
	Units int64
}

// ShareAmount is an amount of one limit in share units.
type ShareAmount struct {
	Key   ShareKey
	Units int64
}

// ShareGrants answers a ShareDemand.
type ShareGrants struct {
	Sequence          uint64        // of the demand
	Fence             int64         // of the shares owner's lease
	AllocationVersion int64         // object version of the roster
	BaseUnits         int64         // the receiver's part of the bases
	Bases             []ShareAmount // of the data centre, sorted; empty when the receiver has them
	// BaseConfirmed says that the receiver may use its base for BaseValidity
	// from when the demand was sent.
	BaseConfirmed bool
	// BasesDigest is that of the demand. Unless the owner's is the same, the
	// demand was not understood and Grants says nothing.
	BasesDigest uint64
	Grants      []IndexedAmount // valid for GrantValidity from when the demand was sent
}

// ShareTransferRequest asks another data centre to give part of its pool.
type ShareTransferRequest struct {
	DataCentre string // that asks
	Requested  []ShareAmount
}

// ShareTransferred tells a data centre that its part has grown in the store.
type ShareTransferred struct{ Customer core.CustomerID }

// HostEntry is a listed host, as its poller saw it.
type HostEntry struct {
	platform.Host
	Age time.Duration // since the poller saw the entry change, when the message was sent
}

// HostChanges carries what has changed in the sender's host list.
type HostChanges struct {
	Sequence uint64 // of the sender's list after the change
	Full     bool   // Hosts is the whole list
	Hosts    []HostEntry
	Removed  []string // names of hosts no longer listed
}

// HostDigest sums up the sender's host list.
type HostDigest struct {
	Sequence uint64
	Digest   uint64
}

// HostListRequest asks for the whole host list of the receiver.
type HostListRequest struct{}

// SuspectRequest is a request that was in flight when a backend server crashed.
type SuspectRequest struct {
	Fingerprint  uint64
	CrashesAlone int // crashes while it was the only suspect on the server
	Remaining    time.Duration
}

// ConfirmedCause is a request that is the confirmed cause of crashes.
type ConfirmedCause struct {
	Fingerprint uint64
	Remaining   time.Duration
}

// SuspectReport spreads crash suspects.
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
