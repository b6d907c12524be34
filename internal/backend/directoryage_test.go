package backend

import (
	"testing"
	"time"
)

// ageHarness is a directory with the confirmations that it passes on.
type ageHarness struct {
	*directoryHarness
	confirmed []time.Time
}

func newAgeHarness() *ageHarness {
	b := &ageHarness{directoryHarness: newDirectoryHarness()}
	b.directory.SetConfirmHandler(func(at time.Time) { b.confirmed = append(b.confirmed, at) })
	return b
}

// read receives an answer to the reads of changes, which has all up to the time.
func (b *ageHarness) read(upTo time.Time) {
	b.directory.ConfirmRead(upTo)
	b.directory.Loop().RunPending()
}

// follow reads for a while, as often as a watch is answered.
func (b *ageHarness) follow(d time.Duration) {
	const period = 500 * time.Millisecond
	for ; d > 0; d -= period {
		b.wait(min(d, period))
		b.read(b.clock.Now())
	}
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
	b.follow(lapsedEntryGrace)
	b.expect(t, "entries are settled", b.clock.Now())
	b.directory.SetStoreAvailable(false)
	b.wait(time.Second)
	b.expect(t, "changes fail", time.Time{})
	b.directory.SetStoreAvailable(true)
	b.read(b.clock.Now())
	b.expect(t, "the store is back", time.Time{})
	b.follow(lapsedEntryGrace)
	b.expect(t, "entries are settled again", b.clock.Now())
}

// Guards against a list that counts as current although its reads are not answered any
// more: after its daemon stood still, an answer from before arrives, or the watch is dead
// while the store answers all other calls.
func TestDirectoryIsOldWithoutAnswersToItsReads(t *testing.T) {
	b := newAgeHarness()
	b.read(b.clock.Now())
	b.follow(lapsedEntryGrace)
	before := b.clock.Now()
	b.expect(t, "in step", before)
	b.clock.Advance(EntryTerm + time.Millisecond)
	if b.directory.followed.IsValid() {
		t.Error("a daemon whose reads are not answered counts as in step")
	}
	b.read(before.Add(2))
	b.expect(t, "an answer from before", time.Time{})
	b.read(b.clock.Now())
	b.expect(t, "the first answer", time.Time{})
	b.follow(lapsedEntryGrace)
	b.expect(t, "in step again", b.clock.Now())
}

// Guards against a confirmation that overtakes the changes that were read before it.
func TestDirectoryConfirmsOnlyDeliveredChanges(t *testing.T) {
	b := newAgeHarness()
	b.read(b.clock.Now())
	b.follow(lapsedEntryGrace)
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
