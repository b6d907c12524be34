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
	// endedRequestRingCapacity holds several seconds of ended requests at the
	// target's peak load of 2,000 requests/s over all daemons.
	endedRequestRingCapacity = 16384
	latestRingCapacity       = 4 // updates; the newest one replaces the others
	queryRingCapacity        = 256
	maxRequestRecords        = 4096 // requests; the records that Explain can find
)

// DutyStatus is the state of one duty and its rings.
type DutyStatus struct {
	Name    string       `json:"name"`
	Handled uint64       `json:"handled"` // events handled since the start
	Rings   []RingStatus `json:"rings"`
}

// RingStatus is the state of one ring. Its counters are totals since the start.
type RingStatus struct {
	Name     string `json:"name"`
	Capacity int    `json:"capacity"`
	Depth    int    `json:"depth"`
	Peak     int    `json:"peak"`
	Put      uint64 `json:"put"`
	Refused  uint64 `json:"refused"`
	Dropped  uint64 `json:"dropped"`
}

// ServerStatus is the daemon's view of one backend server.
type ServerStatus struct {
	ID         core.ServerID `json:"id"`
	Address    string        `json:"address"`
	DataCentre string        `json:"dataCentre,omitempty"`
	Service    string        `json:"service,omitempty"`
	Kind       string        `json:"kind,omitempty"`
	State      string        `json:"state"` // "live" or "leaving"
}

// LeaseStatus is a lease held by the daemon.
type LeaseStatus struct {
	Name    string    `json:"name"`
	Fencing int64     `json:"fencing"`
	Until   time.Time `json:"until"`
}

