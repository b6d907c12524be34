package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the load duty.
const (
	loadRingCapacity = 1024
	// reportBatch bounds the delay of a report by batching; a backend server's
	// own lag is several times larger.
	reportBatch = 250 * time.Millisecond
	// workValidity drops the digest of a daemon that has gone silent.
	workValidity = DeadAfter
)

// LocalReport is a load report from this daemon's own poll.
type LocalReport struct {
	Server     core.ServerID
	MeasuredAt time.Time // when the server measured it
	Running    int
	Waiting    int
	KVUsed     float64

	Unreachable bool
	Description []byte // opaque to this package; empty in a peer's report means unchanged
}

// PeerReport is a load report that another daemon polled.
type PeerReport struct {
	LocalReport
	From PeerID
}

// ReportListener receives reports that other daemons polled. It must not wait.
type ReportListener func([]PeerReport)

// WorkListener receives, for each server, the outstanding work of all other
// daemons of the data centre. The map must not be changed. It must not wait.
type WorkListener func(map[ServerKey]int)

// Load is the duty that spreads load reports and sums up the digests of the
// other daemons' outstanding work.
type Load struct {
	loop     *duty.Loop
	clock    duty.Clock
	link     Sender
	local    *ring.Ring[LocalReport]
	relays   *ring.Ring[relayed]
	reports  ReportListener
	work     WorkListener
	pending  map[core.ServerID]LocalReport
	flushing bool
	digests  map[PeerID]workDigest
	changed  bool

	described map[core.ServerID]sentDescription // what was sent last of each server
}

type workDigest struct {
	at   time.Time
	work map[ServerKey]int
}

// fullWorkEvery is the number of heartbeats between whole work digests. The
// others carry changes only; a lost one blurs the load view until the next
// whole digest.
const fullWorkEvery = 10

// workSender chooses what of the work digest a heartbeat carries.
type workSender struct {
	current []ServerWork
	sent    map[ServerKey]int
	beats   int
}

// next returns the work for the next regular heartbeat, and whether it is whole.
func (s *workSender) next() ([]ServerWork, bool) {
	before := s.sent
	s.sent = make(map[ServerKey]int, len(s.current))
	var changes []ServerWork
	for _, w := range s.current {
		s.sent[w.Server] = w.Outstanding
		if before[w.Server] != w.Outstanding {
			changes = append(changes, w)
		}
	}
	for server := range before {
		if _, present := s.sent[server]; !present {
			changes = append(changes, ServerWork{Server: server})
		}
	}
	s.beats++
	if s.beats%fullWorkEvery == 0 {
		return s.current, true
	}
	return changes, false
}

// NewLoad returns the load duty.
func NewLoad(clock duty.Clock, link Sender, reports ReportListener, work WorkListener) *Load {
	l := &Load{
		loop:    duty.New("load", clock),
		clock:   clock,
		link:    link,
		local:   ring.New[LocalReport]("load.local", loadRingCapacity),
		relays:  ring.New[relayed]("load.relays", loadRingCapacity),
		reports: reports,
		work:    work,
		pending: map[core.ServerID]LocalReport{},
		digests: map[PeerID]workDigest{},

		described: map[core.ServerID]sentDescription{},
	}
	duty.On(l.loop, l.local, l.handleLocal)
	duty.On(l.loop, l.relays, l.handleRelay)
	l.loop.Every(reportBatch, l.publishWork)
	return l
}

// Loop returns the duty's loop.
func (l *Load) Loop() *duty.Loop { return l.loop }

// Report takes a report from this daemon's own poll.
// When the ring is full, only the newest report of each server is kept.
func (l *Load) Report(r LocalReport) {
	if l.local.TryPut(r) {
		return
	}
	newest := map[core.ServerID]LocalReport{r.Server: r}
	for held, ok := l.local.TryTake(); ok; held, ok = l.local.TryTake() {
		if known, present := newest[held.Server]; !present || held.MeasuredAt.After(known.MeasuredAt) {
			newest[held.Server] = held
		}
	}
	for _, kept := range newest {
		l.local.PutLatest(kept)
	}
}

