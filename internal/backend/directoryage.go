package backend

import (
	"time"
)

// SetConfirmHandler sets the function that receives the time at which the list that was
// delivered last was the newest. It must not block. SetConfirmHandler must be called before
// the duty starts.
func (d *Directory) SetConfirmHandler(confirm func(at time.Time)) { d.confirm = confirm }

// ConfirmRead records that all changes up to the time were submitted before, as shown by an
// answer to the reads that bring them. An answer to any other call shows nothing: the watch
// that is to bring the changes may wait on a connection that is dead.
func (d *Directory) ConfirmRead(readAt time.Time) { d.changes.TryPut(directoryChange{readAt: readAt}) }

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

func (d *Directory) follow(at time.Time) {
	d.followed.Confirm(at)
	if at.After(d.readAt) {
		d.readAt = at
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
