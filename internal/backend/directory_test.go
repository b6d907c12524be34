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

type directoryBench struct {
	clock     *duty.ManualClock
	directory *Directory
	listed    map[core.ServerID]Server
}

func newDirectoryBench() *directoryBench {
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &directoryBench{clock: duty.NewManualClock(time.Unix(1e9, 0))}
	b.directory = NewDirectory(b.clock, logrus.NewEntry(log), func(list []Server) {
		b.listed = map[core.ServerID]Server{}
		for _, s := range list {
			b.listed[s.ID] = s
		}
	})
	return b
}

func (b *directoryBench) change(changes ...ServerChange) {
	b.directory.SubmitChanges(changes)
	b.directory.Loop().RunPending()
}

func (b *directoryBench) wait(d time.Duration) {
	b.clock.Advance(d)
	b.directory.Loop().RunPending()
}

func engine(id core.ServerID, version core.Version) ServerChange {
	return ServerChange{ID: id, Server: Server{ID: id, Address: "a", Description: Description{
		Incarnation: string(id) + "@1", Models: []ModelDescription{{Name: "m", Version: version}},
	}}}
}

// Guards against new work for a server that has left, and against the loss of
// one whose entry only lapsed while the store was away.
func TestDirectoryKeepsLapsedServersForAWhile(t *testing.T) {
	b := newDirectoryBench()
	b.change(engine("a", 1), engine("b", 1), engine("c", 1))
	b.change(ServerChange{ID: "a", Removed: true})
	if len(b.listed) != 2 {
		t.Fatalf("a server that has left is listed: %v", b.listed)
	}
	b.directory.SetStoreAvailable(false)
	b.directory.SetStoreAvailable(true)
	b.change(ServerChange{ID: "b", Removed: true}, ServerChange{ID: "c", Removed: true})
	if len(b.listed) != 2 {
		t.Fatalf("a lapsed server is dropped at once: %v", b.listed)
	}
	b.change(engine("b", 1))
	b.wait(returnTime)
	if _, back := b.listed["b"]; !back || len(b.listed) != 1 {
		t.Errorf("after the wait %v is listed, want b alone", b.listed)
	}
}

// Guards against a leaving server that gets work again since its entry went
// while the store was away.
func TestDirectoryDropsLeavingServersAtOnce(t *testing.T) {
	b := newDirectoryBench()
	leaving := engine("a", 1)
	leaving.Server.Leaving = true
	b.change(leaving)
	b.directory.SetStoreAvailable(false)
	b.directory.SetStoreAvailable(true)
	b.change(ServerChange{ID: "a", Removed: true})
	if len(b.listed) != 0 {
		t.Errorf("a leaving server is kept: %v", b.listed)
	}
}

// Guards against an engine that is sent work while it loads, a version that
// goes back with a late entry, and a notice that outlives the engine's run.
func TestDirectoryNotices(t *testing.T) {
	b := newDirectoryBench()
	b.change(engine("a", 1))
	note := func(n ModelStatus) {
		b.directory.UpdateModelStatus([]ModelStatus{n})
		b.directory.Loop().RunPending()
	}
	model := func() ModelDescription { return b.listed["a"].Description.Models[0] }
	note(ModelStatus{Server: "a", Model: "m", Loading: true})
	if !model().Loading {
		t.Error("the engine is not marked as loading")
	}
	note(ModelStatus{Server: "a", Model: "m", Version: 2})
	b.change(engine("a", 1)) // an entry from before the load
	if got := model(); got.Version != 2 || got.Loading {
		t.Errorf("model %+v, want version 2", got)
	}
	restarted := engine("a", 1)
	restarted.Server.Description.Incarnation = "a@2"
	b.change(restarted)
	if got := model(); got.Version != 1 {
		t.Errorf("version %d of the run before is kept", got.Version)
	}
	note(ModelStatus{Server: "a", Model: "m", Loading: true})
	b.wait(loadingTime)
	b.change(engine("b", 1))
	if model().Loading {
		t.Error("a load whose end was not told never ends")
	}
}

// Guards against a wrong version that was told once and is believed for the
// whole run of an engine, although its own answers name another.
func TestDirectoryTakesTheEnginesOwnWord(t *testing.T) {
	b := newDirectoryBench()
	b.change(engine("a", 1))
	for _, n := range []ModelStatus{{Server: "a", Model: "m", Version: 12}, {Server: "a", Model: "m", Version: 3, Observed: true}} {
		b.directory.UpdateModelStatus([]ModelStatus{n})
		b.directory.Loop().RunPending()
	}
	if got := b.listed["a"].Description.Models[0].Version; got != 3 {
		t.Errorf("version %d, the engine says 3", got)
	}
}

// Guards against a delivery for each of many changes, which takes all of the
// processor where there are many servers, and against changes that wait long.
func TestDirectoryCollectsChangesOfManyServers(t *testing.T) {
	const servers = 1000
	b := newDirectoryBench()
	deliveries := 0
	inner := b.directory.deliver
	b.directory.deliver = func(list []Server) { deliveries++; inner(list) }
	var all []ServerChange
	for i := range servers {
		all = append(all, engine(core.ServerID(fmt.Sprintf("e%04d", i)), 1))
	}
	b.change(all...)
	b.wait(servers * collectPerServer)
	deliveries = 0
	for i := range 200 {
		b.directory.UpdateModelStatus([]ModelStatus{{Server: core.ServerID(fmt.Sprintf("e%04d", i)), Model: "m", Version: 2}})
		b.directory.Loop().RunPending()
	}
	b.wait(servers * collectPerServer)
	if deliveries != 1 || b.listed["e0199"].Description.Models[0].Version != 2 {
		t.Errorf("%d deliveries, the last engine is at version %d", deliveries, b.listed["e0199"].Description.Models[0].Version)
	}
}
