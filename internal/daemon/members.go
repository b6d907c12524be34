package daemon

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MemberState is the state of a daemon as another daemon sees it.
type MemberState int

// States of members.
const (
	MemberJoining MemberState = iota // known, no link in both directions yet
	MemberAlive                      // heard from, and it hears this daemon
	MemberSuspect                    // silent for SuspectAfter
	MemberDead                       // silent for DeadAfter, or replaced
	MemberLeft                       // said that it stops
)

// String returns the state's name.
func (s MemberState) String() string {
	return [...]string{"joining", "alive", "suspect", "dead", "left"}[s]
}

// live reports whether the member takes part in rankings. A suspect still does,
// so that a short silence moves no work.
func (s MemberState) live() bool { return s == MemberAlive || s == MemberSuspect }

// MembersView is an immutable picture of the membership.
type MembersView struct {
	Self                 Identity
	Members              []MemberInfo // of this data centre, this daemon included, by name
	DataCentres          []string     // all that are known, sorted
	ReachableDataCentres []string     // other data centres heard from within DeadAfter, sorted
	IsGateway            bool         // this daemon exchanges digests with other data centres
	Settled              bool         // every contact was tried, or the start window is over
}

// LiveNames returns the names of the live members of this data centre.
func (v *MembersView) LiveNames() []string {
	names := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State.live() {
			names = append(names, m.Name)
		}
	}
	return names
}

// member is what the peers duty knows of one daemon of its data centre, or of a
// gateway of another.
type member struct {
	Identity
	state     MemberState
	heard     time.Time // last message
	bothWays  time.Time // last heartbeat that confirmed one of ours
	since     time.Time // of this incarnation here
	sequence  uint64    // highest heartbeat heard
	listsSent time.Time
	replied   time.Time
}

// refresh updates the state from the silence and reports whether it changed. A
// member counts as silent when either direction is: otherwise the two ends of a
// one-way partition would rank different members.
func (m *member) refresh(now time.Time) bool {
	before := m.state
	last := m.bothWays
	if m.heard.Before(last) {
		last = m.heard
	}
	if last.IsZero() {
		last = m.since
	}
	silence := now.Sub(last)
	switch {
	case m.state == MemberDead || m.state == MemberLeft:
	case silence >= DeadAfter:
		m.state = MemberDead
	case m.state == MemberJoining:
	case silence >= SuspectAfter:
		m.state = MemberSuspect
	default:
		m.state = MemberAlive
	}
	return m.state != before
}

// listDigest sums up a member list, the states that differ between observers aside.
func listDigest(members []MemberInfo) uint64 {
	var digest uint64
	for _, m := range members {
		if m.State.live() {
			digest ^= identityDigest(m.Identity)
		}
	}
	return digest
}

func identityDigest(id Identity) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(id.DataCentre + "\x00" + id.Name + "\x00" + id.Address)
	var b [16]byte
	for i := range 8 {
		b[i] = byte(uint64(id.Incarnation.Start) >> (8 * i))
		b[8+i] = byte(id.Incarnation.Random >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}

func sortMembers(members []MemberInfo) {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
}
