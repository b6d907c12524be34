package daemon

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the host relay.
const (
	hostRelayCapacity = 256
	// hostDigestPeriod is how often a poller sends the digest of its list.
	hostDigestPeriod = time.Second
	// hostDigestDelay is the time from a change to an additional digest. It
	// repairs a lost change within the bound of 1 s for a leaving host.
	hostDigestDelay = 250 * time.Millisecond
	// hostAskPeriod bounds how often one poller is asked for its list.
	hostAskPeriod = 200 * time.Millisecond
	// hostFormerTime is how long the list of a daemon that polls no more counts.
	// Until then the new poller has read the list, unless it is without the
	// platform.
	hostFormerTime = 10 * time.Minute
	// hostPollBound is the longest time that an answered poll of the host list
	// takes. Two pollers' entries that are closer than this are in unknown order.
	hostPollBound = 500 * time.Millisecond
)

// HostListener receives the hosts of this data centre, and the backend servers
// and leaving hosts of all, sorted by name. The list must not be changed. It must not wait.
type HostListener func([]platform.Host)

// listedHost is a host and when its poller saw the entry change.
type listedHost struct {
	host platform.Host
	at   time.Time
}

// polledList is the host list of one poller.
type polledList struct {
	incarnation Incarnation
	sequence    uint64 // 0 until there is a list
	hosts       map[string]listedHost
	digest      uint64
	askedAt     time.Time
	formerAt    time.Time // when the daemon was first seen not to poll; zero while it does
}

// HostRelay is the duty that spreads the platform's host list from the daemons
// of the data centre that poll it. Each daemon keeps the list of each poller and
// merges them by entry; the entry that changed last counts. A poller that has
// lost the platform sees no changes, so its entries never displace newer ones.
type HostRelay struct {
	loop     *duty.Loop
	clock    duty.Clock
	link     Sender
	poll     StoreWatch
	listener HostListener

	polled *ring.Ring[[]platform.Host]
	views  *ring.Ring[*MembersView]
	relays *ring.Ring[relayed]

	self    Identity
	view    *MembersView
	polling bool
	lists   map[PeerID]*polledList // this daemon's own included
	merged  []platform.Host
	told    bool
}

// NewHostRelay returns the duty. poll is the poller of the host list, which is
// switched on at the daemons that watch the store.
func NewHostRelay(self Identity, clock duty.Clock, link Sender, poll StoreWatch, listener HostListener) *HostRelay {
	r := &HostRelay{
		loop:     duty.New("host-relay", clock),
		clock:    clock,
		link:     link,
		poll:     poll,
		listener: listener,
		polled:   ring.New[[]platform.Host]("host-relay.polled", 1),
		views:    ring.New[*MembersView]("host-relay.views", viewRingCapacity),
		relays:   ring.New[relayed]("host-relay.messages", hostRelayCapacity),
		self:     self,
		lists:    map[PeerID]*polledList{},
	}
	duty.On(r.loop, r.views, r.handleView)
	duty.On(r.loop, r.polled, r.handlePolled)
	duty.On(r.loop, r.relays, r.handleRelay)
	r.loop.Every(hostDigestPeriod, r.tick)
	return r
}

// Loop returns the duty's loop.
func (r *HostRelay) Loop() *duty.Loop { return r.loop }

// SetHosts takes the whole list from this daemon's poller.
func (r *HostRelay) SetHosts(hosts []platform.Host) { r.polled.PutLatest(hosts) }

// SetMembers takes the membership.
func (r *HostRelay) SetMembers(v *MembersView) { r.views.PutLatest(v) }

// Receive takes a message of another daemon; other kinds are ignored.
func (r *HostRelay) Receive(from Identity, m Message) {
	switch m.(type) {
	case HostChanges, HostDigest, HostListRequest:
		r.relays.PutLatest(relayed{from: from, message: m})
	}
}

func (r *HostRelay) handleView(v *MembersView) {
	r.self = v.Self
	r.view = v
	if !v.Settled {
		return
	}
	polling := containsName(r.pollers(), v.Self.Name)
	if polling != r.polling {
		r.polling = polling
		r.poll.SetActive(polling)
		if polling {
			r.sendDigest()
		}
	}
	r.noteFormerPollers()
	r.publish()
}

