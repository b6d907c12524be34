package operator

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Capacities of the status duty.
const (
	// endRingCapacity is several seconds of ends at the target's peak load of
	// 2,000 requests/s over all daemons.
	endRingCapacity   = 16384
	latestCapacity    = 4 // of rings in which only the newest value counts
	queryRingCapacity = 256
	keptRecords       = 4096 // requests that Explain can find
)

// DutyStatus is the state of one duty.
type DutyStatus struct {
	Name    string       `json:"name"`
	Handled uint64       `json:"handled"` // events since the start
	Rings   []RingStatus `json:"rings"`
}

// RingStatus is the state of one ring.
type RingStatus struct {
	Name     string `json:"name"`
	Capacity int    `json:"capacity"`
	Depth    int    `json:"depth"`
	Peak     int    `json:"peak"`
	Put      uint64 `json:"put"`
	Refused  uint64 `json:"refused"`
	Dropped  uint64 `json:"dropped"`
}

// ServerStatus is what the daemon knows of one backend server.
type ServerStatus struct {
	ID         core.ServerID `json:"id"`
	Address    string        `json:"address"`
	DataCentre string        `json:"dataCentre,omitempty"`
	Service    string        `json:"service,omitempty"`
	Kind       string        `json:"kind,omitempty"`
	State      string        `json:"state"` // "live" or "leaving"
}

// LeaseStatus is a lease that the daemon holds.
type LeaseStatus struct {
	Name    string    `json:"name"`
	Fencing int64     `json:"fencing"`
	Until   time.Time `json:"until"`
}

