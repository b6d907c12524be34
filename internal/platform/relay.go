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
	relayQueryCapacity = 4096
	relayReadCapacity  = 1024
	// relayLogSnapshots is the number of snapshots that a relay keeps for daemons
	// that are behind.
	relayLogSnapshots = 256
	// Shares of RelayOptions.MaxChangeDelay: a relay replies at the latest after
	// the reply share, and rejects queries when its own watch has not confirmed its
	// state within the freshness share. A daemon waits for a relay for the call share.
	// The rest is for the daemon, which then calls the store itself.
	relayReplyShare     = 0.2
	relayCallShare      = 0.4
	relayFreshnessShare = 0.6
)

// RelayMaxAge returns the age that the state of a relay may reach.
func RelayMaxAge(maxChangeDelay time.Duration) time.Duration {
	return shareOf(maxChangeDelay, relayFreshnessShare)
}

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
	// Positions returns the positions of this daemon's current watchers, which the other
	// daemons compare with their own. It must not block; nil is none.
	Positions func() []Position
}

// WatchQuery requests the changes after a revision.
type WatchQuery struct{ After int64 }

// WatchReply is the reply to a WatchQuery.
type WatchReply struct {
	Listing Listing
	Err     error // nil or ErrRelayUnavailable
}

// relayRead is a snapshot of this daemon's own watch, or the time up to which all changes
// were passed before. Both share a ring, since their order counts.
type relayRead struct {
	snapshot *Snapshot // nil for a time
	upTo     time.Time
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
	loop    *duty.Loop
	options RelayOptions
	queries *duty.QueryRing[WatchQuery, WatchReply]
	reads   *ring.Ring[relayRead]

	log      changeLog
	readUpTo time.Time // all changes up to this time are in the log
	waiting  []waitingQuery
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

// NewRelay returns the duty. The clock must be that of the daemon's own watch and include
// the time for which the host is suspended.
func NewRelay(clock duty.Clock, o RelayOptions) *Relay {
	r := &Relay{
		loop: duty.New("relay", clock), options: o,
		queries: duty.NewQueryRing[WatchQuery, WatchReply]("relay.asks", relayQueryCapacity),
		reads:   ring.New[relayRead]("relay.snapshots", relayReadCapacity),
	}
	duty.On(r.loop, r.reads, r.handleRead)
	duty.OnQuery(r.loop, r.queries, r.handleQuery)
	r.loop.Every(r.maxReplyDelay()/2, r.checkWaiting)
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
func (r *Relay) PutSnapshot(s Snapshot) bool { return r.reads.TryPut(relayRead{snapshot: &s}) }

// ConfirmRead records that all changes up to the time were passed before, as shown by an
// answer to this daemon's own watch. Any goroutine may call it.
func (r *Relay) ConfirmRead(upTo time.Time) { r.reads.TryPut(relayRead{upTo: upTo}) }

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

func (r *Relay) handleRead(read relayRead) {
	if read.snapshot == nil {
		r.readUpTo = read.upTo
		return
	}
	r.log.add(*read.snapshot)
	r.checkWaiting()
}

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
	// The query was sent before it arrived, so its sender confirms its own state by an
	// earlier time than this one.
	listing.UpTo = r.readUpTo.Sub(w.since)
	if r.options.Positions != nil {
		listing.Positions = r.options.Positions()
	}
	w.query.Reply(WatchReply{Listing: listing})
}

// isFresh reports whether this daemon's own watch has received all changes until
// recently. That the store answers other calls of this daemon shows nothing of it.
func (r *Relay) isFresh() bool {
	age := r.loop.Clock().Now().Sub(r.readUpTo)
	return r.options.IsActive() && age < RelayMaxAge(r.options.MaxChangeDelay)
}

// checkWaiting checks the waiting queries again: some have waited for
// maxReplyDelay, and all are rejected when the own watch was not confirmed for too
// long.
func (r *Relay) checkWaiting() {
	queries := r.waiting
	r.waiting = nil
	for _, w := range queries {
		r.replyOrWait(w)
	}
}