// ContractStatus is the version of a customer's contract that is in force.
type ContractStatus struct {
	Customer core.CustomerID `json:"customer"`
	Version  int64           `json:"version"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// StatusReport is the state of one daemon, as the status command prints it.
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

// VersionInForce returns the version of the customer's contract that is in force
// at the daemon, or 0 if there is none.
func (r StatusReport) VersionInForce(customer core.CustomerID) int64 {
	for _, c := range r.Contracts {
		if c.Customer == customer {
			return c.Version
		}
	}
	return 0
}

// Identity names a daemon and its location; it is fixed at startup.
type Identity struct {
	Daemon     string
	DataCentre string
	Region     string
	Version    string
}

type statusQuery struct {
	wantsBurn bool
	requestID core.RequestID
}

type statusReply struct {
	report StatusReport
	burn   BurnReport
	record RequestRecord
	found  bool
}

// Status is the duty that collects the state of the other duties, the burn rates
// of the objectives and the records of recent requests.
type Status struct {
	loop            *duty.Loop
	endedRequests   *ring.Ring[RequestRecord]
	contractUpdates *ring.Ring[*core.ContractSet]
	serverUpdates   *ring.Ring[[]ServerStatus]
	leaseUpdates    *ring.Ring[[]LeaseStatus]
	queries         *duty.QueryRing[statusQuery, statusReply]
	dutyStatuses    func() []DutyStatus
	drainState      func() DrainState
	countRequest    func(RequestRecord)

	identity  Identity
	started   time.Time
	contracts *core.ContractSet
	servers   []ServerStatus
	leases    []LeaseStatus
	burn      *burnTracker
	records   *recordBuffer
}

// NewStatus returns the status duty. dutyStatuses returns the counters of all
// duties; it is called on the duty's goroutine and must not block.
func NewStatus(clock duty.Clock, identity Identity, dutyStatuses func() []DutyStatus) *Status {
	s := &Status{
		loop:            duty.New("status", clock),
		endedRequests:   ring.New[RequestRecord]("status.ends", endedRequestRingCapacity),
		contractUpdates: ring.New[*core.ContractSet]("status.contracts", latestRingCapacity),
		serverUpdates:   ring.New[[]ServerStatus]("status.servers", latestRingCapacity),
		leaseUpdates:    ring.New[[]LeaseStatus]("status.leases", latestRingCapacity),
		queries:         duty.NewQueryRing[statusQuery, statusReply]("status.queries", queryRingCapacity),
		dutyStatuses:    dutyStatuses,
		drainState:      func() DrainState { return DrainState{} },
		countRequest:    func(RequestRecord) {},
		identity:        identity,
		started:         clock.Now(),
		burn:            newBurnTracker(),
		records:         newRecordBuffer(maxRequestRecords),
	}
	duty.On(s.loop, s.contractUpdates, s.handleContracts)
	duty.On(s.loop, s.serverUpdates, func(list []ServerStatus) { s.servers = list })
	duty.On(s.loop, s.leaseUpdates, func(list []LeaseStatus) { s.leases = list })
	duty.On(s.loop, s.endedRequests, s.handleEndedRequest)
	duty.OnQuery(s.loop, s.queries, s.handleQuery)
	return s
}

// Loop returns the duty's loop.
func (s *Status) Loop() *duty.Loop { return s.loop }

// SetDrainSource sets the function that returns the drain state. It must be called
// before the loop runs.
func (s *Status) SetDrainSource(state func() DrainState) { s.drainState = state }

// SetRequestCounter sets a function that is called for each ended request of a
// customer with a contract. It must be set before the loop runs, and the function
// must not block.
func (s *Status) SetRequestCounter(count func(RequestRecord)) { s.countRequest = count }

// RecordRequest enqueues the record of an ended request without blocking. A record
// that finds the ring full is dropped and counted as missed in the burn report.
func (s *Status) RecordRequest(record RequestRecord) { s.endedRequests.TryPut(record) }

// SetContracts replaces the contracts in force. It does not block.
func (s *Status) SetContracts(set *core.ContractSet) { s.contractUpdates.PutLatest(set) }

// SetServers replaces the known backend servers. It does not block.
func (s *Status) SetServers(list []ServerStatus) { s.serverUpdates.PutLatest(list) }

// SetLeases replaces the leases held by the daemon. It does not block.
func (s *Status) SetLeases(list []LeaseStatus) { s.leaseUpdates.PutLatest(list) }

// Report returns the state of the daemon. It waits for the duty's reply, so only
// request handlers may call it.
func (s *Status) Report(ctx context.Context) (StatusReport, error) {
	reply, err := s.queries.Do(ctx, statusQuery{})
	return reply.report, err
}

// Burn returns the daemon's burn report. It waits for the duty's reply, so only
// request handlers may call it.
func (s *Status) Burn(ctx context.Context) (BurnReport, error) {
	reply, err := s.queries.Do(ctx, statusQuery{wantsBurn: true})
	return reply.burn, err
}

// Explain returns the record of a recent request, or a not-found error. It waits
// for the duty's reply, so only request handlers may call it.
func (s *Status) Explain(ctx context.Context, id core.RequestID) (RequestRecord, error) {
	reply, err := s.queries.Do(ctx, statusQuery{requestID: id})
	if err == nil && !reply.found {
		err = RequestNotFound(id)
	}
	return reply.record, err
}

// RequestNotFound returns the not-found error for a request without a record.
func RequestNotFound(id core.RequestID) *core.Error {
	return core.NotRunError(core.CodeNotFound, "this daemon has no record of request %q: it keeps its last %d requests", id, maxRequestRecords)
}

func (s *Status) handleContracts(set *core.ContractSet) {
	s.contracts = set
	s.burn.setContracts(set)
}

func (s *Status) handleEndedRequest(record RequestRecord) {
	s.burn.add(s.loop.Clock().Now(), record)
	// Only customers with a contract are counted: callers can make up other names,
	// which would create an unbounded number of metrics.
	if s.contracts.Lookup(record.Customer) != nil {
		s.countRequest(record)
	}
	s.records.add(record)
}

func (s *Status) handleQuery(query duty.Query[statusQuery, statusReply]) {
	params := query.Params
	switch {
	case params.requestID != "":
		record, found := s.records.find(params.requestID)
		query.Reply(statusReply{record: record, found: found})
	case params.wantsBurn:
		now := s.loop.Clock().Now()
		query.Reply(statusReply{burn: BurnReport{
			At:         now,
			Daemons:    []string{s.identity.Daemon},
			Missed:     s.endedRequests.Stats().Refused,
			Objectives: s.burn.report(now),
		}})
	default:
		query.Reply(statusReply{report: s.report()})
	}
}

func (s *Status) report() StatusReport {
	r := StatusReport{
		Daemon: s.identity.Daemon, DataCentre: s.identity.DataCentre, Region: s.identity.Region, Version: s.identity.Version,
		Started:   s.started,
		Uptime:    core.Duration(s.loop.Clock().Now().Sub(s.started).Round(time.Millisecond)),
		Drain:     s.drainState(),
		Duties:    s.dutyStatuses(),
		Servers:   append([]ServerStatus{}, s.servers...),
		Contracts: []ContractStatus{},
		Leases:    append([]LeaseStatus{}, s.leases...),
	}
	if s.contracts != nil {
		for customer, c := range s.contracts.Contracts {
			r.Contracts = append(r.Contracts, ContractStatus{Customer: customer, Version: c.Version, Deleted: c.Deleted})
		}
	}
	sort.Slice(r.Contracts, func(i, j int) bool { return r.Contracts[i].Customer < r.Contracts[j].Customer })
	return r
}

// DutyStatusOf returns the current counters of a duty's loop and its rings.
func DutyStatusOf(l *duty.Loop) DutyStatus {
	status := DutyStatus{Name: l.Name(), Handled: l.Handled()}
	for _, r := range l.RingStats() {
		status.Rings = append(status.Rings, RingStatus(r))
	}
	return status
}

// recordBuffer is a circular buffer of the newest records with an index by request
// ID.
type recordBuffer struct {
	records []RequestRecord
	next    int
	byID    map[core.RequestID]int
}

func newRecordBuffer(capacity int) *recordBuffer {
	return &recordBuffer{records: make([]RequestRecord, capacity), byID: map[core.RequestID]int{}}
}

// add overwrites the oldest record. If two requests have the same ID, find returns
// the newer one.
func (b *recordBuffer) add(record RequestRecord) {
	oldestID := b.records[b.next].ID
	if index, ok := b.byID[oldestID]; ok && index == b.next {
		delete(b.byID, oldestID)
	}
	b.records[b.next] = record
	b.byID[record.ID] = b.next
	b.next = (b.next + 1) % len(b.records)
}

func (b *recordBuffer) find(id core.RequestID) (RequestRecord, bool) {
	index, ok := b.byID[id]
	if !ok {
		return RequestRecord{}, false
	}
	return b.records[index], true
}

// Text returns the record in the text format of the explain command.
func (r RequestRecord) Text() string {
	text := fmt.Sprintf("request   %s\ncustomer  %s\nservice   %s %s%s\nclass     %s\nstarted   %s\nlatency   %s\nverdict   %s\nserver    %s\nattempts  %d\n",
		r.ID, r.Customer, r.Service, r.Operation, r.Model, r.Class, r.Started.UTC().Format(time.RFC3339Nano),
		time.Duration(r.Latency), r.Verdict, dashIfEmpty(string(r.Server)), r.Attempts)
	if r.Code != "" {
		text += fmt.Sprintf("error     %s: %s\n", r.Code, r.Reason)
	}
	for i, line := range r.Trace {
		text += fmt.Sprintf("  %2d  %s\n", i+1, line)
	}
	return text
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