// ContractStatus is a contract in force.
type ContractStatus struct {
	Customer core.CustomerID `json:"customer"`
	Version  int64           `json:"version"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// StatusReport is the state of one daemon.
type StatusReport struct {
	Daemon     string           `json:"daemon"`
	DataCentre string           `json:"dataCentre"`
	Region     string           `json:"region"`
	Version    string           `json:"version"`
	Started    time.Time        `json:"started"`
	Uptime     core.Duration    `json:"uptime"`
	Drain      DrainState       `json:"drain"`
	Duties     []DutyStatus     `json:"duties"`
	Servers    []ServerStatus   `json:"servers"`
	Contracts  []ContractStatus `json:"contracts"`
	Leases     []LeaseStatus    `json:"leases"`
}

// VersionInForce returns the version of the customer's contract in force, or 0.
func (r StatusReport) VersionInForce(customer core.CustomerID) int64 {
	for _, c := range r.Contracts {
		if c.Customer == customer {
			return c.Version
		}
	}
	return 0
}

// Identity is what a daemon knows of itself from the start.
type Identity struct {
	Daemon     string
	DataCentre string
	Region     string
	Version    string
}

type statusQuery struct {
	burn    bool
	explain core.RequestID
}

type statusAnswer struct {
	report StatusReport
	burn   BurnReport
	record RequestRecord
	found  bool
}

// Status is the duty that collects the state of the other duties, the burn of
// the objectives and the recent requests.
type Status struct {
	loop      *duty.Loop
	ends      *ring.Ring[RequestRecord]
	contracts *ring.Ring[*core.ContractSet]
	servers   *ring.Ring[[]ServerStatus]
	leases    *ring.Ring[[]LeaseStatus]
	queries   *duty.QueryRing[statusQuery, statusAnswer]
	duties    func() []DutyStatus
	drain     func() DrainState
	count     func(RequestRecord)

	identity Identity
	started  time.Time
	set      *core.ContractSet
	known    []ServerStatus
	held     []LeaseStatus
	burn     *burnBook
	records  *recordBook
}

// NewStatus returns the status duty. duties reads the counters of all duties.
func NewStatus(clock duty.Clock, identity Identity, duties func() []DutyStatus) *Status {
	s := &Status{
		loop:      duty.New("status", clock),
		ends:      ring.New[RequestRecord]("status.ends", endRingCapacity),
		contracts: ring.New[*core.ContractSet]("status.contracts", latestCapacity),
		servers:   ring.New[[]ServerStatus]("status.servers", latestCapacity),
		leases:    ring.New[[]LeaseStatus]("status.leases", latestCapacity),
		queries:   duty.NewQueryRing[statusQuery, statusAnswer]("status.queries", queryRingCapacity),
		duties:    duties,
		drain:     func() DrainState { return DrainState{} },
		count:     func(RequestRecord) {},
		identity:  identity,
		started:   clock.Now(),
		burn:      newBurnBook(),
		records:   newRecordBook(keptRecords),
	}
	duty.On(s.loop, s.contracts, s.handleContracts)
	duty.On(s.loop, s.servers, func(list []ServerStatus) { s.known = list })
	duty.On(s.loop, s.leases, func(list []LeaseStatus) { s.held = list })
	duty.On(s.loop, s.ends, s.handleEnd)
	duty.OnQuery(s.loop, s.queries, s.handleQuery)
	return s
}

// Loop returns the duty's loop.
func (s *Status) Loop() *duty.Loop { return s.loop }

// SetDrainSource sets the source of the drain state. It is called before the loop runs.
func (s *Status) SetDrainSource(state func() DrainState) { s.drain = state }

// SetRequestCounter sets a function that counts the ends of requests of customers with
// a contract. It is called before the loop runs; the function must not wait.
func (s *Status) SetRequestCounter(count func(RequestRecord)) { s.count = count }

// RecordRequest takes the end of a request. An end that finds the ring full is counted
// as missed by the burn report.
func (s *Status) RecordRequest(e RequestRecord) { s.ends.TryPut(e) }

// SetContracts takes the contracts in force.
func (s *Status) SetContracts(set *core.ContractSet) { s.contracts.PutLatest(set) }

// SetServers takes the backend servers as they are known now.
func (s *Status) SetServers(list []ServerStatus) { s.servers.PutLatest(list) }

// SetLeases takes the leases that the daemon holds.
func (s *Status) SetLeases(list []LeaseStatus) { s.leases.PutLatest(list) }

// Report returns the state of the daemon. Only handlers may call it, since it waits.
func (s *Status) Report(ctx context.Context) (StatusReport, error) {
	a, err := s.queries.Do(ctx, statusQuery{})
	return a.report, err
}

// Burn returns the burn report. Only handlers may call it, since it waits.
func (s *Status) Burn(ctx context.Context) (BurnReport, error) {
	a, err := s.queries.Do(ctx, statusQuery{burn: true})
	return a.burn, err
}

// Explain returns the record of a recent request. Only handlers may call it,
// since it waits.
func (s *Status) Explain(ctx context.Context, id core.RequestID) (RequestRecord, error) {
	a, err := s.queries.Do(ctx, statusQuery{explain: id})
	if err == nil && !a.found {
		err = RequestNotFound(id)
	}
	return a.record, err
}

// RequestNotFound returns the error for a request without a record.
func RequestNotFound(id core.RequestID) *core.Error {
	return core.NotRunError(core.CodeNotFound, "this daemon has no record of request %q: it keeps its last %d requests", id, keptRecords)
}

func (s *Status) handleContracts(set *core.ContractSet) {
	s.set = set
	s.burn.setContracts(set)
}

func (s *Status) handleEnd(e RequestRecord) {
	s.burn.add(s.loop.Clock().Now(), e)
	// Customers without a contract are not counted: anyone may invent them.
	if s.set.Lookup(e.Customer) != nil {
		s.count(e)
	}
	s.records.add(e)
}

func (s *Status) handleQuery(ask duty.Query[statusQuery, statusAnswer]) {
	q := ask.Params
	switch {
	case q.explain != "":
		record, found := s.records.find(q.explain)
		ask.Reply(statusAnswer{record: record, found: found})
	case q.burn:
		now := s.loop.Clock().Now()
		ask.Reply(statusAnswer{burn: BurnReport{
			At:         now,
			Daemons:    []string{s.identity.Daemon},
			Missed:     s.ends.Stats().Refused,
			Objectives: s.burn.report(now),
		}})
	default:
		ask.Reply(statusAnswer{report: s.report()})
	}
}

func (s *Status) report() StatusReport {
	r := StatusReport{
		Daemon: s.identity.Daemon, DataCentre: s.identity.DataCentre, Region: s.identity.Region, Version: s.identity.Version,
		Started:   s.started,
		Uptime:    core.Duration(s.loop.Clock().Now().Sub(s.started).Round(time.Millisecond)),
		Drain:     s.drain(),
		Duties:    s.duties(),
		Servers:   append([]ServerStatus{}, s.known...),
		Contracts: []ContractStatus{},
		Leases:    append([]LeaseStatus{}, s.held...),
	}
	if s.set != nil {
		for customer, c := range s.set.Contracts {
			r.Contracts = append(r.Contracts, ContractStatus{Customer: customer, Version: c.Version, Deleted: c.Deleted})
		}
	}
	sort.Slice(r.Contracts, func(i, j int) bool { return r.Contracts[i].Customer < r.Contracts[j].Customer })
	return r
}

// DutyStatusOf reads the counters of a duty's loop.
func DutyStatusOf(l *duty.Loop) DutyStatus {
	status := DutyStatus{Name: l.Name(), Handled: l.Handled()}
	for _, r := range l.RingStats() {
		status.Rings = append(status.Rings, RingStatus(r))
	}
	return status
}

// recordBook keeps the newest records up to its capacity.
type recordBook struct {
	records []RequestRecord
	next    int
	byID    map[core.RequestID]int
}

func newRecordBook(capacity int) *recordBook {
	return &recordBook{records: make([]RequestRecord, capacity), byID: map[core.RequestID]int{}}
}

// add stores the record in place of the oldest. Of two requests with one ID the
// newer is found.
func (b *recordBook) add(e RequestRecord) {
	old := b.records[b.next].ID
	if at, ok := b.byID[old]; ok && at == b.next {
		delete(b.byID, old)
	}
	b.records[b.next] = e
	b.byID[e.ID] = b.next
	b.next = (b.next + 1) % len(b.records)
}

func (b *recordBook) find(id core.RequestID) (RequestRecord, bool) {
	at, ok := b.byID[id]
	if !ok {
		return RequestRecord{}, false
	}
	return b.records[at], true
}

// Text returns the record for people.
func (e RequestRecord) Text() string {
	text := fmt.Sprintf("request   %s\ncustomer  %s\nservice   %s %s%s\nclass     %s\nstarted   %s\nlatency   %s\nverdict   %s\nserver    %s\nattempts  %d\n",
		e.ID, e.Customer, e.Service, e.Operation, e.Model, e.Class, e.Started.UTC().Format(time.RFC3339Nano),
		time.Duration(e.Latency), e.Verdict, orDash(string(e.Server)), e.Attempts)
	if e.Code != "" {
		text += fmt.Sprintf("error     %s: %s\n", e.Code, e.Reason)
	}
	for i, line := range e.Trace {
		text += fmt.Sprintf("  %2d  %s\n", i+1, line)
	}
	return text
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
