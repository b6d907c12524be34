package backend

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

type directoryHarness struct {
	clock     *duty.ManualClock
	directory *Directory
	published map[core.ServerID]Server
}

func newDirectoryHarness() *directoryHarness {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &directoryHarness{clock: duty.NewManualClock(time.Unix(1e9, 0))}
	b.directory = NewDirectory(b.clock, logrus.NewEntry(log), func(list []Server) {
		b.published = map[core.ServerID]Server{}
		for _, s := range list {
			b.published[s.ID] = s
		}
	})
	return b
}

func (b *directoryHarness) change(changes ...ServerChange) {
	b.directory.SubmitChanges(changes)
	b.directory.Loop().RunPending()
}

func (b *directoryHarness) wait(d time.Duration) {
	b.clock.Advance(d)
	b.directory.Loop().RunPending()
}

func engineEntry(id core.ServerID, version core.Version) ServerChange {
	return ServerChange{ID: id, Server: Server{ID: id, Address: "a", Description: Description{
		Incarnation: string(id) + "@1", Models: []ModelDescription{{Name: "m", Version: version}},
	}}}
}

// Guards against new requests to a server that was removed, and against the
// removal of a server whose entry lapsed only because the store was
// unavailable.
func TestDirectoryKeepsLapsedServersForGracePeriod(t *testing.T) {
	b := newDirectoryHarness()
	b.change(engineEntry("a", 1), engineEntry("b", 1), engineEntry("c", 1))
	b.change(ServerChange{ID: "a", Removed: true})
	if len(b.published) != 2 {
		t.Fatalf("a removed server is listed: %v", b.published)
	}
	b.directory.SetStoreAvailable(false)
	b.directory.SetStoreAvailable(true)
	b.change(ServerChange{ID: "b", Removed: true}, ServerChange{ID: "c", Removed: true})
	if len(b.published) != 2 {
		t.Fatalf("a lapsed server is removed immediately: %v", b.published)
	}
	b.change(engineEntry("b", 1))
	b.wait(lapsedEntryGrace)
	if _, isListed := b.published["b"]; !isListed || len(b.published) != 1 {
		t.Errorf("after the grace period %v is listed, want only b", b.published)
	}
}

// Guards against new requests to a leaving server whose entry is removed after
// the store was unavailable: the grace period must not keep it.
func TestDirectoryRemovesLeavingServersImmediately(t *testing.T) {
	b := newDirectoryHarness()
	leaving := engineEntry("a", 1)
	leaving.Server.Leaving = true
	b.change(leaving)
	b.directory.SetStoreAvailable(false)
	b.directory.SetStoreAvailable(true)
	b.change(ServerChange{ID: "a", Removed: true})
	if len(b.published) != 0 {
		t.Errorf("a leaving server is still listed: %v", b.published)
	}
}

// Guards against requests to an engine that is loading, a version that is
// lowered by an entry written before the load, and a status that outlives the
// engine's incarnation.
func TestDirectoryAppliesModelStatus(t *testing.T) {
	b := newDirectoryHarness()
	b.change(engineEntry("a", 1))
	update := func(status ModelStatus) {
		b.directory.UpdateModelStatus([]ModelStatus{status})
		b.directory.Loop().RunPending()
	}
	model := func() ModelDescription { return b.published["a"].Description.Models[0] }
	update(ModelStatus{Server: "a", Model: "m", Loading: true})
	if !model().Loading {
		t.Error("the engine is not marked as loading")
	}
	update(ModelStatus{Server: "a", Model: "m", Version: 2})
	b.change(engineEntry("a", 1)) // written before the load
	if got := model(); got.Version != 2 || got.Loading {
		t.Errorf("model %+v, want version 2", got)
	}
	restarted := engineEntry("a", 1)
	restarted.Server.Description.Incarnation = "a@2"
	b.change(restarted)
	if got := model(); got.Version != 1 {
		t.Errorf("version %d of the previous incarnation is kept", got.Version)
	}
	update(ModelStatus{Server: "a", Model: "m", Loading: true})
	b.wait(loadingTimeout)
	b.change(engineEntry("b", 1))
	if model().Loading {
		t.Error("a load whose end was not reported never ends")
	}
}

// Guards against a wrong version that was reported once and is kept for the
// whole incarnation of an engine although the engine's own answers name another
// version.
func TestDirectoryPrefersObservedVersion(t *testing.T) {
	b := newDirectoryHarness()
	b.change(engineEntry("a", 1))
	for _, status := range []ModelStatus{{Server: "a", Model: "m", Version: 12}, {Server: "a", Model: "m", Version: 3, Observed: true}} {
		b.directory.UpdateModelStatus([]ModelStatus{status})
		b.directory.Loop().RunPending()
	}
	if got := b.published["a"].Description.Models[0].Version; got != 3 {
		t.Errorf("version %d, want the observed version 3", got)
	}
}

// Guards against a delivery for each of many changes, which uses a whole
// processor when there are many servers, and against changes that are delayed
// too long.
func TestDirectoryBatchesChangesOfManyServers(t *testing.T) {
	const servers = 1000
	b := newDirectoryHarness()
	deliveries := 0
	inner := b.directory.deliver
	b.directory.deliver = func(list []Server) { deliveries++; inner(list) }
	var all []ServerChange
	for i := range servers {
		all = append(all, engineEntry(core.ServerID(fmt.Sprintf("e%04d", i)), 1))
	}
	b.change(all...)
	b.wait(servers * batchDelayPerServer)
	deliveries = 0
	for i := range 200 {
		b.directory.UpdateModelStatus([]ModelStatus{{Server: core.ServerID(fmt.Sprintf("e%04d", i)), Model: "m", Version: 2}})
		b.directory.Loop().RunPending()
	}
	b.wait(servers * batchDelayPerServer)
	if deliveries != 1 || b.published["e0199"].Description.Models[0].Version != 2 {
		t.Errorf("%d deliveries, the last engine is at version %d", deliveries, b.published["e0199"].Description.Models[0].Version)
	}
}

// Guards against new requests to a server that said with an answer that it is leaving,
// whatever its entry says, and against a later run of it that gets none.
func TestServerThatSaysItIsLeavingGetsNoNewRequests(t *testing.T) {
	b := newDirectoryHarness()
	b.change(engineEntry("a", 1), engineEntry("b", 1))
	b.directory.AddLeavingNotice(LeavingNotice{Server: "a", Incarnation: "a@1"})
	b.directory.Loop().RunPending()
	requireLeaving := func(when string, want bool) {
		t.Helper()
		if b.published["a"].Leaving != want || b.published["b"].Leaving {
			t.Errorf("%s: leaving %v and %v, want %v and false", when, b.published["a"].Leaving, b.published["b"].Leaving, want)
		}
	}
	requireLeaving("after the notice", true)
	b.change(engineEntry("a", 2))
	requireLeaving("after an entry that is ready", true)
	b.change(ServerChange{ID: "a", Removed: true})
	b.change(engineEntry("a", 2))
	requireLeaving("after the entry has come back", true)
	restarted := engineEntry("a", 2)
	restarted.Server.Description.Incarnation = "a@2"
	b.change(restarted)
	requireLeaving("after a restart", false)
	b.directory.AddLeavingNotice(LeavingNotice{Server: "a", Incarnation: "a@1"})
	b.directory.Loop().RunPending()
	requireLeaving("after a late answer of the earlier run", false)
}
