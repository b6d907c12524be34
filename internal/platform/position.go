package platform

import (
	"sync/atomic"
	"time"
)

const (
	// ageCheckPeriod is the time between two checks of a watch that the store may hold for
	// longer than the bound of the age.
	ageCheckPeriod = time.Second
	// behindTime is how long a watcher may lack a change that another one has, beside the
	// delay in which it collects changes: both receive it about the same time.
	behindTime = time.Second
)

// Position is how far a watcher has followed its prefix.
type Position struct {
	Prefix string
	Change int64 // revision of the newest change that was delivered
}

// oversight is what a watcher knows of others that follow the same prefix and are confirmed
// by their own answers. While one of them reports its position, its watches may be held for
// long: a change that it misses shows by that position.
type oversight struct {
	at          time.Time // of the newest report
	behindSince time.Time // zero if no report has a change that is missing here
	renewedFor  int64     // change for which the list was read again
}

// reachedPosition is how far a watcher has come. Its duty advances it; any goroutine may
// read it.
type reachedPosition struct {
	newestChange  atomic.Int64 // revision of the newest delivered change
	upToUnixNanos atomic.Int64 // all changes up to this time were delivered
}

// advance records an answer to a call that was sent at the time.
func (p *reachedPosition) advance(sentAt time.Time, l *Listing) {
	p.upToUnixNanos.Store(max(p.upToUnixNanos.Load(), sentAt.Add(l.UpTo).UnixNano()))
	for i := range l.Objects {
		p.newestChange.Store(max(p.newestChange.Load(), l.Objects[i].Revision))
	}
}

func (p *reachedPosition) upTo() time.Time { return time.Unix(0, p.upToUnixNanos.Load()) }

// Position returns the position. isCurrent is false if the age of the state is not bounded
// or has passed its bound. Any goroutine may call it.
func (w *Watcher) Position() (p Position, isCurrent bool) {
	p = Position{Prefix: w.prefix, Change: w.reached.newestChange.Load()}
	maxAge := w.maxAge()
	return p, maxAge > 0 && w.loop.Clock().Now().Sub(w.reached.upTo()) <= maxAge
}

// ReportPosition tells the watcher the position of another one of the same prefix that is
// current. Any goroutine may call it.
func (w *Watcher) ReportPosition(p Position) { w.positions.PutLatest(p) }

func (w *Watcher) handlePosition(p Position) {
	now := w.loop.Clock().Now()
	w.oversight.at = now
	switch {
	case p.Change <= w.reached.newestChange.Load() || p.Change <= w.oversight.renewedFor:
		w.oversight.behindSince = time.Time{}
	case w.oversight.behindSince.IsZero():
		w.oversight.behindSince = now
	case now.Sub(w.oversight.behindSince) >= behindTime+w.batchDelay():
		w.oversight.behindSince, w.oversight.renewedFor = time.Time{}, p.Change
		w.counters.timedOut.Inc(1)
		w.relist()
	}
}

func (w *Watcher) maxAge() time.Duration {
	if w.options.MaxAge == nil {
		return 0
	}
	return w.options.MaxAge()
}

func (w *Watcher) batchDelay() time.Duration {
	if w.options.BatchDelay == nil {
		return 0
	}
	return w.options.BatchDelay()
}

// isOverseen reports whether another watcher has reported its position recently.
func (w *Watcher) isOverseen(now time.Time) bool { return now.Sub(w.oversight.at) < w.maxAge() }

// checkAge replaces a watch that was sent while this watcher was overseen and is not any
// more.
func (w *Watcher) checkAge() {
	now, maxAge := w.loop.Clock().Now(), w.maxAge()
	if maxAge <= 0 || !w.isCalling || !w.isListed || w.isOverseen(now) {
		return
	}
	if now.Sub(w.callSentAt) > maxAge {
		w.abandonCall()
		w.startCall()
	}
}
