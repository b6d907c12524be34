package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Ring capacity and periods of the load duty.
const (
	loadRingCapacity = 1024
	// reportBatchPeriod is how long reports are collected for one message. The
	// delay is small against the lag of a backend server's own measurements,
	// which is several times larger.
	reportBatchPeriod = 250 * time.Millisecond
	// workValidity is how long the work of a silent daemon is included.
	workValidity = DeadAfter
)

// LocalReport is a load report from a poll of this daemon.
type LocalReport struct {
	Server     core.ServerID
	MeasuredAt time.Time // time of the server's measurement
	Running    int
	Waiting    int
	KVUsed     float64

	Unreachable bool
	Description []byte // opaque to this package; empty in a peer's report if unchanged
}

// PeerReport is a load report from a poll of another daemon.
type PeerReport struct {
	LocalReport
	From PeerID
}

// ReportListener receives the reports that other daemons polled. It must not
// block.
type ReportListener func([]PeerReport)

// WorkListener receives the outstanding work of all other daemons of the data
// centre for each server. It must not change the map and must not block.
type WorkListener func(map[ServerKey]int)

// Load is the duty that broadcasts load reports and sums the outstanding work
// of the other daemons.
type Load struct {
	loop             *duty.Loop
	clock            duty.Clock
	sender           Sender
	local            *ring.Ring[LocalReport]
	peerMessages     *ring.Ring[peerMessage]
	reportListener   ReportListener
	workListener     WorkListener
	pending          map[core.ServerID]LocalReport
	isFlushScheduled bool
	peerWork         map[PeerID]peerWork
	hasWorkChanged   bool

	sentDescriptions map[core.ServerID]sentDescription // last description sent for each server
}

type peerWork struct {
	receivedAt time.Time
	work       map[ServerKey]int
}

// heartbeatsPerFullWork is the interval of heartbeats that carry the complete
// work. The others carry changes only; if one is lost, the load estimate is
// inexact until the next complete one.
const heartbeatsPerFullWork = 10

// workEncoder decides which part of the work a heartbeat carries.
type workEncoder struct {
	current    []ServerWork
	sent       map[ServerKey]int
	heartbeats int
}

// nextWork returns the work for the next regular heartbeat and whether it is
// complete.
func (s *workEncoder) nextWork() ([]ServerWork, bool) {
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
	s.heartbeats++
	if s.heartbeats%heartbeatsPerFullWork == 0 {
		return s.current, true
	}
	return changes, false
}

// NewLoad returns the load duty.
func NewLoad(clock duty.Clock, sender Sender, reportListener ReportListener, workListener WorkListener) *Load {
	l := &Load{
		loop:           duty.New("load", clock),
		clock:          clock,
		sender:         sender,
		local:          ring.New[LocalReport]("load.local", loadRingCapacity),
		peerMessages:   ring.New[peerMessage]("load.relays", loadRingCapacity),
		reportListener: reportListener,
		workListener:   workListener,
		pending:        map[core.ServerID]LocalReport{},
		peerWork:       map[PeerID]peerWork{},

		sentDescriptions: map[core.ServerID]sentDescription{},
	}
	duty.On(l.loop, l.local, l.handleLocal)
	duty.On(l.loop, l.peerMessages, l.handlePeerMessage)
	l.loop.Every(reportBatchPeriod, l.publishWork)
	return l
}

// Loop returns the duty's loop.
func (l *Load) Loop() *duty.Loop { return l.loop }

// Report queues a report from a poll of this daemon. When the ring is full,
// only the newest report of each server is kept.
func (l *Load) Report(r LocalReport) {
	if l.local.TryPut(r) {
		return
	}
	newest := map[core.ServerID]LocalReport{r.Server: r}
	for queued, ok := l.local.TryTake(); ok; queued, ok = l.local.TryTake() {
		if known, present := newest[queued.Server]; !present || queued.MeasuredAt.After(known.MeasuredAt) {
			newest[queued.Server] = queued
		}
	}
	for _, kept := range newest {
		l.local.PutLatest(kept)
	}
}

