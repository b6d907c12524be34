package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// newSteppedEngine returns an engine without a running duty. The test steps it with
// a manual clock.
func newSteppedEngine(o Options) (*Server, *duty.ManualClock) {
	clock := duty.NewManualClock(time.Unix(1e9, 0))
	s := &Server{loop: duty.New("engine", clock), options: o, startCounts: map[string]int{}}
	s.model = backendhttp.ServerMessage{ChecksFence: o.ChecksFence, Models: []backendhttp.ModelMessage{{Name: "wear", Version: 1}}}
	s.reset()
	return s, clock
}

func enqueueRequest(s *Server, id string, priority, maxTokens int) *generation {
	g := newGeneration(backendhttp.CompletionMessage{RequestID: id, Priority: priority, MaxTokens: maxTokens})
	s.enqueue(g)
	return g
}

func runSteps(s *Server, clock *duty.ManualClock, steps int) {
	for range steps {
		clock.Advance(s.options.TokenTime)
		s.loop.RunPending()
	}
}

// Guards against a batch that ignores priorities or the number of slots, or that
// schedules steps without requests.
func TestBatch(t *testing.T) {
	s, clock := newSteppedEngine(Options{Slots: 1, TokenTime: time.Second})
	low, high := enqueueRequest(s, "low", 2, 3), enqueueRequest(s, "high", 0, 2)
	runSteps(s, clock, 2)
	if high.state != backendhttp.StateDone || low.position != 0 {
		t.Fatalf("after 2 steps: high %s, low at %d; want done, 0", high.state, low.position)
	}
	s.executeCommand(command{id: "low", action: "pause"})
	runSteps(s, clock, 1)
	s.executeCommand(command{id: "low", action: "pause"})
	runSteps(s, clock, 2)
	if low.position != 1 {
		t.Fatalf("a paused request is at %d, want 1", low.position)
	}
	s.executeCommand(command{id: "low", action: "resume"})
	runSteps(s, clock, 2)
	if low.state != backendhttp.StateDone || s.stepping {
		t.Fatalf("low is %s, stepping %v; want done and idle", low.state, s.stepping)
	}
}

// Guards against an unbounded cache, and against cache events that ignore the
// configured lag or the fault that drops events.
func TestCacheEvents(t *testing.T) {
	c := newPrefixCache(2)
	now := time.Unix(1e9, 0)
	if missing := c.insertPrompt(strings.Repeat("a", 3*backendhttp.PrefixBlockBytes)); missing != 3 || c.blocks.Len() != 2 {
		t.Fatalf("%d blocks missing, %d cached; want 3, 2", missing, c.blocks.Len())
	}
	c.publish(now, 2)
	if early := c.eventsAfter(0, now, time.Second); len(early) != 0 {
		t.Errorf("%d events before the lag", len(early))
	}
	late := c.eventsAfter(0, now.Add(time.Second), time.Second)
	if len(late) != 2 || late[0].Sequence != 1 || late[1].Sequence != 3 {
		t.Errorf("events %+v, want 1 and 3 of 4", late)
	}
}

// Guards against an engine that accepts an old fencing number although it is
// configured to check them, or rejects one although it is not.
func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s, clock := newSteppedEngine(Options{ChecksFence: checks, SwapTime: time.Second})
		order := func(o backendhttp.OrderMessage) (err *core.Error) {
			s.executeOrder(o, func(e *core.Error) { err = e })
			clock.Advance(time.Second)
			s.loop.RunPending()
			return err
		}
		if err := order(backendhttp.OrderMessage{Kind: "load-version", Version: 5, Fence: 9}); err != nil || s.model.Models[0].Version != 5 {
			t.Fatalf("version %d, %v; want 5", s.model.Models[0].Version, err)
		}
		if err := order(backendhttp.OrderMessage{Kind: "load-version", Version: 4, Fence: 8}); (err != nil) != checks {
			t.Errorf("checks %v: old fencing number gave %v", checks, err)
		}
		s.faults.SwapFails = true
		if err := order(backendhttp.OrderMessage{Kind: "load-version", Version: 6, Fence: 9}); err == nil || s.model.Models[0].Version != 0 {
			t.Errorf("failed swap left version %d, %v; want an unknown one", s.model.Models[0].Version, err)
		}
		s.faults.SwapFails = false
		for _, o := range []backendhttp.OrderMessage{
			{Kind: "load-adapter", Model: "wear", Adapter: "tbilisi", Fence: 9}, {Kind: "set-role", Role: "decode", Fence: 9}, {Kind: "load-model", Model: "new", Version: 1, Fence: 9},
		} {
			if err := order(o); err != nil {
				t.Error(err)
			}
		}
		if got := fmt.Sprint(s.model.Models, s.model.Role); got != "[{wear 0 [tbilisi]} {new 1 []}]decode" {
			t.Errorf("the engine has %s", got)
		}
	}
}

// Guards against load reports that are newer than the configured lag, and against
// imported prefixes that are computed again.
func TestLoadLagAndKV(t *testing.T) {
	s, clock := newSteppedEngine(Options{Slots: 4, CacheBlocks: 8, LoadLag: 3 * time.Second, TokenTime: time.Second})
	s.load()
	enqueueRequest(s, "r", 0, 100)
	runSteps(s, clock, 1)
	for range 2 {
		if l := s.load(); l.Running != 0 {
			t.Errorf("the report shows %d running within the lag", l.Running)
		}
		clock.Advance(time.Second)
	}
	clock.Advance(2 * time.Second)
	if l := s.load(); l.Running != 1 {
		t.Errorf("the report shows %d running after the lag, want 1", l.Running)
	}
	prompt := strings.Repeat("b", 2*backendhttp.PrefixBlockBytes)
	s.importKV(backendhttp.KVMessage{Prefixes: prefixHashes(prompt)})
	if missing := s.cache.insertPrompt(prompt); missing != 0 {
		t.Errorf("%d imported blocks are missing", missing)
	}
	if m, known := s.exportKV("r"); !known || m.RequestID != "r" {
		t.Errorf("export gave %+v, %v", m, known)
	}
}
