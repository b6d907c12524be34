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

// Limit names one limit of a contract.
type Limit string

// Limits that are split between daemons.
const (
	LimitRequests    Limit = "requestsPerSecond"
	LimitTokens      Limit = "tokensPerSecond"
	LimitConcurrency Limit = "concurrency"
)

// ShareKey is one limit of one customer.
type ShareKey struct {
	Customer core.CustomerID
	Limit    Limit
}

// ShareUnits is the whole of a limit in share units. Parts are kept in units
// and not in amounts, so that a changed limit needs no new split.
const ShareUnits int64 = 1_000_000

// Timings of the shares.
const (
	// GrantValidity is how long a grant counts, from when it was asked for.
	GrantValidity = 3 * time.Second
	// grantMargin covers clocks that run at different rates over the validity.
	grantMargin = 300 * time.Millisecond
	// sharesPeriod lets one demand or answer be lost without the end of a grant.
	sharesPeriod = time.Second
	// demandValidity is how long a wish for more counts without being repeated.
	demandValidity = 3 * time.Second
	// BaseValidity is how long a daemon uses its base after the owner has
	// confirmed it, from when it asked. It covers a long outage of the store,
	// in which there is no owner.
	BaseValidity = 12 * time.Hour
	// silentPeriod is the unit in which owners count the silence of a daemon.
	silentPeriod = 15 * time.Minute
	// baseReleasePeriods is the silence after which a base is released: the
	// validity, and 4 periods more for a period that is counted once too often,
	// for clocks that run at different rates, and for a paused process.
	baseReleasePeriods = int(BaseValidity/silentPeriod) + 4
	// demandHeadroom lets a daemon's use grow between two demands.
	demandHeadroom = 1.25
)

// Capacities of the shares duty's rings.
const (
	shareMessageCapacity = 1024
	shareUseCapacity     = 1024
	// shareStoreCapacity also bounds the store calls in progress, so that no
	// result is refused.
	shareStoreCapacity = 256
)

// SharesListener receives how much of a limit this daemon may use. An amount
// with a zero validUntil is the base and counts until the next call. An amount
// with a validUntil includes the base and replaces it until then; the receiver
// compares validUntil with its clock at each use, because this duty may be
// paused. It must not wait.
type SharesListener func(customer core.CustomerID, limit Limit, amount float64, validUntil time.Time)

// SharesStore is the object API as the shares duty uses it.
type SharesStore interface {
	// Submit queues the operation and reports whether it did. Reply must not wait.
	Submit(op platform.Op) bool
}

// OwnerLease is the lease of the shares owner, as the holder knows it.
type OwnerLease struct {
	Fence      int64
	ValidUntil time.Time // the holder stops by this time of its own clock
}

type shareUse struct {
	key    ShareKey
	amount float64
}

type demand struct {
	amount float64
	at     time.Time
}

type grant struct {
	units      int64
	validUntil time.Time
}

type told struct {
	base   float64
	amount float64
	until  time.Time
}

// Shares is the duty that keeps this daemon's part of the limits and, while it
// holds the lease, divides those of its data centre.
//
// The sum over all daemons never exceeds the limit: the stored parts of the
// data centres never sum to more than ShareUnits; of a part, the stored base
// never moves between data centres and is divided by a stored roster; the rest,
// the pool, is used only under grants, which end by the receiver's own clock
// before the owner counts them as free.
type Shares struct {
	loop     *duty.Loop
	clock    duty.Clock
	log      *logrus.Entry
	link     Sender
	listener SharesListener

	messages  *ring.Ring[relayed]
	views     *ring.Ring[*MembersView]
	contracts *ring.Ring[*core.ContractSet]
	uses      *ring.Ring[shareUse]
	leases    *ring.Ring[OwnerLease]
	results   *ring.Ring[shareResult]

	self          Identity
	limits        map[ShareKey]float64
	demands       map[ShareKey]demand
	fence         int64
	owner         PeerID
	rosterVersion int64
	baseUnits     int64
	baseUntil     time.Time
	bases         map[ShareKey]int64
	table         []ShareKey // that the indexes of demands and grants refer to
	indexes       map[ShareKey]uint32
	basesDigest   uint64 // of the table with its bases
	grants        map[ShareKey]grant
	sequence      uint64
	applied       uint64
	sent          map[uint64]time.Time
	told          map[ShareKey]told

	ownership *shareOwner

	// The time limits of the base are shorter in tests.
	baseValidity time.Duration
	silentPeriod time.Duration
}

