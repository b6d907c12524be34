package backend

import (
	"time"
)

// listRequestDelay is how long the store answers before the list is requested: after an
// outage that was noticed, it is read again without a request.
const listRequestDelay = time.Second

// SetConfirmHandler sets the function that receives the time at which the list that was
// delivered last was the newest, and the one that requests the whole list after changes
// may have been missed. Neither may block. SetConfirmHandler must be called before the
// duty starts.
func (d *Directory) SetConfirmHandler(confirm func(at time.Time), onOutdated func()) {
	d.confirm, d.onOutdated = confirm, onOutdated
}

// ConfirmRead records that all changes up to the time were submitted before. readAt is the
// time at which they were requested.
func (d *Directory) ConfirmRead(readAt time.Time) { d.changes.TryPut(directoryChange{readAt: readAt}) }

// ConfirmContact records that the store answered a request that was sent at the time. It
// sends changes as they happen, so unless some were missing before, only those are missing
// for which the next watch still waits (see platform.WatcherOptions.BatchDelay).
func (d *Directory) ConfirmContact(sentAt time.Time) { d.contacts.PutLatest(sentAt) }

// IsFollowing reports whether all changes of the last EntryTerm were received. Any
// goroutine may call it.
func (d *Directory) IsFollowing() bool { return d.followed.IsValid() }

func (d *Directory) handleChange(c directoryChange) {
	if c.readAt.IsZero() {
		d.handleChanges(c.changes)
		return
	}
	d.handleRead(c.readAt)
}

func (d *Directory) handleRead(readAt time.Time) {
	if !d.isStoreAvailable || !d.followed.IsValid() {
		d.reliedUponFrom = d.loop.Clock().Now().Add(lapsedEntryGrace)
	}
	d.follow(readAt)
}

// handleContact extends what is known by a contact with the store. Too long after the
// last one, the connection that brings the changes may have been lost unnoticed, or its
// last changes may be on their way.
func (d *Directory) handleContact(sentAt time.Time) {
	if d.isStoreAvailable && d.followed.IsValid() {
		d.follow(sentAt)
		return
	}
	now := d.loop.Clock().Now()
	if d.backInContactAt.IsZero() {
		d.backInContactAt = now
	}
	if !d.isListRequested && now.Sub(d.backInContactAt) >= listRequestDelay && d.onOutdated != nil {
		d.isListRequested = true
		d.onOutdated()
	}
}

func (d *Directory) follow(at time.Time) {
	d.followed.Confirm(at)
	if at.After(d.readAt) {
		d.readAt = at
	}
	if d.followed.IsValid() {
		d.isListRequested, d.backInContactAt = false, time.Time{}
	}
	d.passConfirmation()
}

// passConfirmation confirms the delivered list if it has all changes, and if the servers
// have had the time to write their entries before.
func (d *Directory) passConfirmation() {
	if d.confirm == nil || d.publishPending || d.readAt.Before(d.reliedUponFrom) || !d.readAt.After(d.confirmedAt) {
		return
	}
	d.confirmedAt = d.readAt
	d.confirm(d.confirmedAt)
	d.logUpToDate()
}

// logUpToDate logs when the list is relied upon no longer, and when it is again.
func (d *Directory) logUpToDate() {
	age := d.loop.Clock().Now().Sub(d.confirmedAt)
	if isUpToDate := age <= EntryTerm; isUpToDate != d.isUpToDate {
		d.isUpToDate = isUpToDate
		if isUpToDate {
			d.log.Info("entries of backend servers are up to date")
			return
		}
		d.log.WithField("age_ms", age.Milliseconds()).Warn("entries of backend servers are out of date")
	}
}
