package daemon

import (
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the suspects duty.
const (
	// MaxSuspects bounds the entries that are kept and sent; the one that ends
	// first gives way.
	MaxSuspects = 4096
	// MaxSuspectDuration bounds the remaining time that a message may claim.
	MaxSuspectDuration = 10 * time.Minute
	suspectCapacity    = 1024
	// suspectSlack is how much longer an entry must last to count as new. It
	// covers delays on the way, so that a repeated report is not spread again.
	suspectSlack = 2 * time.Second
	// suspectRepeat is the time until a report is sent once more, because the
	// first one may be lost with a link.
	suspectRepeat = 5 * time.Second
	// suspectSenders is the number of daemons that send all entries to a new one.
	suspectSenders = 2
)

// SuspectListener receives what other daemons reported and was not known here.
// It must not wait.
type SuspectListener func(SuspectReport)

// suspectEntry is one fingerprint. A time that has passed counts as not set.
type suspectEntry struct {
	crashesAlone   int
	suspectedUntil time.Time
	convictedUntil time.Time
}

func (e suspectEntry) until() time.Time {
	if e.convictedUntil.After(e.suspectedUntil) {
		return e.convictedUntil
	}
	return e.suspectedUntil
}

// Suspects is the duty that spreads crash suspects to all daemons.
type Suspects struct {
	loop     *duty.Loop
	clock    duty.Clock
	link     Sender
	listener SuspectListener

	reports *ring.Ring[SuspectReport]
	views   *ring.Ring[*MembersView]
	relays  *ring.Ring[relayed]

	self     Identity
	view     *MembersView
	entries  map[uint64]suspectEntry
	unsent   map[uint64]bool // to be sent once more; true if also to other data centres
	awaiting bool            // a repeat is due
}

// NewSuspects returns the duty.
func NewSuspects(self Identity, clock duty.Clock, link Sender, listener SuspectListener) *Suspects {
	s := &Suspects{
		loop:     duty.New("suspects", clock),
		clock:    clock,
		link:     link,
		listener: listener,
		reports:  ring.New[SuspectReport]("suspects.reports", suspectCapacity),
		views:    ring.New[*MembersView]("suspects.views", viewRingCapacity),
		relays:   ring.New[relayed]("suspects.messages", suspectCapacity),
		self:     self,
		entries:  map[uint64]suspectEntry{},
		unsent:   map[uint64]bool{},
	}
	duty.On(s.loop, s.views, s.handleView)
	duty.On(s.loop, s.reports, s.handleReport)
	duty.On(s.loop, s.relays, s.handleRelay)
	return s
}

// Loop returns the duty's loop.
func (s *Suspects) Loop() *duty.Loop { return s.loop }

// Report takes what this daemon has found out.
func (s *Suspects) Report(r SuspectReport) { s.reports.PutLatest(r) }

// SetMembers takes the membership.
func (s *Suspects) SetMembers(v *MembersView) { s.views.PutLatest(v) }

// Receive takes a message of another daemon; other kinds are ignored.
func (s *Suspects) Receive(from Identity, m Message) {
	if r, ok := m.(SuspectReport); ok {
		s.relays.PutLatest(relayed{from: from, message: r})
	}
}

func (s *Suspects) handleReport(r SuspectReport) {
	fresh := s.merge(r)
	if len(fresh) == 0 {
		return
	}
	s.spread(fresh, true)
}

// spread sends the entries now and once more.
func (s *Suspects) spread(fresh []uint64, abroad bool) {
	s.send(s.report(fresh), abroad)
	for _, fingerprint := range fresh {
		s.unsent[fingerprint] = s.unsent[fingerprint] || abroad
	}
	if !s.awaiting {
		s.awaiting = true
		s.loop.After(suspectRepeat, s.repeat)
	}
}

func (s *Suspects) repeat() {
	s.awaiting = false
	var here, everywhere []uint64
	for fingerprint, abroad := range s.unsent {
		if abroad {
			everywhere = append(everywhere, fingerprint)
		} else {
			here = append(here, fingerprint)
		}
	}
	clear(s.unsent)
	s.send(s.report(here), false)
	s.send(s.report(everywhere), true)
}

// send gives the report to this data centre and, abroad, to the gateways of the others.
func (s *Suspects) send(r SuspectReport, abroad bool) {
	if s.view == nil || len(r.Suspects)+len(r.ConfirmedCauses) == 0 {
		return
	}
	s.link.Broadcast(r)
	if !abroad {
		return
	}
	for _, dataCentre := range s.view.DataCentres {
		if dataCentre != s.self.DataCentre {
			s.link.SendToDataCentre(dataCentre, r)
		}
	}
}

// handleRelay merges what another daemon knows. What is new from another data
// centre is passed on here, since it reached one gateway.
func (s *Suspects) handleRelay(m relayed) {
	r, ok := m.message.(SuspectReport)
	if !ok {
		return
	}
	fresh := s.merge(r)
	if len(fresh) == 0 {
		return
	}
	known := s.report(fresh)
	if m.from.DataCentre != s.self.DataCentre {
		s.spread(fresh, false)
	}
	s.listener(known)
}

// handleView sends everything to daemons and data centres that are new.
func (s *Suspects) handleView(v *MembersView) {
	before := s.view
	s.self = v.Self
	s.view = v
	if before == nil || len(s.entries) == 0 {
		return
	}
	all := s.report(s.all())
	if first("suspects/"+v.Self.DataCentre, before.LiveNames(), suspectSenders, v.Self.Name) {
		for _, m := range v.Members {
			if m.State.live() && m.ID() != v.Self.ID() && !isLiveIn(before, m.Identity) {
				s.link.Send(m.ID(), all)
			}
		}
	}
	for _, dataCentre := range v.ReachableDataCentres {
		if v.IsGateway && !containsName(before.ReachableDataCentres, dataCentre) {
			s.link.SendToDataCentre(dataCentre, all)
		}
	}
}

func isLiveIn(v *MembersView, id Identity) bool {
	for _, m := range v.Members {
		if m.ID() == id.ID() {
			return m.State.live() && m.Incarnation == id.Incarnation
		}
	}
	return false
}

func (s *Suspects) all() []uint64 {
	fingerprints := make([]uint64, 0, len(s.entries))
	for fingerprint := range s.entries {
		fingerprints = append(fingerprints, fingerprint)
	}
	return fingerprints
}

// merge takes a report and returns the fingerprints of which it told more than
// was known. The longest remaining time and the most crashes win.
func (s *Suspects) merge(r SuspectReport) []uint64 {
	now := s.clock.Now()
	seen := map[uint64]bool{}
	var fresh []uint64
	note := func(fingerprint uint64, e suspectEntry, changed bool) {
		if !changed {
			return
		}
		s.entries[fingerprint] = e
		if !seen[fingerprint] {
			seen[fingerprint] = true
			fresh = append(fresh, fingerprint)
		}
	}
	for _, p := range r.Suspects {
		e := s.entries[p.Fingerprint]
		changed := extend(&e.suspectedUntil, now, p.Remaining)
		if p.Remaining > 0 && p.CrashesAlone > e.crashesAlone {
			e.crashesAlone = p.CrashesAlone
			changed = true
		}
		note(p.Fingerprint, e, changed)
	}
	for _, c := range r.ConfirmedCauses {
		e := s.entries[c.Fingerprint]
		changed := extend(&e.convictedUntil, now, c.Remaining)
		note(c.Fingerprint, e, changed)
	}
	s.bound(now)
	return fresh
}

// extend moves the end to the remaining time if that is longer.
func extend(until *time.Time, now time.Time, remaining time.Duration) bool {
	next := now.Add(min(remaining, MaxSuspectDuration))
	known := *until
	if !known.After(now) {
		known = now
	}
	if next.Sub(known) <= 0 || (known.After(now) && next.Sub(known) <= suspectSlack) {
		return false
	}
	*until = next
	return true
}

// bound drops entries that have ended, and those that end first over MaxSuspects.
func (s *Suspects) bound(now time.Time) {
	if len(s.entries) <= MaxSuspects {
		return
	}
	for fingerprint, e := range s.entries {
		if !e.until().After(now) {
			delete(s.entries, fingerprint)
		}
	}
	if len(s.entries) <= MaxSuspects {
		return
	}
	kept := s.all()
	sort.Slice(kept, func(i, j int) bool {
		a, b := s.entries[kept[i]].until(), s.entries[kept[j]].until()
		return a.After(b) || (a.Equal(b) && kept[i] < kept[j])
	})
	for _, fingerprint := range kept[MaxSuspects:] {
		delete(s.entries, fingerprint)
	}
}

// report returns what is known of the fingerprints.
func (s *Suspects) report(fingerprints []uint64) SuspectReport {
	now := s.clock.Now()
	sort.Slice(fingerprints, func(i, j int) bool { return fingerprints[i] < fingerprints[j] })
	var r SuspectReport
	for _, fingerprint := range fingerprints {
		e := s.entries[fingerprint]
		if remaining := e.suspectedUntil.Sub(now); remaining > 0 {
			r.Suspects = append(r.Suspects, SuspectRequest{Fingerprint: fingerprint, CrashesAlone: e.crashesAlone, Remaining: remaining})
		}
		if remaining := e.convictedUntil.Sub(now); remaining > 0 {
			r.ConfirmedCauses = append(r.ConfirmedCauses, ConfirmedCause{Fingerprint: fingerprint, Remaining: remaining})
		}
	}
	return r
}
