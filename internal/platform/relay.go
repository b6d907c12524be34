package platform

import (
	"context"
	"errors"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	relayAsks      = 4096
	relaySnapshots = 1024
	relayPings     = 16
	// relayLog is how many snapshots a relay keeps for daemons that are behind.
	relayLog = 256
	// Parts of the time in which a change must be known everywhere: a relay
	// answers at least once a beat and refuses when the store has not answered
	// it for the freshness. The rest is left for the daemon that then asks the
	// store itself.
	relayBeatPart      = 0.2
	relayFreshnessPart = 0.4
)

// ErrRelayUnavailable means that a relay cannot answer; the store itself can.
var ErrRelayUnavailable = errors.New("platform: the relay cannot answer")

// RelayOptions describe a relay.
type RelayOptions struct {
	// MaxChangeDelay is the time in which a change must be known everywhere.
	MaxChangeDelay time.Duration
	// IsActive reports whether this daemon is a relay, whose own watch goes to
	// the store. It is called on the duty's goroutine.
	IsActive func() bool
}

// WatchQuery asks for the changes after a revision.
type WatchQuery struct{ After int64 }

// WatchReply is the answer to a WatchQuery.
type WatchReply struct {
	Listing Listing
	Err     error // ErrNotRelayed
}

type relayWaiter struct {
	ask   duty.Query[WatchQuery, WatchReply]
	since time.Time
}

// Relay is the duty that answers the watches of other daemons from this
// daemon's own watch, so that the calls of the store do not grow with the
// number of daemons. Its answers are revisions of the store, so a daemon may
// change between relays and the store at any call.
type Relay struct {
	loop      *duty.Loop
	pinger    Pinger
	pool      Pool
	options   RelayOptions
	asks      *duty.QueryRing[WatchQuery, WatchReply]
	snapshots *ring.Ring[Snapshot]
	contacts  *ring.Ring[time.Time]

	log       changeLog
	confirmed time.Time // when the store answered last
	waiters   []relayWaiter
}

// changeLog is the newest part of the changes of a prefix.
type changeLog struct {
	known    bool
	start    int64 // revision after which the log is complete
	revision int64 // up to which it is complete
	changes  []Snapshot
}

// add takes the next snapshot of a watch.
func (l *changeLog) add(s Snapshot) {
	l.known, l.revision = true, s.Revision
	if s.Full {
		// A list lacks what was made and removed since the watch before, so it
		// is no change for daemons that know a part of that.
		l.changes, l.start = nil, s.Revision
		return
	}
	l.changes = append(l.changes, s)
	if len(l.changes) > relayLog {
		l.start = l.changes[0].Revision
		l.changes = l.changes[1:]
	}
}

// since returns the changes after the revision, and false if the log does not
// have them all. Some of them may be older than the revision.
func (l *changeLog) since(after int64) (Listing, bool) {
	if !l.known || after < l.start {
		return Listing{}, false
	}
	listing := Listing{Revision: max(after, l.revision)}
	for _, s := range l.changes {
		if s.Revision > after {
			listing.Objects = append(listing.Objects, s.Objects...)
		}
	}
	return listing, true
}

// NewRelay returns the duty. It asks the pinger for signs of life of the store
// while it is active.
func NewRelay(clock duty.Clock, pinger Pinger, pool Pool, o RelayOptions) *Relay {
	r := &Relay{
		loop: duty.New("relay", clock), pinger: pinger, pool: pool, options: o,
		asks:      duty.NewQueryRing[WatchQuery, WatchReply]("relay.asks", relayAsks),
		snapshots: ring.New[Snapshot]("relay.snapshots", relaySnapshots),
		contacts:  ring.New[time.Time]("relay.contacts", relayPings),
	}
	duty.On(r.loop, r.snapshots, r.handleSnapshot)
	duty.On(r.loop, r.contacts, r.handleContact)
	duty.OnQuery(r.loop, r.asks, r.handleAsk)
	r.loop.Every(r.beat()/2, r.tick)
	r.loop.Every(r.beat(), r.ping)
	return r
}

// Loop returns the duty's loop.
func (r *Relay) Loop() *duty.Loop { return r.loop }

func (r *Relay) beat() time.Duration { return part(r.options.MaxChangeDelay, relayBeatPart) }

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// PutSnapshot takes a snapshot of this daemon's own watch. False means that it is
// lost, and that the watch must list again.
func (r *Relay) PutSnapshot(s Snapshot) bool { return r.snapshots.TryPut(s) }

// Watch waits for changes after the revision, for a beat at most. It blocks.
func (r *Relay) Watch(ctx context.Context, after int64) (Listing, error) {
	a, err := r.asks.Do(ctx, WatchQuery{After: after})
	if err != nil {
		return Listing{}, err
	}
	return a.Listing, a.Err
}

func (r *Relay) handleSnapshot(s Snapshot) {
	r.log.add(s)
	r.tick()
}

func (r *Relay) handleContact(at time.Time) { r.confirmed = at }

func (r *Relay) handleAsk(ask duty.Query[WatchQuery, WatchReply]) {
	r.answerOrWait(relayWaiter{ask: ask, since: r.loop.Clock().Now()})
}

// answerOrWait answers with changes, refuses, or keeps the question for later.
func (r *Relay) answerOrWait(w relayWaiter) {
	listing, complete := r.log.since(w.ask.Params.After)
	if !complete || !r.isFresh() {
		w.ask.Reply(WatchReply{Err: ErrRelayUnavailable})
		return
	}
	if len(listing.Objects) == 0 && r.loop.Clock().Now().Sub(w.since) < r.beat() {
		r.waiters = append(r.waiters, w)
		return
	}
	w.ask.Reply(WatchReply{Listing: listing})
}

// isFresh reports whether the store has answered this daemon lately, so that
// changes would have come.
func (r *Relay) isFresh() bool {
	age := r.loop.Clock().Now().Sub(r.confirmed)
	return r.options.IsActive() && age < part(r.options.MaxChangeDelay, relayFreshnessPart)
}

// tick looks at the waiting questions again: some have waited for a beat, and
// none can be answered when the store has been silent for too long.
func (r *Relay) tick() {
	waiting := r.waiters
	r.waiters = nil
	for _, w := range waiting {
		r.answerOrWait(w)
	}
}

// ping looks whether the store answers. The age of an answer counts from the
// question.
func (r *Relay) ping() {
	if !r.options.IsActive() {
		return
	}
	asked := r.loop.Clock().Now()
	bound := part(r.options.MaxChangeDelay, relayFreshnessPart)
	r.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		if r.pinger.Ping(ctx) == nil {
			r.contacts.PutLatest(asked)
		}
	})
}
