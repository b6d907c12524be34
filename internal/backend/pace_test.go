package backend

import (
	"testing"
	"time"
)

// Guards against streams that move for a pause of one event, that move without
// room elsewhere, or that stay where each event takes several times as long.
func TestPaceOfStreams(t *testing.T) {
	p := &pace{}
	p.observe(pacedEvents-1, time.Hour) // too few to tell
	for range 50 {
		p.observe(20, 20*40*time.Millisecond)
	}
	if p.usual != 40*time.Millisecond {
		t.Fatalf("usual pace %v", p.usual)
	}
	if p.isTooSlow(10, time.Hour) {
		t.Error("a stream moves without room elsewhere")
	}
	p.allow(true)
	cases := []struct {
		events int
		per    time.Duration
		moves  bool
	}{{pacedEvents - 1, time.Second, false}, {pacedEvents, 140 * time.Millisecond, true}, {20, 60 * time.Millisecond, false}, {20, 90 * time.Millisecond, true}}
	for _, c := range cases {
		if got := p.isTooSlow(c.events, time.Duration(c.events-1)*c.per); got != c.moves {
			t.Errorf("%d events of %v each: moves %v", c.events, c.per, got)
		}
	}
	p.allow(false)
	if p.isTooSlow(20, time.Hour) {
		t.Error("a stream moves after the room elsewhere is gone")
	}
}

// Guards against streams that move to servers that are full, slow or out of use.
func TestRoomForSlowStreams(t *testing.T) {
	b := newBench(t, 2, answered)
	now := b.clock.Now()
	g := b.dispatch.router.groups["desk"]
	first, second := g.members[0], g.members[1]
	if !g.hasRoomToMove(now) {
		t.Fatal("idle servers have no room")
	}
	first.Outstanding = 4 // of 4 slots
	second.Server.Load = Load{ReceivedAt: now, SlowdownFactor: 2}
	if g.hasRoomToMove(now) {
		t.Error("a full and a slow server have room")
	}
}

// Guards against an old load that replaces a newer one because its stream has
// just ended.
func TestOldLoadIsNotTaken(t *testing.T) {
	b := newBench(t, 1, answered)
	c := b.dispatch.order[0]
	at := b.clock.Now()
	b.dispatch.told.TryPut(toldLoad{server: c.Server.ID, load: Load{MeasuredAt: at, ReceivedAt: at, Running: 4}})
	b.dispatch.told.TryPut(toldLoad{server: "gone", load: Load{MeasuredAt: at, ReceivedAt: at}})
	b.dispatch.loop.RunPending()
	b.dispatch.takeLoad(c, Load{MeasuredAt: at.Add(-time.Second), ReceivedAt: at, Running: 1})
	if c.Server.Load.Running != 4 {
		t.Errorf("load %+v", c.Server.Load)
	}
}
