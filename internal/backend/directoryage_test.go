package backend

import (
	"testing"
	"time"
)

// ageHarness is a directory with the confirmations that it passes on.
type ageHarness struct {
	*directoryHarness
	confirmed []time.Time
	lists     int // requested
}

func newAgeHarness() *ageHarness {
	b := &ageHarness{directoryHarness: newDirectoryHarness()}
	b.directory.SetConfirmHandler(func(at time.Time) { b.confirmed = append(b.confirmed, at) }, func() { b.lists++ })
	return b
}

// read receives the answer to a request for changes that was sent at the time.
func (b *ageHarness) read(sentAt time.Time) {
	b.directory.ConfirmRead(sentAt)
	b.directory.Loop().RunPending()
}

// contact receives an answer of the store to a request that was sent at the time.
func (b *ageHarness) contact(sentAt time.Time) {
	b.directory.ConfirmContact(sentAt)
	b.directory.Loop().RunPending()
}

// expect fails unless the directory has since passed on only the confirmation of the time,
// or none if the time is zero.
func (b *ageHarness) expect(t *testing.T, when string, want time.Time) {
	t.Helper()
	got := b.confirmed
	b.confirmed = nil
	switch {
	case want.IsZero() && len(got) > 0:
		t.Errorf("%s: the list is confirmed at %v", when, got)
	case !want.IsZero() && (len(got) != 1 || !got[0].Equal(want)):
		t.Errorf("%s: the list is confirmed at %v, want %v", when, got, want)
	}
}

// Guards against a list that is relied upon right after a time without changes: in it
// servers may have started again without an entry.
func TestDirectoryWaitsForEntriesOfServersAfterOutage(t *testing.T) {
	b := newAgeHarness()
	b.read(b.clock.Now())
	b.expect(t, "first list", time.Time{})
	b.wait(lapsedEntryGrace)
	b.contact(b.clock.Now())
	b.expect(t, "entries are settled", b.clock.Now())
	b.directory.SetStoreAvailable(false)
	b.wait(time.Second)
	b.contact(b.clock.Now())
	b.expect(t, "changes fail", time.Time{})
	b.directory.SetStoreAvailable(true)
	b.read(b.clock.Now())
	b.contact(b.clock.Now())
	b.expect(t, "the store is back", time.Time{})
	b.wait(lapsedEntryGrace)
	b.contact(b.clock.Now())
	b.expect(t, "entries are settled again", b.clock.Now())
}

// Guards against a daemon that stood still and, in its first second after that, relies on
// its list: because an answer from before arrives, or because the store answers it although
// the changes of that time have not arrived.
func TestDirectoryIsOldAfterDaemonStoodStill(t *testing.T) {
	b := newAgeHarness()
	b.read(b.clock.Now())
	b.wait(lapsedEntryGrace)
	b.contact(b.clock.Now())
	before := b.clock.Now()
	b.expect(t, "in step", before)
	b.clock.Advance(EntryTerm + time.Millisecond)
	if b.directory.IsFollowing() {
		t.Error("a daemon that stood still counts as in step")
	}
	b.contact(before.Add(1))
	b.contact(b.clock.Now())
	if b.lists > 0 {
		t.Error("a list was requested that may be on its way")
	}
	b.wait(listRequestDelay)
	b.contact(b.clock.Now())
	b.contact(b.clock.Now())
	b.expect(t, "contacts after it stood still", time.Time{})
	if b.lists != 1 {
		t.Errorf("%d lists were requested, want 1", b.lists)
	}
	b.read(before.Add(2))
	b.expect(t, "an answer from before", time.Time{})
	b.read(b.clock.Now())
	b.wait(lapsedEntryGrace)
	b.contact(b.clock.Now())
	b.expect(t, "in step again", b.clock.Now())
}

// Guards against a confirmation that overtakes the changes that were read before it.
func TestDirectoryConfirmsOnlyDeliveredChanges(t *testing.T) {
	b := newAgeHarness()
	b.read(b.clock.Now())
	b.wait(lapsedEntryGrace)
	b.contact(b.clock.Now())
	b.expect(t, "in step", b.clock.Now())
	b.wait(time.Millisecond)
	var changes []ServerChange
	for i := range minServersToBatch {
		changes = append(changes, engineEntry(serverName(i), 1))
	}
	b.change(changes...)
	b.read(b.clock.Now())
	b.expect(t, "changes wait for their delivery", time.Time{})
	readAt := b.clock.Now()
	b.wait(minServersToBatch * batchDelayPerServer)
	b.expect(t, "changes are delivered", readAt)
}
