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

// Ring capacity and periods of the host relay.
const (
	hostRelayCapacity = 256
	// hostDigestPeriod is the period in which a poller sends the digest of its
	// list.
	hostDigestPeriod = time.Second
	// hostDigestDelay is the time from a change to an additional digest. It
	// repairs a lost change within 1 s, the bound for a leaving host.
	hostDigestDelay = 250 * time.Millisecond
	// hostListRequestPeriod is the minimum time between two requests for the
	// list of the same poller.
	hostListRequestPeriod = 200 * time.Millisecond
	// formerListValidity is how long the list of a daemon that has stopped
	// polling remains valid. By then the new poller has read the list, unless
	// the platform is unavailable to it.
	formerListValidity = 10 * time.Minute
	// hostPollTimeout is the longest duration of a successful poll of the host
	// list. The order of two pollers' entries that differ by less is unknown.
	hostPollTimeout = 500 * time.Millisecond
)

// HostListener receives the hosts of this data centre, and the backend servers
// and leaving hosts of all data centres, sorted by name. It must not change
// the list and must not block.
type HostListener func([]platform.Host)

// listedHost is a host and the time at which its poller saw the entry change.
type listedHost struct {
	host      platform.Host
	changedAt time.Time
}

// polledList is the host list of one poller.
type polledList struct {
	incarnation     Incarnation
	sequence        uint64 // 0 before the first list
	hosts           map[string]listedHost
	digest          uint64
	requestedAt     time.Time
	notPollingSince time.Time // since when the daemon no longer polls; zero while it polls
}

// HostRelay is the duty that distributes the platform's host list from the
// daemons of the data centre that poll it. Each daemon keeps one list per
// poller and merges them by host; the entry that changed last wins. A poller
// without access to the platform sees no changes, so its entries never replace
// newer ones.
type HostRelay struct {
	loop     *duty.Loop
	clock    duty.Clock
	sender   Sender
	poller   StoreWatch
	listener HostListener

	polled       *ring.Ring[[]platform.Host]
	views        *ring.Ring[*MembersView]
	peerMessages *ring.Ring[peerMessage]

	self        Identity
	view        *MembersView
	isPolling   bool
	lists       map[PeerID]*polledList // including this daemon's own
	merged      []platform.Host
	isPublished bool
}

// NewHostRelay returns the duty. poller polls the host list and is activated
// at the daemons that watch the store.
func NewHostRelay(self Identity, clock duty.Clock, sender Sender, poller StoreWatch, listener HostListener) *HostRelay {
	r := &HostRelay{
		loop:         duty.New("host-relay", clock),
		clock:        clock,
		sender:       sender,
		poller:       poller,
		listener:     listener,
		polled:       ring.New[[]platform.Host]("host-relay.polled", 1),
		views:        ring.New[*MembersView]("host-relay.views", viewRingCapacity),
		peerMessages: ring.New[peerMessage]("host-relay.messages", hostRelayCapacity),
		self:         self,
		lists:        map[PeerID]*polledList{},
	}
	duty.On(r.loop, r.views, r.handleView)
	duty.On(r.loop, r.polled, r.handlePolled)
	duty.On(r.loop, r.peerMessages, r.handlePeerMessage)
	r.loop.Every(hostDigestPeriod, r.maintain)
	return r
}

// Loop returns the duty's loop.
func (r *HostRelay) Loop() *duty.Loop { return r.loop }

// SetHosts sets the complete list from this daemon's poller.
func (r *HostRelay) SetHosts(hosts []platform.Host) { r.polled.PutLatest(hosts) }

// SetMembers sets the current membership.
func (r *HostRelay) SetMembers(v *MembersView) { r.views.PutLatest(v) }

// Receive queues a message of another daemon; types that the duty does not use
// are ignored.
func (r *HostRelay) Receive(from Identity, m Message) {
	switch m.(type) {
	case HostChanges, HostDigest, HostListRequest:
		r.peerMessages.PutLatest(peerMessage{from: from, message: m})
	}
}