// Receive queues a message of another daemon; types that the duty does not use
// are ignored.
func (l *Load) Receive(from Identity, m Message) {
	switch m.(type) {
	case Heartbeat, LoadReports, Leave:
		l.peerMessages.PutLatest(peerMessage{from: from, message: m})
	}
}

func (l *Load) handleLocal(r LocalReport) {
	if r.MeasuredAt.Before(l.pending[r.Server].MeasuredAt) {
		return
	}
	l.pending[r.Server] = r
	if l.isFlushScheduled {
		return
	}
	l.isFlushScheduled = true
	l.loop.After(reportBatchPeriod, l.sendReports)
}

func (l *Load) sendReports() {
	l.isFlushScheduled = false
	now := l.clock.Now()
	message := LoadReports{Reports: make([]ServerReport, 0, len(l.pending))}
	for _, r := range l.pending {
		message.Reports = append(message.Reports, ServerReport{
			Server: r.Server, Age: now.Sub(r.MeasuredAt), Running: r.Running, Waiting: r.Waiting, KVUsed: r.KVUsed,
			Unreachable: r.Unreachable, Description: l.descriptionIfDue(r, now),
		})
	}
	clear(l.pending)
	l.sender.Broadcast(message)
}

// descriptionRepeatPeriod bounds how long a daemon that missed a message lacks
// a changed description. It is many times the period of the slowest polls;
// otherwise almost every report would carry a description.
const descriptionRepeatPeriod = 5 * time.Minute

type sentDescription struct {
	digest uint64
	sentAt time.Time
}

// descriptionIfDue returns the description if it has changed or is due for
// repetition.
func (l *Load) descriptionIfDue(r LocalReport, now time.Time) []byte {
	if len(r.Description) == 0 {
		return nil
	}
	sent, digest := l.sentDescriptions[r.Server], xxhash.Sum64(r.Description)
	if sent.digest == digest && now.Sub(sent.sentAt) < descriptionRepeatPeriod {
		return nil
	}
	l.sentDescriptions[r.Server] = sentDescription{digest: digest, sentAt: now}
	return r.Description
}

func (l *Load) handlePeerMessage(r peerMessage) {
	now := l.clock.Now()
	switch m := r.message.(type) {
	case Heartbeat:
		l.mergeWork(r.from.ID(), m)
	case Leave:
		delete(l.peerWork, r.from.ID())
		l.hasWorkChanged = true
	case LoadReports:
		reports := make([]PeerReport, 0, len(m.Reports))
		for _, s := range m.Reports {
			local := LocalReport{
				Server: s.Server, MeasuredAt: now.Add(-s.Age), Running: s.Running, Waiting: s.Waiting, KVUsed: s.KVUsed,
				Unreachable: s.Unreachable, Description: s.Description,
			}
			reports = append(reports, PeerReport{LocalReport: local, From: r.from.ID()})
		}
		l.reportListener(reports)
	}
}

func (l *Load) mergeWork(from PeerID, m Heartbeat) {
	d, known := l.peerWork[from]
	if !known {
		clear(l.sentDescriptions) // a daemon that has just joined has no descriptions
	}
	d.receivedAt = l.clock.Now()
	if d.work == nil || m.IsFullWork {
		d.work = make(map[ServerKey]int, len(m.OutstandingWork))
	}
	for _, w := range m.OutstandingWork {
		d.work[w.Server] = w.Outstanding
	}
	l.peerWork[from] = d
	l.hasWorkChanged = l.hasWorkChanged || m.IsFullWork || len(m.OutstandingWork) > 0
}

// publishWork publishes the sums once per batch period rather than per
// heartbeat.
func (l *Load) publishWork() {
	now := l.clock.Now()
	for id, d := range l.peerWork {
		if now.Sub(d.receivedAt) >= workValidity {
			delete(l.peerWork, id)
			l.hasWorkChanged = true
		}
	}
	if !l.hasWorkChanged {
		return
	}
	l.hasWorkChanged = false
	total := map[ServerKey]int{}
	for _, d := range l.peerWork {
		for server, outstanding := range d.work {
			total[server] += outstanding
		}
	}
	l.workListener(total)
}