func (r *HostRelay) pollers() []string { return storeWatchers(r.view) }

// isPoller reports whether the daemon polls in the present view.
func (r *HostRelay) isPoller(id PeerID) bool {
	if id == r.self.ID() {
		return r.polling
	}
	return r.view != nil && containsName(r.pollers(), id.Name)
}

// noteFormerPollers records since when a list is that of a former poller.
func (r *HostRelay) noteFormerPollers() {
	for id, l := range r.lists {
		switch {
		case r.isPoller(id):
			l.formerAt = time.Time{}
		case l.formerAt.IsZero():
			l.formerAt = r.clock.Now()
		}
	}
}

// isForgotten reports whether the list is that of a daemon that has not polled
// for a while.
func (r *HostRelay) isForgotten(l *polledList) bool {
	return !l.formerAt.IsZero() && r.clock.Now().Sub(l.formerAt) >= hostFormerTime
}

func (r *HostRelay) tick() {
	r.sendDigest()
	for id, l := range r.lists {
		if id != r.self.ID() && r.isForgotten(l) && !r.counts(l) {
			delete(r.lists, id)
		}
	}
	r.publish()
}

// counts reports whether an entry of the list is in the merged one.
func (r *HostRelay) counts(l *polledList) bool {
	present := r.presentHosts()
	for _, entry := range l.hosts {
		if r.entryCounts(l, entry, present) {
			return true
		}
	}
	return false
}

// entryCounts reports whether the entry takes part in the merge. Of a forgotten
// list only leaving hosts do, while a present list still has them: that list may
// be older.
func (r *HostRelay) entryCounts(l *polledList, entry listedHost, present map[string]bool) bool {
	if !r.isForgotten(l) || present == nil {
		return true
	}
	return entry.host.State == platform.HostLeaving && present[entry.host.Name]
}

// presentHosts returns the names in the lists of present pollers, nil when
// there is no such list.
func (r *HostRelay) presentHosts() map[string]bool {
	var names map[string]bool
	for _, l := range r.lists {
		if l.sequence == 0 || !l.formerAt.IsZero() {
			continue
		}
		if names == nil {
			names = map[string]bool{}
		}
		for name := range l.hosts {
			names[name] = true
		}
	}
	return names
}

func (r *HostRelay) list(id Identity) *polledList {
	l := r.lists[id.ID()]
	if l == nil || id.Incarnation.Compare(l.incarnation) > 0 {
		l = &polledList{incarnation: id.Incarnation, hosts: map[string]listedHost{}}
	}
	return l
}

// handlePolled takes what this daemon's poller read and sends what has changed.
func (r *HostRelay) handlePolled(hosts []platform.Host) {
	now := r.clock.Now()
	own := r.lists[r.self.ID()]
	if own == nil {
		own = &polledList{hosts: map[string]listedHost{}}
	}
	own.incarnation = r.self.Incarnation
	change := HostChanges{}
	next := map[string]listedHost{}
	for _, h := range hosts {
		if !r.concerns(h) {
			continue
		}
		entry, known := own.hosts[h.Name]
		if !known || entry.host != h {
			entry = listedHost{host: h, at: now}
			change.Hosts = append(change.Hosts, HostEntry{Host: h})
		}
		next[h.Name] = entry
	}
	for name := range own.hosts {
		if _, listed := next[name]; !listed {
			change.Removed = append(change.Removed, name)
		}
	}
	sort.Strings(change.Removed)
	_, present := r.lists[r.self.ID()]
	if present && len(change.Hosts) == 0 && len(change.Removed) == 0 {
		return
	}
	own.hosts = next
	own.sequence++
	own.sum()
	r.lists[r.self.ID()] = own
	r.noteFormerPollers()
	if r.polling {
		change.Sequence = own.sequence
		r.link.Broadcast(change)
		r.loop.After(hostDigestDelay, r.sendDigest)
	}
	r.publish()
}

func (r *HostRelay) sendDigest() {
	own := r.lists[r.self.ID()]
	if r.polling && own != nil {
		r.link.Broadcast(HostDigest{Sequence: own.sequence, Digest: own.digest})
	}
}

