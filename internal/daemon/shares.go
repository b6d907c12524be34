package daemon

import (
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limit identifies a limit of a contract.
type Limit string

// Limits that are split between daemons.
const (
	LimitRequests    Limit = "requestsPerSecond"
	LimitTokens      Limit = "tokensPerSecond"
	LimitConcurrency Limit = "concurrency"
)

// ShareKey identifies a limit of a customer.
type ShareKey struct {
	Customer core.CustomerID
	Limit    Limit
}

// ShareUnits is a whole limit in share units. Parts are stored in units and
// not in amounts, so that a changed limit needs no new split.
const ShareUnits int64 = 1_000_000

// Periods and validities of the shares.
const (
	// GrantValidity is how long a grant is valid, from the sending of its
	// demand.
	GrantValidity = 3 * time.Second
	// grantMargin is added to the owner's reservations. It covers clocks that
	// run at different rates during the validity.
	grantMargin = 300 * time.Millisecond
	// sharesPeriod is the period of demands. One lost demand or response does
	// not end a grant.
	sharesPeriod = time.Second
	// demandValidity is how long a demand is valid without being repeated.
	demandValidity = 3 * time.Second
	// BaseValidity is how long a daemon may use its base after the owner has
	// confirmed it, from the sending of its demand. It covers a long outage of
	// the store, during which there is no owner.
	BaseValidity = 12 * time.Hour
	// silentPeriod is the unit in which owners count how long a daemon has
	// been silent.
	silentPeriod = 15 * time.Minute
	// baseReleasePeriods is the number of silent periods after which a base is
	// released: the validity and 4 more periods, for a period counted once too
	// often, for clocks that run at different rates, and for a paused process.
	baseReleasePeriods = int(BaseValidity/silentPeriod) + 4
	// demandHeadroom is the factor on the demand that lets a daemon's usage
	// grow between two demands.
	demandHeadroom = 1.25
)

// Capacities of the shares duty's rings.
const (
	shareMessageCapacity = 1024
	localDemandCapacity  = 1024
	// shareStoreCapacity also bounds the store calls in progress, so that no
	// result is rejected.
	shareStoreCapacity = 256
)

// SharesListener receives how much of a limit this daemon may use. An amount
// with a zero validUntil is the base and is valid until the next call. An
// amount with a validUntil includes the base and replaces it until then; the
// receiver must compare validUntil with its clock at each use, because this
// duty may be paused. It must not block.
type SharesListener func(customer core.CustomerID, limit Limit, amount float64, validUntil time.Time)

// SharesStore is the part of the object API that the shares duty uses.
type SharesStore interface {
	// Submit queues the operation and reports whether it did. The operation's
	// Reply must not block.
	Submit(op platform.Op) bool
}

// OwnerLease is the lease of the shares owner as known to its holder.
type OwnerLease struct {
	Fence      int64
	ValidUntil time.Time // the holder stops acting as owner at this time of its own clock
}

type localDemand struct {
	key    ShareKey
	amount float64
}

type timedDemand struct {
	amount     float64
	receivedAt time.Time
}

type grant struct {
	units      int64
	validUntil time.Time
}

type publishedShare struct {
	base   float64
	amount float64
	until  time.Time
}

// Shares is the duty that owns this daemon's part of the limits and, while the
// daemon holds the lease, divides those of its data centre.
//
// The parts of all daemons never sum to more than the limit. The stored parts
// of the data centres sum to at most ShareUnits. Of each part, the base never
// moves between data centres and is divided by a stored allocation; the rest,
// the pool, is used only under grants, which end by the receiver's own clock
// before the owner considers them free.
type Shares struct {
	loop     *duty.Loop
	clock    duty.Clock
	log      *logrus.Entry
	sender   Sender
	listener SharesListener

	messages     *ring.Ring[peerMessage]
	views        *ring.Ring[*MembersView]
	contracts    *ring.Ring[*core.ContractSet]
	localDemands *ring.Ring[localDemand]
	leases       *ring.Ring[OwnerLease]
	results      *ring.Ring[storeResult]

	self              Identity
	limits            map[ShareKey]float64
	demands           map[ShareKey]timedDemand
	fence             int64
	owner             PeerID
	allocationVersion int64
	baseUnits         int64
	baseValidUntil    time.Time
	bases             map[ShareKey]int64
	limitTable        []ShareKey // limits at the indexes of demands and grants
	limitIndexes      map[ShareKey]uint32
	basesDigest       uint64 // of the limits in limitTable and their bases
	grants            map[ShareKey]grant
	sequence          uint64
	appliedSequence   uint64
	demandSentAt      map[uint64]time.Time
	published         map[ShareKey]publishedShare

	ownership *shareOwner

	// Tests set shorter times.
	baseValidity time.Duration
	silentPeriod time.Duration
}

// NewShares returns the shares duty of the daemon with the given identity.
func NewShares(self Identity, clock duty.Clock, log *logrus.Entry, sender Sender, store SharesStore, listener SharesListener) *Shares {
	s := &Shares{
		loop:         duty.New("shares", clock),
		clock:        clock,
		log:          log,
		sender:       sender,
		listener:     listener,
		messages:     ring.New[peerMessage]("shares.messages", shareMessageCapacity),
		views:        ring.New[*MembersView]("shares.views", 1),
		contracts:    ring.New[*core.ContractSet]("shares.contracts", 1),
		localDemands: ring.New[localDemand]("shares.uses", localDemandCapacity),
		leases:       ring.New[OwnerLease]("shares.leases", 1),
		results:      ring.New[storeResult]("shares.results", shareStoreCapacity),
		self:         self,
		limits:       map[ShareKey]float64{},
		demands:      map[ShareKey]timedDemand{},
		bases:        map[ShareKey]int64{},
		grants:       map[ShareKey]grant{},
		demandSentAt: map[uint64]time.Time{},
		published:    map[ShareKey]publishedShare{},

		baseValidity: BaseValidity,
		silentPeriod: silentPeriod,
	}
	s.ownership = newShareOwner(s, store)
	duty.On(s.loop, s.leases, s.ownership.handleLease)
	duty.On(s.loop, s.views, s.handleView)
	duty.On(s.loop, s.contracts, s.handleContracts)
	duty.On(s.loop, s.localDemands, s.handleLocalDemand)
	duty.On(s.loop, s.results, s.ownership.handleResult)
	duty.On(s.loop, s.messages, s.handleMessage)
	s.loop.Every(sharesPeriod, s.maintain)
	return s
}

// Loop returns the duty's loop.
func (s *Shares) Loop() *duty.Loop { return s.loop }

// SetMembers sets the current membership.
func (s *Shares) SetMembers(v *MembersView) { s.views.PutLatest(v) }

// SetContracts sets the contracts in force.
func (s *Shares) SetContracts(set *core.ContractSet) { s.contracts.PutLatest(set) }

// SetLease sets the lease of the shares owner after each acquisition and
// renewal. It is called only on the daemon that holds the lease.
func (s *Shares) SetLease(l OwnerLease) { s.leases.PutLatest(l) }

// ReportDemand reports how much of a limit this daemon would use without the
// limit: the rate of arrivals, or the number of requests in flight and
// waiting.
func (s *Shares) ReportDemand(customer core.CustomerID, limit Limit, amount float64) {
	s.localDemands.PutLatest(localDemand{key: ShareKey{Customer: customer, Limit: limit}, amount: amount})
}

// Receive queues a message of another daemon; types that the duty does not use
// are ignored.
func (s *Shares) Receive(from Identity, m Message) {
	switch m.(type) {
	case ShareDemand, ShareGrants, ShareTransferRequest, ShareTransferred:
		s.messages.PutLatest(peerMessage{from: from, message: m})
	}
}

func (s *Shares) handleView(v *MembersView) {
	s.self = v.Self
	s.ownership.view = v
}

func (s *Shares) handleContracts(set *core.ContractSet) {
	s.limits = map[ShareKey]float64{}
	for customer, stored := range set.Contracts {
		if stored.Contract == nil {
			continue
		}
		limits := stored.Contract.Limits
		s.addLimit(customer, LimitRequests, limits.RequestsPerSecond)
		s.addLimit(customer, LimitTokens, limits.TokensPerSecond)
		s.addLimit(customer, LimitConcurrency, float64(limits.Concurrency))
	}
	s.publishChanges()
}

func (s *Shares) addLimit(customer core.CustomerID, limit Limit, amount float64) {
	if amount > 0 {
		s.limits[ShareKey{Customer: customer, Limit: limit}] = amount
	}
}

func (s *Shares) handleLocalDemand(d localDemand) {
	s.demands[d.key] = timedDemand{amount: d.amount, receivedAt: s.clock.Now()}
}

func (s *Shares) handleMessage(r peerMessage) {
	switch m := r.message.(type) {
	case ShareDemand:
		s.ownership.handleDemand(r.from, m)
	case ShareGrants:
		s.applyGrants(r.from, m)
	case ShareTransferRequest, ShareTransferred:
		s.handleRemoteMessage(r)
	}
}

// handleRemoteMessage handles a message of another data centre. It arrives at
// a gateway, which forwards it to the shares owner.
func (s *Shares) handleRemoteMessage(r peerMessage) {
	if !s.ownership.holdsLease() {
		if r.from.DataCentre != s.self.DataCentre && s.owner != s.self.ID() {
			s.sender.Send(s.owner, r.message)
		}
		return
	}
	switch m := r.message.(type) {
	case ShareTransferRequest:
		s.ownership.handleTransferRequest(m)
	case ShareTransferred:
		s.ownership.refreshSplit(m.Customer)
	}
}

func (s *Shares) maintain() {
	now := s.clock.Now()
	for key, g := range s.grants {
		if !now.Before(g.validUntil) {
			delete(s.grants, key)
		}
	}
	for key, d := range s.demands {
		if now.Sub(d.receivedAt) >= demandValidity {
			delete(s.demands, key)
		}
	}
	for sequence, at := range s.demandSentAt {
		if now.Sub(at) >= GrantValidity {
			delete(s.demandSentAt, sequence)
		}
	}
	s.publishChanges()
	s.ownership.maintain()
	s.sendDemand(now)
}

// sendDemand requests from the owner what exceeds the base. An empty demand is
// sent too, because it renews the confirmation of the base.
func (s *Shares) sendDemand(now time.Time) {
	if s.owner == (PeerID{}) {
		return
	}
	s.sequence++
	s.demandSentAt[s.sequence] = now
	m := ShareDemand{
		Sequence: s.sequence, AllocationVersion: s.allocationVersion,
		BaseUnits: s.baseUnits, BasesDigest: s.basesDigest, Requested: s.requestedAmounts(),
	}
	if s.owner == s.self.ID() {
		s.ownership.handleDemand(s.self, m)
		return
	}
	s.sender.Send(s.owner, m)
}

func (s *Shares) requestedAmounts() []IndexedAmount {
	var requested []IndexedAmount
	for key, d := range s.demands {
		limit := s.limits[key]
		index, known := s.limitIndexes[key]
		if limit <= 0 || !known {
			continue
		}
		units := int64(min(d.amount*demandHeadroom/limit, 1) * float64(ShareUnits))
		if units -= s.baseOf(key); units > 0 {
			requested = append(requested, IndexedAmount{Index: index, Units: units})
		}
	}
	sort.Slice(requested, func(i, j int) bool { return requested[i].Index < requested[j].Index })
	return requested
}

// baseOf returns this daemon's part of the base, in units of the whole limit.
func (s *Shares) baseOf(key ShareKey) int64 {
	if !s.clock.Now().Before(s.baseValidUntil) {
		return 0
	}
	return s.bases[key] * s.baseUnits / ShareUnits
}