func (r *HostRelay) handleView(v *MembersView) {
	r.self = v.Self
	r.view = v
	if !v.Settled {
		return
	}
	shouldPoll := containsName(r.pollers(), v.Self.Name)
	if shouldPoll != r.isPolling {
		r.isPolling = shouldPoll
		r.poller.SetActive(shouldPoll)
		if shouldPoll {
			r.sendDigest()
		}
	}
	r.updateFormerPollers()
	r.publishMerged()
}

func (r *HostRelay) pollers() []string { return storeWatchers(r.view) }

// isPoller reports whether the daemon polls according to the current view.
func (r *HostRelay) isPoller(id PeerID) bool {
	if id == r.self.ID() {
		return r.isPolling
	}
	return r.view != nil && containsName(r.pollers(), id.Name)
}

// updateFormerPollers records since when the daemon of each list no longer
// polls.
func (r *HostRelay) updateFormerPollers() {
	for id, l := range r.lists {
		switch {
		case r.isPoller(id):
			l.notPollingSince = time.Time{}
		case l.notPollingSince.IsZero():
			l.notPollingSince = r.clock.Now()
		}
	}
}

// isExpired reports whether the list's daemon has not polled for
// formerListValidity.
func (r *HostRelay) isExpired(l *polledList) bool {
	return !l.notPollingSince.IsZero() && r.clock.Now().Sub(l.notPollingSince) >= formerListValidity
}

func (r *HostRelay) maintain() {
	r.sendDigest()
	for id, l := range r.lists {
		if id != r.self.ID() && r.isExpired(l) && !r.contributesHost(l) {
			delete(r.lists, id)
		}
	}
	r.publishMerged()
}

// contributesHost reports whether any entry of the list takes part in the
// merge.
func (r *HostRelay) contributesHost(l *polledList) bool {
	currentHosts := r.hostsOfCurrentPollers()
	for _, entry := range l.hosts {
		if r.isMerged(l, entry, currentHosts) {
			return true
		}
	}
	return false
}

// isMerged reports whether the entry takes part in the merge. Of an expired
// list only leaving hosts do, and only while a current poller still lists
// them, because that poller's list may be older. Without a list of a current
// poller every entry does.
func (r *HostRelay) isMerged(l *polledList, entry listedHost, currentHosts map[string]bool) bool {
	if !r.isExpired(l) || currentHosts == nil {
		return true
	}
	return entry.host.State == platform.HostLeaving && currentHosts[entry.host.Name]
}

