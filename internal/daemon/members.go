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
	MemberJoining MemberState = iota // known; no heartbeat confirmed in both directions yet
	MemberAlive                      // messages arrive in both directions
	MemberSuspect                    // silent for SuspectAfter
	MemberDead                       // silent for DeadAfter, or replaced
	MemberLeft                       // announced its stop
)

// String returns the state's name.
func (s MemberState) String() string {
	return [...]string{"joining", "alive", "suspect", "dead", "left"}[s]
}

// isLive reports whether the member takes part in rendezvous ranking. Suspect
// members do, so that a short silence does not reassign work.
func (s MemberState) isLive() bool { return s == MemberAlive || s == MemberSuspect }

// MembersView is an immutable snapshot of the membership.
type MembersView struct {
	Self                 Identity
	Members              []MemberInfo // of this data centre, including this daemon; sorted by name
	DataCentres          []string     // all known ones, sorted
	ReachableDataCentres []string     // other data centres with a message within DeadAfter, sorted
	IsGateway            bool         // whether this daemon exchanges messages with other data centres
	Settled              bool         // every known address has answered or failed, or SettleTimeout has passed
}

// LiveNames returns the names of the live members of this data centre.
func (v *MembersView) LiveNames() []string {
	names := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State.isLive() {
			names = append(names, m.Name)
		}
	}
	return names
}

// member is the peers duty's state of a daemon of its data centre or of a
// gateway of another one.
type member struct {
	Identity
	state         MemberState
	lastReceived  time.Time // time of the last message
	lastConfirmed time.Time // time of the last heartbeat that echoed one of this daemon's
	knownSince    time.Time // since when this daemon knows the incarnation
	sequence      uint64    // highest heartbeat sequence received
	listsSentAt   time.Time
	repliedAt     time.Time
}

// refreshState updates the state from the time without messages and reports
// whether it changed. Silence in either direction counts: otherwise the two
// ends of a one-way partition would rank different members.
func (m *member) refreshState(now time.Time) bool {
	before := m.state
	last := m.lastConfirmed
	if m.lastReceived.Before(last) {
		last = m.lastReceived
	}
	if last.IsZero() {
		last = m.knownSince
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

// memberListDigest returns a digest of the live members. It excludes the exact
// states, which differ between observers.
func memberListDigest(members []MemberInfo) uint64 {
	var digest uint64
	for _, m := range members {
		if m.State.isLive() {
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
