package backend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// pollBench steps a poller on a manual clock against fake servers.
type pollBench struct {
	poller    *Poller
	clock     *duty.ManualClock
	published []Server
	polls     map[string]int
	atOnce    int
	most      int // polls started by one step
	down      map[string]bool
	after     []int64 // of reads of cache events
}

func newPollBench(t *testing.T, servers int) *pollBench {
	t.Helper()
	b := &pollBench{clock: duty.NewManualClock(time.Unix(1e9, 0)), polls: map[string]int{}, down: map[string]bool{}}
	pool, err := duty.NewPool("unused", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	b.poller = NewPoller(b.clock, nil, b, pool, func(s []Server) { b.published = s })
	b.poller.tryGo = func(f func()) bool {
		b.atOnce++
		b.most = max(b.most, b.atOnce)
		f()
		return true
	}
	b.poller.SetServers(hosts(servers))
	b.poller.loop.RunPending()
	return b
}

func hosts(n int) (servers []Server) {
	for i := range n {
		name := fmt.Sprintf("s%03d", i)
		servers = append(servers, Server{ID: core.ServerID(name), Address: name})
	}
	return servers
}

func (b *pollBench) Describe(_ context.Context, address string) (Description, error) {
	b.polls[address]++
	if b.down[address] {
		return Description{}, errors.New("down")
	}
	return Description{Incarnation: "1", Models: make([]ModelDescription, 1)}, nil
}

func (b *pollBench) Load(_ context.Context, address string) (Load, error) {
	if b.down[address] {
		return Load{}, errors.New("down")
	}
	return Load{MeasuredAt: b.clock.Now(), Running: 1}, nil
}

func (b *pollBench) CacheEvents(_ context.Context, _ string, after int64) ([]CacheEvent, error) {
	b.after = append(b.after, after)
	return stored(after+1, 7, 8), nil
}

func (b *pollBench) advance(d time.Duration) {
	for ; d > 0; d -= pollTick {
		b.atOnce = 0
		b.clock.Advance(pollTick)
		b.poller.loop.RunPending()
	}
}

// Guards against polls beyond the budget, servers that the budget starves, and
// polls of servers that other daemons poll.
func TestPollBudgetAndAssignments(t *testing.T) {
	b := newPollBench(t, 4*pollBudget)
	b.advance(10 * time.Second)
	if b.most > pollBudget {
		t.Errorf("%d polls started at once, want at most %d", b.most, pollBudget)
	}
	for address, n := range b.polls {
		if n < 5 {
			t.Errorf("%s was described %d times in 10 s", address, n)
		}
	}
	if len(b.polls) != 4*pollBudget || len(b.published) != 4*pollBudget {
		t.Errorf("%d servers polled, %d published", len(b.polls), len(b.published))
	}
	b.poller.SetAssignments(func(id core.ServerID) bool { return id == "s001" })
	b.poller.loop.RunPending()
	clear(b.polls)
	b.advance(2 * time.Second)
	if len(b.polls) != 1 || b.polls["s001"] == 0 {
		t.Errorf("polled %v, want only the assigned server", b.polls)
	}
	b.advance(missedReports * pollPeriod)
	if len(b.polls) != 4*pollBudget {
		t.Errorf("%d servers polled after the other daemons' reports had stopped, want all", len(b.polls))
	}
}

// Guards against a late effect of leaving, a server that is dropped although it
// still answers, and an unreachable server that is dropped or not marked.
func TestLeavingAbsentAndUnreachable(t *testing.T) {
	b := newPollBench(t, 3)
	b.advance(time.Second)
	list := hosts(3)[:2]
	list[0].Leaving = true
	b.poller.SetServers(list)
	b.poller.loop.RunPending()
	if len(b.published) != 3 || !b.published[0].Leaving {
		t.Fatalf("published %+v, want the first leaving at once", b.published)
	}
	b.down["s001"] = true
	b.advance(time.Minute)
	if len(b.published) != 3 || !b.published[1].Unreachable || b.published[2].Unreachable {
		t.Errorf("published %+v, want 3 with the second unreachable", b.published)
	}
	b.down["s001"], b.down["s002"] = false, true
	b.advance(2 * forgetAfter)
	if len(b.published) != 2 || b.published[1].Unreachable {
		t.Errorf("published %+v, want the second reachable, the third dropped", b.published)
	}
}

// Guards against an older report of another daemon that replaces a newer one.
func TestReportsOfOtherDaemons(t *testing.T) {
	b := newPollBench(t, 1)
	b.poller.SetAssignments(func(core.ServerID) bool { return false })
	var told []ServerReport
	b.poller.SetReportHandler(func(r []ServerReport) { told = append(told, r...) })
	b.advance(time.Second)
	add := func(running int, age time.Duration) {
		b.poller.AddPeerReports([]ServerReport{{Server: "s000", Description: Description{Incarnation: "1"}, Load: Load{Running: running}, Age: age}})
		b.advance(2 * publishPeriod)
	}
	add(5, 0)
	add(9, time.Second)
	if load := b.published[0].Load; load.Running != 5 || load.ReceivedAt.IsZero() || len(told) != 0 {
		t.Errorf("load %+v, %d reports told again; want the newest report and none told", load, len(told))
	}
}

// Guards against cache events that are read again from the start, or not.
func TestPollerReadsCacheEvents(t *testing.T) {
	b := newPollBench(t, 0)
	d := NewDispatcher(b.clock, rand.New(rand.NewPCG(seed, seed)), nil, &duty.Pool{})
	b.poller.deliver = d.SetServers
	b.poller.SetCacheSource(b, d.AddCacheEvents)
	b.poller.SetServers(hosts(1))
	b.advance(time.Second)
	d.loop.RunPending()
	if len(b.after) < 2 || b.after[0] != 0 || b.after[1] != 2 {
		t.Errorf("read after %v, want 0, 2 and so on", b.after)
	}
	if view := d.router.locality.servers["s000"]; view == nil || view.blocks.Len() != 2 {
		t.Errorf("view %+v, want two prefixes", view)
	}
}
