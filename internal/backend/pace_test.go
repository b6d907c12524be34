package backend

import (
	"testing"
	"time"
)

// Guards against streams that move because of a single delayed event, that move
// although no engine has room, or that stay on an engine where each event takes
// several times as long.
func TestStreamPaceLimit(t *testing.T) {
	p := &streamPace{}
	p.observe(minPaceEvents-1, time.Hour) // too few events for a pace
	for range 50 {
		p.observe(20, 20*40*time.Millisecond)
	}
	if p.meanPerEvent != 40*time.Millisecond {
		t.Fatalf("mean time per event %v, want 40 ms", p.meanPerEvent)
	}
	if p.isTooSlow(10, time.Hour) {
		t.Error("a stream moves although no engine has room")
	}
	p.setMoveAllowed(true)
	cases := []struct {
		events int
		per    time.Duration
		moves  bool
	}{{minPaceEvents - 1, time.Second, false}, {minPaceEvents, 140 * time.Millisecond, true}, {20, 60 * time.Millisecond, false}, {20, 90 * time.Millisecond, true}}
	for _, c := range cases {
		if got := p.isTooSlow(c.events, time.Duration(c.events-1)*c.per); got != c.moves {
			t.Errorf("%d events of %v each: moves %v", c.events, c.per, got)
		}
	}
	p.setMoveAllowed(false)
	if p.isTooSlow(20, time.Hour) {
		t.Error("a stream moves after moves were disabled")
	}
}

// Guards against streams that move to engines that are full or slow.
func TestMoveTargetForSlowStreams(t *testing.T) {
	b := newDispatchHarness(t, 2, completed)
	now := b.clock.Now()
	g := b.dispatch.router.groups["desk"]
	first, second := g.members[0], g.members[1]
	if !g.hasMoveTarget("", now) {
		t.Fatal("an idle engine is no move target")
	}
	first.Outstanding = 4 // of 4 slots
	second.Server.Load = Load{ReceivedAt: now, SlowdownFactor: 2}
	if g.hasMoveTarget("", now) {
		t.Error("a full or a slow engine is a move target")
	}
}

// Guards against an older load report that replaces a newer one because its
// stream ends later.
func TestOlderLoadIsIgnored(t *testing.T) {
	b := newDispatchHarness(t, 1, completed)
	c := b.dispatch.listed[0]
	at := b.clock.Now()
	b.dispatch.answerLoads.TryPut(answerLoad{server: c.Server.ID, load: Load{MeasuredAt: at, ReceivedAt: at, Running: 4}})
	b.dispatch.answerLoads.TryPut(answerLoad{server: "gone", load: Load{MeasuredAt: at, ReceivedAt: at}})
	b.dispatch.loop.RunPending()
	b.dispatch.applyLoad(c, Load{MeasuredAt: at.Add(-time.Second), ReceivedAt: at, Running: 1})
	if c.Server.Load.Running != 4 {
		t.Errorf("load %+v, want the newer one with 4 running", c.Server.Load)
	}
}
