package daemon

import (
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Capacities and periods of the suspects duty.
const (
	// MaxSuspects bounds the fingerprints that are stored and sent; those that
	// expire first are removed.
	MaxSuspects = 4096
	// MaxSuspectDuration bounds the remaining time that is accepted from a
	// message.
	MaxSuspectDuration  = 10 * time.Minute
	suspectRingCapacity = 1024
	// minExpiryExtension is how much later a known fingerprint must expire to
	// count as updated. It covers transmission delays, so that a repeated
	// report is not sent on again.
	minExpiryExtension = 2 * time.Second
	// suspectRepeatDelay is the time after which a report is sent a second
	// time, because the first one may be lost with a link.
	suspectRepeatDelay = 5 * time.Second
	// fullReportSenders is the number of daemons that send all fingerprints to
	// a new daemon.
	fullReportSenders = 2
)

// SuspectListener receives the reports of other daemons that were new to this
// one. It must not block.
type SuspectListener func(SuspectReport)

// suspectState is the state of one fingerprint. A time in the past means not
// set.
type suspectState struct {
	crashesAlone   int
	suspectedUntil time.Time
	confirmedUntil time.Time
}

func (e suspectState) expiry() time.Time {
	if e.confirmedUntil.After(e.suspectedUntil) {
		return e.confirmedUntil
	}
	return e.suspectedUntil
}

// Suspects is the duty that distributes crash suspects to all daemons of all
// data centres.
type Suspects struct {
	loop     *duty.Loop
	clock    duty.Clock
	sender   Sender
	listener SuspectListener

	reports      *ring.Ring[SuspectReport]
	views        *ring.Ring[*MembersView]
	peerMessages *ring.Ring[peerMessage]

	self              Identity
	view              *MembersView
	suspects          map[uint64]suspectState
	pendingRepeats    map[uint64]bool // fingerprints to be sent again; true if also to other data centres
	isRepeatScheduled bool
}

// NewSuspects returns the duty.
func NewSuspects(self Identity, clock duty.Clock, sender Sender, listener SuspectListener) *Suspects {
	s := &Suspects{
		loop:           duty.New("suspects", clock),
		clock:          clock,
		sender:         sender,
		listener:       listener,
		reports:        ring.New[SuspectReport]("suspects.reports", suspectRingCapacity),
		views:          ring.New[*MembersView]("suspects.views", viewRingCapacity),
		peerMessages:   ring.New[peerMessage]("suspects.messages", suspectRingCapacity),
		self:           self,
		suspects:       map[uint64]suspectState{},
		pendingRepeats: map[uint64]bool{},
	}
	duty.On(s.loop, s.views, s.handleView)
	duty.On(s.loop, s.reports, s.handleLocalReport)
	duty.On(s.loop, s.peerMessages, s.handlePeerMessage)
	return s
}

// Loop returns the duty's loop.
func (s *Suspects) Loop() *duty.Loop { return s.loop }

// Report queues the findings of this daemon.
func (s *Suspects) Report(r SuspectReport) { s.reports.PutLatest(r) }

// SetMembers sets the current membership.
func (s *Suspects) SetMembers(v *MembersView) { s.views.PutLatest(v) }

// Receive queues a message of another daemon; types that the duty does not use
// are ignored.
func (s *Suspects) Receive(from Identity, m Message) {
	if r, ok := m.(SuspectReport); ok {
		s.peerMessages.PutLatest(peerMessage{from: from, message: r})
	}
}

func (s *Suspects) handleLocalReport(r SuspectReport) {
	updated := s.mergeReport(r)
	if len(updated) == 0 {
		return
	}
	s.sendAndRepeat(updated, true)
}

// sendAndRepeat sends the fingerprints now and schedules one repetition.
func (s *Suspects) sendAndRepeat(fingerprints []uint64, toOtherDataCentres bool) {
	s.sendReport(s.reportFor(fingerprints), toOtherDataCentres)
	for _, fingerprint := range fingerprints {
		s.pendingRepeats[fingerprint] = s.pendingRepeats[fingerprint] || toOtherDataCentres
	}
	if !s.isRepeatScheduled {
		s.isRepeatScheduled = true
		s.loop.After(suspectRepeatDelay, s.sendRepeats)
	}
}

func (s *Suspects) sendRepeats() {
	s.isRepeatScheduled = false
	var local, everywhere []uint64
	for fingerprint, toOtherDataCentres := range s.pendingRepeats {
		if toOtherDataCentres {
			everywhere = append(everywhere, fingerprint)
		} else {
			local = append(local, fingerprint)
		}
	}
	clear(s.pendingRepeats)
	s.sendReport(s.reportFor(local), false)
	s.sendReport(s.reportFor(everywhere), true)
}

// sendReport sends the report to the daemons of this data centre and, with
// toOtherDataCentres, to a gateway of each other one.
func (s *Suspects) sendReport(r SuspectReport, toOtherDataCentres bool) {
	if s.view == nil || len(r.Suspects)+len(r.ConfirmedCauses) == 0 {
		return
	}
	s.sender.Broadcast(r)
	if !toOtherDataCentres {
		return
	}
	for _, dataCentre := range s.view.DataCentres {
		if dataCentre != s.self.DataCentre {
			s.sender.SendToDataCentre(dataCentre, r)
		}
	}
}

// handlePeerMessage merges another daemon's report. Updates from another data
// centre are sent on within this one, since only one gateway received them.
func (s *Suspects) handlePeerMessage(m peerMessage) {
	r, ok := m.message.(SuspectReport)
	if !ok {
		return
	}
	updated := s.mergeReport(r)
	if len(updated) == 0 {
		return
	}
	report := s.reportFor(updated)
	if m.from.DataCentre != s.self.DataCentre {
		s.sendAndRepeat(updated, false)
	}
	s.listener(report)
}

// handleView sends all fingerprints to new daemons and to data centres that
// have become reachable.
func (s *Suspects) handleView(v *MembersView) {
	before := s.view
	s.self = v.Self
	s.view = v
	if before == nil || len(s.suspects) == 0 {
		return
	}
	all := s.reportFor(s.fingerprints())
	if isRankedFirst("suspects/"+v.Self.DataCentre, before.LiveNames(), fullReportSenders, v.Self.Name) {
		for _, m := range v.Members {
			if m.State.isLive() && m.ID() != v.Self.ID() && !isLiveIn(before, m.Identity) {
				s.sender.Send(m.ID(), all)
			}
		}
	}
	for _, dataCentre := range v.ReachableDataCentres {
		if v.IsGateway && !containsName(before.ReachableDataCentres, dataCentre) {
			s.sender.SendToDataCentre(dataCentre, all)
		}
	}
}

func isLiveIn(v *MembersView, id Identity) bool {
	for _, m := range v.Members {
		if m.ID() == id.ID() {
			return m.State.isLive() && m.Incarnation == id.Incarnation
		}
	}
	return false
}

func (s *Suspects) fingerprints() []uint64 {
	fingerprints := make([]uint64, 0, len(s.suspects))
	for fingerprint := range s.suspects {
		fingerprints = append(fingerprints, fingerprint)
	}
	return fingerprints
}

// mergeReport merges a report and returns the fingerprints that it updated.
// The longest remaining time and the highest number of crashes win.
func (s *Suspects) mergeReport(r SuspectReport) []uint64 {
	now := s.clock.Now()
	isUpdated := map[uint64]bool{}
	var updated []uint64
	record := func(fingerprint uint64, e suspectState, changed bool) {
		if !changed {
			return
		}
		s.suspects[fingerprint] = e
		if !isUpdated[fingerprint] {
			isUpdated[fingerprint] = true
			updated = append(updated, fingerprint)
		}
	}
	for _, p := range r.Suspects {
		e := s.suspects[p.Fingerprint]
		changed := extendExpiry(&e.suspectedUntil, now, p.Remaining)
		if p.Remaining > 0 && p.CrashesAlone > e.crashesAlone {
			e.crashesAlone = p.CrashesAlone
			changed = true
		}
		record(p.Fingerprint, e, changed)
	}
	for _, c := range r.ConfirmedCauses {
		e := s.suspects[c.Fingerprint]
		changed := extendExpiry(&e.confirmedUntil, now, c.Remaining)
		record(c.Fingerprint, e, changed)
	}
	s.removeExcess(now)
	return updated
}

// extendExpiry sets the expiry to the remaining time if that is later by more
// than minExpiryExtension, and reports whether it did.
func extendExpiry(until *time.Time, now time.Time, remaining time.Duration) bool {
	next := now.Add(min(remaining, MaxSuspectDuration))
	known := *until
	if !known.After(now) {
		known = now
	}
	if next.Sub(known) <= 0 || (known.After(now) && next.Sub(known) <= minExpiryExtension) {
		return false
	}
	*until = next
	return true
}

// removeExcess removes expired fingerprints if there are more than
// MaxSuspects, and then those that expire first.
func (s *Suspects) removeExcess(now time.Time) {
	if len(s.suspects) <= MaxSuspects {
		return
	}
	for fingerprint, e := range s.suspects {
		if !e.expiry().After(now) {
			delete(s.suspects, fingerprint)
		}
	}
	if len(s.suspects) <= MaxSuspects {
		return
	}
	kept := s.fingerprints()
	sort.Slice(kept, func(i, j int) bool {
		a, b := s.suspects[kept[i]].expiry(), s.suspects[kept[j]].expiry()
		return a.After(b) || (a.Equal(b) && kept[i] < kept[j])
	})
	for _, fingerprint := range kept[MaxSuspects:] {
		delete(s.suspects, fingerprint)
	}
}

// reportFor returns a report of the fingerprints' current state.
func (s *Suspects) reportFor(fingerprints []uint64) SuspectReport {
	now := s.clock.Now()
	sort.Slice(fingerprints, func(i, j int) bool { return fingerprints[i] < fingerprints[j] })
	var r SuspectReport
	for _, fingerprint := range fingerprints {
		e := s.suspects[fingerprint]
		if remaining := e.suspectedUntil.Sub(now); remaining > 0 {
			r.Suspects = append(r.Suspects, SuspectRequest{Fingerprint: fingerprint, CrashesAlone: e.crashesAlone, Remaining: remaining})
		}
		if remaining := e.confirmedUntil.Sub(now); remaining > 0 {
			r.ConfirmedCauses = append(r.ConfirmedCauses, ConfirmedCause{Fingerprint: fingerprint, Remaining: remaining})
		}
	}
	return r
}
