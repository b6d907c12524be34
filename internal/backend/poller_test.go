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

// pollHarness runs a poller on a manual clock against fake servers.
type pollHarness struct {
	poller           *Poller
	clock            *duty.ManualClock
	published        []Server
	polls            map[string]int
	startedInStep    int
	maxStartedInStep int // polls started by one step
	down             map[string]bool
	cacheReads       []int64 // sequence numbers after which cache events were read
}

func newPollHarness(t *testing.T, servers int) *pollHarness {
	t.Helper()
	b := &pollHarness{clock: duty.NewManualClock(time.Unix(1e9, 0)), polls: map[string]int{}, down: map[string]bool{}}
	pool, err := duty.NewPool("unused", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	b.poller = NewPoller(b.clock, nil, b, pool, func(s []Server) { b.published = s })
	b.poller.tryGo = func(f func()) bool {
		b.startedInStep++
		b.maxStartedInStep = max(b.maxStartedInStep, b.startedInStep)
		f()
		return true
	}
	b.poller.SetServers(namedServers(servers))
	b.poller.loop.RunPending()
	return b
}

func namedServers(n int) (servers []Server) {
	for i := range n {
		name := fmt.Sprintf("s%03d", i)
		servers = append(servers, Server{ID: core.ServerID(name), Address: name})
	}
	return servers
}

func (b *pollHarness) Describe(_ context.Context, address string) (Description, error) {
	b.polls[address]++
	if b.down[address] {
		return Description{}, errors.New("down")
	}
	return Description{Incarnation: "1", Models: make([]ModelDescription, 1)}, nil
}

func (b *pollHarness) Load(_ context.Context, address string) (Load, error) {
	if b.down[address] {
		return Load{}, errors.New("down")
	}
	return Load{MeasuredAt: b.clock.Now(), Running: 1}, nil
}

func (b *pollHarness) CacheEvents(_ context.Context, _ string, after int64) ([]CacheEvent, error) {
	b.cacheReads = append(b.cacheReads, after)
	return storedEvents(after+1, 7, 8), nil
}

func (b *pollHarness) advance(d time.Duration) {
	for ; d > 0; d -= pollTick {
		b.startedInStep = 0
		b.clock.Advance(pollTick)
		b.poller.loop.RunPending()
	}
}

// Guards against more polls per tick than the limit, servers that the limit
// starves, and polls of servers that are assigned to other daemons.
func TestPollBudgetAndAssignments(t *testing.T) {
	b := newPollHarness(t, 4*maxPollsPerTick)
	b.advance(10 * time.Second)
	if b.maxStartedInStep > maxPollsPerTick {
		t.Errorf("%d polls started in one tick, want at most %d", b.maxStartedInStep, maxPollsPerTick)
	}
	for address, n := range b.polls {
		if n < 5 {
			t.Errorf("%s was described %d times in 10 s", address, n)
		}
	}
	if len(b.polls) != 4*maxPollsPerTick || len(b.published) != 4*maxPollsPerTick {
		t.Errorf("%d servers polled, %d published", len(b.polls), len(b.published))
	}
	b.poller.SetAssignments(func(id core.ServerID) bool { return id == "s001" })
	b.poller.loop.RunPending()
	clear(b.polls)
	b.advance(2 * time.Second)
	if len(b.polls) != 1 || b.polls["s001"] == 0 {
		t.Errorf("polled %v, want only the assigned server", b.polls)
	}
	b.advance(maxMissedReports * pollPeriod)
	if len(b.polls) != 4*maxPollsPerTick {
		t.Errorf("%d servers polled after the other daemons' reports had stopped, want all", len(b.polls))
	}
}

// Guards against a leaving mark that takes effect late, a server that is
// removed although it still answers, and an unreachable server that is removed
// while listed or not marked.
func TestLeavingAbsentAndUnreachable(t *testing.T) {
	b := newPollHarness(t, 3)
	b.advance(time.Second)
	list := namedServers(3)[:2]
	list[0].Leaving = true
	b.poller.SetServers(list)
	b.poller.loop.RunPending()
	if len(b.published) != 3 || !b.published[0].Leaving {
		t.Fatalf("published %+v, want the first marked as leaving immediately", b.published)
	}
	b.down["s001"] = true
	b.advance(time.Minute)
	if len(b.published) != 3 || !b.published[1].Unreachable || b.published[2].Unreachable {
		t.Errorf("published %+v, want 3 with the second unreachable", b.published)
	}
	b.down["s001"], b.down["s002"] = false, true
	b.advance(2 * absentServerTTL)
	if len(b.published) != 2 || b.published[1].Unreachable {
		t.Errorf("published %+v, want the second reachable, the third removed", b.published)
	}
}

// Guards against an older report of another daemon that replaces a newer one.
func TestOlderPeerReportIsIgnored(t *testing.T) {
	b := newPollHarness(t, 1)
	b.poller.SetAssignments(func(core.ServerID) bool { return false })
	var forwarded []ServerReport
	b.poller.SetReportHandler(func(r []ServerReport) { forwarded = append(forwarded, r...) })
	b.advance(time.Second)
	add := func(running int, age time.Duration) {
		b.poller.AddPeerReports([]ServerReport{{Server: "s000", Description: Description{Incarnation: "1"}, Load: Load{Running: running}, Age: age}})
		b.advance(2 * publishPeriod)
	}
	add(5, 0)
	add(9, time.Second)
	if load := b.published[0].Load; load.Running != 5 || load.ReceivedAt.IsZero() || len(forwarded) != 0 {
		t.Errorf("load %+v, %d reports forwarded; want the newest report and none forwarded", load, len(forwarded))
	}
}

// Guards against cache events that are read again from the start or not at all.
func TestPollerReadsCacheEvents(t *testing.T) {
	b := newPollHarness(t, 0)
	d := NewDispatcher(b.clock, rand.New(rand.NewPCG(seed, seed)), nil, &duty.Pool{}, func(SuspectReport) {})
	b.poller.deliver = d.SetServers
	b.poller.SetCacheSource(b, d.AddCacheEvents)
	b.poller.SetServers(namedServers(1))
	b.advance(time.Second)
	d.loop.RunPending()
	if len(b.cacheReads) < 2 || b.cacheReads[0] != 0 || b.cacheReads[1] != 2 {
		t.Errorf("read after %v, want 0, 2 and so on", b.cacheReads)
	}
	if view := d.router.locality.servers["s000"]; view == nil || view.blocks.Len() != 2 {
		t.Errorf("view %+v, want two prefixes", view)
	}
}

// Guards against a daemon that has no backend server for a minute after its start: the
// report with a server's description arrived before the list that names the server, and
// later reports do not repeat the description.
func TestServerWithoutDescriptionIsPolledSoon(t *testing.T) {
	b := newPollHarness(t, 0)
	b.poller.SetDataCentre("here")
	b.poller.SetAssignments(func(core.ServerID) bool { return false })
	report := ServerReport{Server: "s000", Description: Description{Incarnation: "1"}, Load: Load{Running: 1}}
	b.poller.AddPeerReports([]ServerReport{report})
	b.advance(pollTick)
	remote := namedServers(1)
	remote[0].DataCentre = "elsewhere"
	b.poller.SetServers(remote)
	report.Description = Description{}
	for range 2 {
		b.poller.AddPeerReports([]ServerReport{report})
		b.advance(maxMissedReports * pollPeriod / 2)
	}
	b.advance(pollTick)
	if len(b.published) != 1 || b.polls["s000"] != 1 {
		t.Errorf("%d servers published after %d polls, want 1 after 1", len(b.published), b.polls["s000"])
	}
}
