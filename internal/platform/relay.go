package platform

import (
	"context"
	"errors"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of a relay. Capacities count entries.
const (
	relayQueryCapacity       = 4096
	relaySnapshotCapacity    = 1024
	relayStoreAnswerCapacity = 16
	// relayLogSnapshots is the number of snapshots that a relay keeps for daemons
	// that are behind.
	relayLogSnapshots = 256
	// Shares of RelayOptions.MaxChangeDelay: a relay replies at the latest after
	// the reply share, and rejects queries when the store has not answered it
	// within the freshness share. The rest is for the daemon, which then calls
	// the store itself.
	relayReplyShare     = 0.2
	relayFreshnessShare = 0.4
)

// ErrRelayUnavailable means that the relay lacks the changes or has lost the store.
// The caller must call the store itself.
var ErrRelayUnavailable = errors.New("platform: the relay cannot answer")

// RelayOptions are the settings of a relay. All are required.
type RelayOptions struct {
	// MaxChangeDelay is the time within which each daemon must receive a change.
	MaxChangeDelay time.Duration
	// IsActive reports whether this daemon is a relay, so that its own watch goes
	// to the store. It is called on the duty's goroutine.
	IsActive func() bool
	// IsFollowing reports whether this daemon's own watch has received all changes. It
	// may not have after it stood still or was cut off, although the store answers again.
	// It is called on the duty's goroutine.
	IsFollowing func() bool
}

// WatchQuery requests the changes after a revision.
type WatchQuery struct{ After int64 }

// WatchReply is the reply to a WatchQuery.
type WatchReply struct {
	Listing Listing
	Err     error // nil or ErrRelayUnavailable
}

type waitingQuery struct {
	query duty.Query[WatchQuery, WatchReply]
	since time.Time
}

// Relay is the duty that answers the watches of other daemons from this daemon's
// own watch, so that the calls to the store do not grow with the number of
// daemons. Its answers carry revisions of the store, so a daemon may switch
// between relays and the store at any call.
type Relay struct {
	loop         *duty.Loop
	pinger       Pinger
	pool         Pool
	options      RelayOptions
	queries      *duty.QueryRing[WatchQuery, WatchReply]
	snapshots    *ring.Ring[Snapshot]
	storeAnswers *ring.Ring[time.Time]

	log             changeLog
	storeAnsweredAt time.Time // sending time of the last ping that the store answered
	waiting         []waitingQuery
}

// changeLog holds the newest changes of a prefix.
type changeLog struct {
	hasSnapshot   bool
	completeAfter int64 // the log has all changes after this revision
	revision      int64 // and up to this one
	changes       []Snapshot
}

// add appends the next snapshot of a watch.
func (l *changeLog) add(s Snapshot) {
	l.hasSnapshot, l.revision = true, s.Revision
	if s.Full {
		// A list lacks objects that were created and deleted since the previous
		// watch, so it cannot serve as a change for daemons that know some of
		// them.
		l.changes, l.completeAfter = nil, s.Revision
		return
	}
	l.changes = append(l.changes, s)
	if len(l.changes) > relayLogSnapshots {
		l.completeAfter = l.changes[0].Revision
		l.changes = l.changes[1:]
	}
}

// since returns the changes after the revision, or false if the log does not have
// all of them. The listing may contain changes up to the revision.
func (l *changeLog) since(after int64) (Listing, bool) {
	if !l.hasSnapshot || after < l.completeAfter {
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

// NewRelay returns the duty. While it is active it pings the store to know whether
// its own watch is current.
func NewRelay(clock duty.Clock, pinger Pinger, pool Pool, o RelayOptions) *Relay {
	r := &Relay{
		loop: duty.New("relay", clock), pinger: pinger, pool: pool, options: o,
		queries:      duty.NewQueryRing[WatchQuery, WatchReply]("relay.asks", relayQueryCapacity),
		snapshots:    ring.New[Snapshot]("relay.snapshots", relaySnapshotCapacity),
		storeAnswers: ring.New[time.Time]("relay.contacts", relayStoreAnswerCapacity),
	}
	duty.On(r.loop, r.snapshots, r.handleSnapshot)
	duty.On(r.loop, r.storeAnswers, r.handleStoreAnswer)
	duty.OnQuery(r.loop, r.queries, r.handleQuery)
	r.loop.Every(r.maxReplyDelay()/2, r.checkWaiting)
	r.loop.Every(r.maxReplyDelay(), r.pingStore)
	return r
}

// Loop returns the duty's loop.
func (r *Relay) Loop() *duty.Loop { return r.loop }

func (r *Relay) maxReplyDelay() time.Duration {
	return shareOf(r.options.MaxChangeDelay, relayReplyShare)
}

func shareOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// PutSnapshot passes a snapshot of this daemon's own watch to the duty. False
// means that it was lost and the watch must list again. Any goroutine may call it.
func (r *Relay) PutSnapshot(s Snapshot) bool { return r.snapshots.TryPut(s) }

// Watch returns the changes after the revision. It blocks until there are any, but
// at most for the reply share of RelayOptions.MaxChangeDelay. Duties must not call
// it.
func (r *Relay) Watch(ctx context.Context, after int64) (Listing, error) {
	reply, err := r.queries.Do(ctx, WatchQuery{After: after})
	if err != nil {
		return Listing{}, err
	}
	return reply.Listing, reply.Err
}

func (r *Relay) handleSnapshot(s Snapshot) {
	r.log.add(s)
	r.checkWaiting()
}

func (r *Relay) handleStoreAnswer(at time.Time) { r.storeAnsweredAt = at }

func (r *Relay) handleQuery(query duty.Query[WatchQuery, WatchReply]) {
	r.replyOrWait(waitingQuery{query: query, since: r.loop.Clock().Now()})
}

// replyOrWait replies with the changes or an error, or keeps the query until there
// are changes.
func (r *Relay) replyOrWait(w waitingQuery) {
	listing, isComplete := r.log.since(w.query.Params.After)
	if !isComplete || !r.isFresh() {
		w.query.Reply(WatchReply{Err: ErrRelayUnavailable})
		return
	}
	if len(listing.Objects) == 0 && r.loop.Clock().Now().Sub(w.since) < r.maxReplyDelay() {
		r.waiting = append(r.waiting, w)
		return
	}
	w.query.Reply(WatchReply{Listing: listing})
}

// isFresh reports whether the store has answered this daemon recently, so that its
// own watch has received all changes.
func (r *Relay) isFresh() bool {
	age := r.loop.Clock().Now().Sub(r.storeAnsweredAt)
	return r.options.IsActive() && r.options.IsFollowing() && age < shareOf(r.options.MaxChangeDelay, relayFreshnessShare)
}

// checkWaiting checks the waiting queries again: some have waited for
// maxReplyDelay, and all are rejected when the store has not answered for too
// long.
func (r *Relay) checkWaiting() {
	queries := r.waiting
	r.waiting = nil
	for _, w := range queries {
		r.replyOrWait(w)
	}
}

// pingStore checks whether the store answers. The age of an answer counts from the
// sending of the ping.
func (r *Relay) pingStore() {
	if !r.options.IsActive() {
		return
	}
	sentAt := r.loop.Clock().Now()
	timeout := shareOf(r.options.MaxChangeDelay, relayFreshnessShare)
	r.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if r.pinger.Ping(ctx) == nil {
			r.storeAnswers.PutLatest(sentAt)
		}
	})
}