// hostsOfCurrentPollers returns the host names in the lists of current
// pollers, or nil if there is no such list.
func (r *HostRelay) hostsOfCurrentPollers() map[string]bool {
	var names map[string]bool
	for _, l := range r.lists {
		if l.sequence == 0 || !l.notPollingSince.IsZero() {
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

func (r *HostRelay) listOf(id Identity) *polledList {
	l := r.lists[id.ID()]
	if l == nil || id.Incarnation.Compare(l.incarnation) > 0 {
		l = &polledList{incarnation: id.Incarnation, hosts: map[string]listedHost{}}
	}
	return l
}

// handlePolled applies the list of this daemon's poller and broadcasts the
// changes.
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
		if !r.isRelevant(h) {
			continue
		}
		entry, known := own.hosts[h.Name]
		if !known || entry.host != h {
			entry = listedHost{host: h, changedAt: now}
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
	_, isPresent := r.lists[r.self.ID()]
	if isPresent && len(change.Hosts) == 0 && len(change.Removed) == 0 {
		return
	}
	own.hosts = next
	own.sequence++
	own.updateDigest()
	r.lists[r.self.ID()] = own
	r.updateFormerPollers()
	if r.isPolling {
		change.Sequence = own.sequence
		r.sender.Broadcast(change)
		r.loop.After(hostDigestDelay, r.sendDigest)
	}
	r.publishMerged()
}

func (r *HostRelay) sendDigest() {
	own := r.lists[r.self.ID()]
	if r.isPolling && own != nil {
		r.sender.Broadcast(HostDigest{Sequence: own.sequence, Digest: own.digest})
	}
}

// isRelevant reports whether the daemons of this data centre need the host:
// its own hosts, and all backend servers and leaving hosts, because servers of
// other data centres are used when the local ones are unavailable.
func (r *HostRelay) isRelevant(h platform.Host) bool {
	return h.DataCentre == r.self.DataCentre || h.Role == platform.RoleBackend || h.State == platform.HostLeaving
}

// handlePeerMessage handles a message of another daemon. Messages of an
// earlier run of the sender are outdated and ignored.
func (r *HostRelay) handlePeerMessage(m peerMessage) {
	known := r.lists[m.from.ID()]
	isRemote := m.from.DataCentre != r.self.DataCentre
	if isRemote || (known != nil && m.from.Incarnation.Compare(known.incarnation) < 0) {
		return
	}
	switch message := m.message.(type) {
	case HostListRequest:
		r.sendFullList(m.from.ID())
	case HostDigest:
		l := r.listOf(m.from)
		if l.digest != message.Digest && message.Sequence >= l.sequence {
			r.requestList(m.from.ID(), l)
		}
	case HostChanges:
		r.applyChanges(m.from, message)
	}
}

func (r *HostRelay) requestList(id PeerID, l *polledList) {
	now := r.clock.Now()
	if !l.requestedAt.IsZero() && now.Sub(l.requestedAt) < hostListRequestPeriod {
		return
	}
	l.requestedAt = now
	r.lists[id] = l
	r.sender.Send(id, HostListRequest{})
}

func (r *HostRelay) sendFullList(to PeerID) {
	own := r.lists[r.self.ID()]
	if own == nil {
		return
	}
	now := r.clock.Now()
	m := HostChanges{Sequence: own.sequence, Full: true}
	for _, name := range own.names() {
		entry := own.hosts[name]
		m.Hosts = append(m.Hosts, HostEntry{Host: entry.host, Age: now.Sub(entry.changedAt)})
	}
	r.sender.Send(to, m)
}

// applyChanges applies the changes unless later ones were applied. An earlier
// change that was lost shows in the digest.
func (r *HostRelay) applyChanges(from Identity, m HostChanges) {
	l := r.listOf(from)
	if m.Sequence < l.sequence || (m.Sequence == l.sequence && !m.Full) {
		return
	}
	now := r.clock.Now()
	l.sequence = m.Sequence
	if m.Full {
		l.hosts = make(map[string]listedHost, len(m.Hosts))
	}
	for _, h := range m.Hosts {
		l.hosts[h.Name] = listedHost{host: h.Host, changedAt: now.Add(-h.Age)}
	}
	for _, name := range m.Removed {
		delete(l.hosts, name)
	}
	l.updateDigest()
	r.lists[from.ID()] = l
	r.updateFormerPollers()
	r.publishMerged()
}

// publishMerged passes the merged list to the listener if it has changed. A
// host stays listed while any poller lists it, since a list without it may be
// outdated.
func (r *HostRelay) publishMerged() {
	merged := map[string]listedHost{}
	currentHosts := r.hostsOfCurrentPollers()
	hasList := false
	for _, l := range r.lists {
		hasList = hasList || l.sequence > 0
		for name, entry := range l.hosts {
			current, known := merged[name]
			if r.isMerged(l, entry, currentHosts) && (!known || entry.takesPrecedence(current)) {
				merged[name] = entry
			}
		}
	}
	if !hasList {
		return
	}
	hosts := make([]platform.Host, 0, len(merged))
	for _, entry := range merged {
		hosts = append(hosts, entry.host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	if r.isPublished && equalHosts(hosts, r.merged) {
		return
	}
	r.isPublished = true
	r.merged = hosts
	r.listener(hosts)
}

// takesPrecedence reports whether the entry replaces the other one in the
// merged list. If their order is unknown, a leaving host wins.
func (e listedHost) takesPrecedence(other listedHost) bool {
	later := e.changedAt.Sub(other.changedAt)
	if e.host.State != other.host.State && later > -hostPollTimeout && later < hostPollTimeout {
		return e.host.State == platform.HostLeaving
	}
	return later > 0
}

func equalHosts(a, b []platform.Host) bool {
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

// updateDigest recomputes the digest of the entries, which excludes their
// ages.
func (l *polledList) updateDigest() {
	l.digest = 0
	for _, entry := range l.hosts {
		text, err := json.Marshal(entry.host)
		if err == nil {
			l.digest ^= xxhash.Sum64(text)
		}
	}
}