// concerns reports whether the daemons of this data centre need the host: all
// backend servers, since those of other data centres serve when the own ones
// cannot, and the own daemons.
func (r *HostRelay) concerns(h platform.Host) bool {
	return h.DataCentre == r.self.DataCentre || h.Role == platform.RoleBackend || h.State == platform.HostLeaving
}

// handleRelay takes a message of another daemon. Those of an earlier run of the
// sender are late.
func (r *HostRelay) handleRelay(m relayed) {
	held := r.lists[m.from.ID()]
	foreign := m.from.DataCentre != r.self.DataCentre
	if foreign || (held != nil && m.from.Incarnation.Compare(held.incarnation) < 0) {
		return
	}
	switch message := m.message.(type) {
	case HostListRequest:
		r.answer(m.from.ID())
	case HostDigest:
		l := r.list(m.from)
		if l.digest != message.Digest && message.Sequence >= l.sequence {
			r.ask(m.from.ID(), l)
		}
	case HostChanges:
		r.apply(m.from, message)
	}
}

func (r *HostRelay) ask(id PeerID, l *polledList) {
	now := r.clock.Now()
	if !l.askedAt.IsZero() && now.Sub(l.askedAt) < hostAskPeriod {
		return
	}
	l.askedAt = now
	r.lists[id] = l
	r.link.Send(id, HostListRequest{})
}

func (r *HostRelay) answer(to PeerID) {
	own := r.lists[r.self.ID()]
	if own == nil {
		return
	}
	now := r.clock.Now()
	m := HostChanges{Sequence: own.sequence, Full: true}
	for _, name := range own.names() {
		entry := own.hosts[name]
		m.Hosts = append(m.Hosts, HostEntry{Host: entry.host, Age: now.Sub(entry.at)})
	}
	r.link.Send(to, m)
}

// apply takes a change unless a later one was applied. A change lost before it
// shows in the digest.
func (r *HostRelay) apply(from Identity, m HostChanges) {
	l := r.list(from)
	if m.Sequence < l.sequence || (m.Sequence == l.sequence && !m.Full) {
		return
	}
	now := r.clock.Now()
	l.sequence = m.Sequence
	if m.Full {
		l.hosts = make(map[string]listedHost, len(m.Hosts))
	}
	for _, h := range m.Hosts {
		l.hosts[h.Name] = listedHost{host: h.Host, at: now.Add(-h.Age)}
	}
	for _, name := range m.Removed {
		delete(l.hosts, name)
	}
	l.sum()
	r.lists[from.ID()] = l
	r.noteFormerPollers()
	r.publish()
}

// publish tells the listener the merged list if it has changed. A host is
// listed while any poller lists it: absence proves nothing.
func (r *HostRelay) publish() {
	merged := map[string]listedHost{}
	present := r.presentHosts()
	listed := false
	for _, l := range r.lists {
		listed = listed || l.sequence > 0
		for name, entry := range l.hosts {
			held, known := merged[name]
			if r.entryCounts(l, entry, present) && (!known || entry.replaces(held)) {
				merged[name] = entry
			}
		}
	}
	if !listed {
		return
	}
	hosts := make([]platform.Host, 0, len(merged))
	for _, entry := range merged {
		hosts = append(hosts, entry.host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	if r.told && sameHosts(hosts, r.merged) {
		return
	}
	r.told = true
	r.merged = hosts
	r.listener(hosts)
}

// replaces reports whether the entry counts and not the other. Of entries whose
// order is not known, a leaving one counts.
func (e listedHost) replaces(other listedHost) bool {
	later := e.at.Sub(other.at)
	if e.host.State != other.host.State && later > -hostPollBound && later < hostPollBound {
		return e.host.State == platform.HostLeaving
	}
	return later > 0
}

func sameHosts(a, b []platform.Host) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (l *polledList) names() []string {
	names := make([]string, 0, len(l.hosts))
	for name := range l.hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// sum renews the digest of the entries. Ages are not part of it.
func (l *polledList) sum() {
	l.digest = 0
	for _, entry := range l.hosts {
		text, err := json.Marshal(entry.host)
		if err == nil {
			l.digest ^= xxhash.Sum64(text)
		}
	}
}