// NewShares returns the shares duty of the daemon with the given identity.
func NewShares(self Identity, clock duty.Clock, log *logrus.Entry, link Sender, store SharesStore, listener SharesListener) *Shares {
	s := &Shares{
		loop:      duty.New("shares", clock),
		clock:     clock,
		log:       log,
		link:      link,
		listener:  listener,
		messages:  ring.New[relayed]("shares.messages", shareMessageCapacity),
		views:     ring.New[*MembersView]("shares.views", 1),
		contracts: ring.New[*core.ContractSet]("shares.contracts", 1),
		uses:      ring.New[shareUse]("shares.uses", shareUseCapacity),
		leases:    ring.New[OwnerLease]("shares.leases", 1),
		results:   ring.New[shareResult]("shares.results", shareStoreCapacity),
		self:      self,
		limits:    map[ShareKey]float64{},
		demands:   map[ShareKey]demand{},
		bases:     map[ShareKey]int64{},
		grants:    map[ShareKey]grant{},
		sent:      map[uint64]time.Time{},
		told:      map[ShareKey]told{},

		baseValidity: BaseValidity,
		silentPeriod: silentPeriod,
	}
	s.ownership = newShareOwner(s, store)
	duty.On(s.loop, s.leases, s.ownership.handleLease)
	duty.On(s.loop, s.views, s.handleView)
	duty.On(s.loop, s.contracts, s.handleContracts)
	duty.On(s.loop, s.uses, s.handleUse)
	duty.On(s.loop, s.results, s.ownership.handleResult)
	duty.On(s.loop, s.messages, s.handleMessage)
	s.loop.Every(sharesPeriod, s.tick)
	return s
}

// Loop returns the duty's loop.
func (s *Shares) Loop() *duty.Loop { return s.loop }

// SetMembers takes the membership.
func (s *Shares) SetMembers(v *MembersView) { s.views.PutLatest(v) }

// SetContracts takes the contracts in force.
func (s *Shares) SetContracts(set *core.ContractSet) { s.contracts.PutLatest(set) }

// SetLease takes the lease of the shares owner after each acquisition and
// renewal. It is not called on a daemon that does not hold the lease.
func (s *Shares) SetLease(l OwnerLease) { s.leases.PutLatest(l) }

// ReportDemand takes how much of a limit this daemon would use if it could: the rate of
// arrivals, or the requests in flight and waiting.
func (s *Shares) ReportDemand(customer core.CustomerID, limit Limit, amount float64) {
	s.uses.PutLatest(shareUse{key: ShareKey{Customer: customer, Limit: limit}, amount: amount})
}

// Receive takes a message of another daemon; other kinds are ignored.
func (s *Shares) Receive(from Identity, m Message) {
	switch m.(type) {
	case ShareDemand, ShareGrants, ShareTransferRequest, ShareTransferred:
		s.messages.PutLatest(relayed{from: from, message: m})
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
	s.tell()
}

func (s *Shares) addLimit(customer core.CustomerID, limit Limit, amount float64) {
	if amount > 0 {
		s.limits[ShareKey{Customer: customer, Limit: limit}] = amount
	}
}

func (s *Shares) handleUse(u shareUse) {
	s.demands[u.key] = demand{amount: u.amount, at: s.clock.Now()}
}

func (s *Shares) handleMessage(r relayed) {
	switch m := r.message.(type) {
	case ShareDemand:
		s.ownership.handleDemand(r.from, m)
	case ShareGrants:
		s.applyGrants(r.from, m)
	case ShareTransferRequest, ShareTransferred:
		s.handleAbroad(r)
	}
}

// handleAbroad takes a message of another data centre, which reaches a gateway
// and is for the shares owner.
func (s *Shares) handleAbroad(r relayed) {
	if !s.ownership.holds() {
		if r.from.DataCentre != s.self.DataCentre && s.owner != s.self.ID() {
			s.link.Send(s.owner, r.message)
		}
		return
	}
	switch m := r.message.(type) {
	case ShareTransferRequest:
		s.ownership.handleAsk(m)
	case ShareTransferred:
		s.ownership.refresh(m.Customer)
	}
}

func (s *Shares) tick() {
	now := s.clock.Now()
	for key, g := range s.grants {
		if !now.Before(g.validUntil) {
			delete(s.grants, key)
		}
	}
	for key, d := range s.demands {
		if now.Sub(d.at) >= demandValidity {
			delete(s.demands, key)
		}
	}
	for sequence, at := range s.sent {
		if now.Sub(at) >= GrantValidity {
			delete(s.sent, sequence)
		}
	}
	s.tell()
	s.ownership.tick()
	s.demand(now)
}

// demand asks the owner for what the base does not cover. An empty demand also
// confirms the base that is held.
func (s *Shares) demand(now time.Time) {
	if s.owner == (PeerID{}) {
		return
	}
	s.sequence++
	s.sent[s.sequence] = now
	m := ShareDemand{
		Sequence: s.sequence, AllocationVersion: s.rosterVersion,
		BaseUnits: s.baseUnits, BasesDigest: s.basesDigest, Requested: s.wants(),
	}
	if s.owner == s.self.ID() {
		s.ownership.handleDemand(s.self, m)
		return
	}
	s.link.Send(s.owner, m)
}

func (s *Shares) wants() []IndexedAmount {
	var wants []IndexedAmount
	for key, d := range s.demands {
		limit := s.limits[key]
		index, known := s.indexes[key]
		if limit <= 0 || !known {
			continue
		}
		units := int64(min(d.amount*demandHeadroom/limit, 1) * float64(ShareUnits))
		if units -= s.base(key); units > 0 {
			wants = append(wants, IndexedAmount{Index: index, Units: units})
		}
	}
	sort.Slice(wants, func(i, j int) bool { return wants[i].Index < wants[j].Index })
	return wants
}

// base returns this daemon's base in units of the whole limit.
func (s *Shares) base(key ShareKey) int64 {
	if !s.clock.Now().Before(s.baseUntil) {
		return 0
	}
	return s.bases[key] * s.baseUnits / ShareUnits
}