// Receive takes a message of another daemon; other kinds are ignored.
func (l *Load) Receive(from Identity, m Message) {
	switch m.(type) {
	case Heartbeat, LoadReports, Leave:
		l.relays.PutLatest(relayed{from: from, message: m})
	}
}

func (l *Load) handleLocal(r LocalReport) {
	if r.MeasuredAt.Before(l.pending[r.Server].MeasuredAt) {
		return
	}
	l.pending[r.Server] = r
	if l.flushing {
		return
	}
	l.flushing = true
	l.loop.After(reportBatch, l.flush)
}

func (l *Load) flush() {
	l.flushing = false
	now := l.clock.Now()
	message := LoadReports{Reports: make([]ServerReport, 0, len(l.pending))}
	for _, r := range l.pending {
		message.Reports = append(message.Reports, ServerReport{
			Server: r.Server, Age: now.Sub(r.MeasuredAt), Running: r.Running, Waiting: r.Waiting, KVUsed: r.KVUsed,
			Unreachable: r.Unreachable, Description: l.changedDescription(r, now),
		})
	}
	clear(l.pending)
	l.link.Broadcast(message)
}

// describeEvery bounds how long a daemon that lost a message goes without a
// changed description. It is many times the period of the slowest polls, or
// almost every report would carry a description.
const describeEvery = 5 * time.Minute

type sentDescription struct {
	digest uint64
	at     time.Time
}

// changedDescription returns the description if it has changed or is due.
func (l *Load) changedDescription(r LocalReport, now time.Time) []byte {
	if len(r.Description) == 0 {
		return nil
	}
	sent, digest := l.described[r.Server], xxhash.Sum64(r.Description)
	if sent.digest == digest && now.Sub(sent.at) < describeEvery {
		return nil
	}
	l.described[r.Server] = sentDescription{digest: digest, at: now}
	return r.Description
}

func (l *Load) handleRelay(r relayed) {
	now := l.clock.Now()
	switch m := r.message.(type) {
	case Heartbeat:
		l.mergeWork(r.from.ID(), m)
	case Leave:
		delete(l.digests, r.from.ID())
		l.changed = true
	case LoadReports:
		reports := make([]PeerReport, 0, len(m.Reports))
		for _, s := range m.Reports {
			local := LocalReport{
				Server: s.Server, MeasuredAt: now.Add(-s.Age), Running: s.Running, Waiting: s.Waiting, KVUsed: s.KVUsed,
				Unreachable: s.Unreachable, Description: s.Description,
			}
			reports = append(reports, PeerReport{LocalReport: local, From: r.from.ID()})
		}
		l.reports(reports)
	}
}

func (l *Load) mergeWork(from PeerID, m Heartbeat) {
	d, known := l.digests[from]
	if !known {
		clear(l.described) // a daemon that has joined knows no descriptions
	}
	d.at = l.clock.Now()
	if d.work == nil || m.IsFullWork {
		d.work = make(map[ServerKey]int, len(m.OutstandingWork))
	}
	for _, w := range m.OutstandingWork {
		d.work[w.Server] = w.Outstanding
	}
	l.digests[from] = d
	l.changed = l.changed || m.IsFullWork || len(m.OutstandingWork) > 0
}

// publishWork sums up the digests once per batch period, not per heartbeat.
func (l *Load) publishWork() {
	now := l.clock.Now()
	for id, d := range l.digests {
		if now.Sub(d.at) >= workValidity {
			delete(l.digests, id)
			l.changed = true
		}
	}
	if !l.changed {
		return
	}
	l.changed = false
	total := map[ServerKey]int{}
	for _, d := range l.digests {
		for server, outstanding := range d.work {
			total[server] += outstanding
		}
	}
	l.work(total)
}
