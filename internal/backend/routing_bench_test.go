package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// Baseline pickers. They ignore this daemon's own work, eject no server and do
// not hedge.

type randomPicker struct{ random *rand.Rand }

func (p randomPicker) Pick(_ *core.Request, servers []*Candidate, _ func(*Candidate) bool, _ Scorer) *Candidate {
	if len(servers) == 0 {
		return nil
	}
	return servers[p.random.IntN(len(servers))]
}

type roundRobinPicker struct{ next *int }

func (p roundRobinPicker) Pick(_ *core.Request, servers []*Candidate, _ func(*Candidate) bool, _ Scorer) *Candidate {
	if len(servers) == 0 {
		return nil
	}
	*p.next++
	return servers[*p.next%len(servers)]
}

// leastReportedPicker picks the server with the least work according to its
// last, delayed report.
type leastReportedPicker struct{}

func (leastReportedPicker) Pick(_ *core.Request, servers []*Candidate, _ func(*Candidate) bool, _ Scorer) *Candidate {
	var best *Candidate
	for _, c := range servers {
		if best == nil || c.Server.Load.Running+c.Server.Load.Waiting < best.Server.Load.Running+best.Server.Load.Waiting {
			best = c
		}
	}
	return best
}

type routingVariant struct {
	name      string
	share     float64
	configure func(*router)
}

func routingVariants() []routingVariant {
	return []routingVariant{
		{"round-robin", 0, func(rt *router) { rt.picker = roundRobinPicker{new(int)} }},
		{"random", 0, func(rt *router) { rt.picker = randomPicker{rt.random} }},
		{"least-reported", 0, func(rt *router) { rt.picker = leastReportedPicker{} }},
		{"no-hedging", 0, nil},
		{"berylfall", maxHedgeShare, nil},
	}
}

// prairie and kartvel are the sizes of two deployments: daemons, plain servers,
// engines.
func prairie() simOptions { return deployment(9, 10, 8) }
func kartvel() simOptions { return deployment(7, 5, 8) }

func deployment(daemons, plain, engines int) simOptions {
	return simOptions{
		daemons: daemons, plain: plain, engines: engines, slots: 4, utilisation: 0.4, serviceTime: 10 * time.Millisecond,
		reportLag: 200 * time.Millisecond, repeatable: true, duration: 45 * time.Second, warmUp: 10 * time.Second,
	}
}

// slowFifth makes a fifth of the plain servers ten times slower.
func slowFifth(s *sim, server int) float64 {
	if server < s.plain/5 {
		return 10
	}
	return 1
}

// movingSlowFifth makes a fifth of the plain servers ten times slower during
// the first second of every two, and a different fifth each time.
func movingSlowFifth(s *sim, server int) float64 {
	elapsed := s.clock.now.Sub(time.Unix(1e9, 0))
	if elapsed%(2*time.Second) >= time.Second {
		return 1
	}
	step := s.plain / 5
	first := int(elapsed/(2*time.Second)) * step * 3
	if (server-first%s.plain+s.plain)%s.plain < step {
		return 10
	}
	return 1
}

// BenchmarkTail measures lookups in virtual time, with and without slow
// servers, against the baselines. The results do not depend on the machine.
func BenchmarkTail(b *testing.B) {
	deployments := []struct {
		name    string
		options func() simOptions
	}{{"prairie", prairie}, {"kartvel", kartvel}}
	conditions := []struct {
		name     string
		slowdown func(*sim, int) float64
	}{{"none", nil}, {"fifth-slowed", slowFifth}, {"moving", movingSlowFifth}}
	for _, d := range deployments {
		for _, c := range conditions {
			for _, v := range routingVariants() {
				b.Run(fmt.Sprintf("%s/%s/%s", d.name, c.name, v.name), func(b *testing.B) {
					for range b.N {
						o := d.options()
						o.slowdown, o.hedgeShare, o.configure = c.slowdown, v.share, v.configure
						s := newSim(b, o)
						s.run()
						b.ReportMetric(s.percentile(50), "p50-ms")
						b.ReportMetric(s.percentile(99), "p99-ms")
						b.ReportMetric(s.percentile(99.9), "p99.9-ms")
						b.ReportMetric(100*s.extraShare(), "extra-%")
						b.ReportMetric(s.busiestToMean(), "busiest/mean")
					}
				})
			}
		}
	}
}

// newDispatcherWithEngines returns a dispatch duty with the given number of
// engines in one data centre.
func newDispatcherWithEngines(tb testing.TB, engines int) *Dispatcher {
	tb.Helper()
	pool, err := duty.NewPool("unused", 1)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(pool.Release)
	d := NewDispatcher(duty.SystemClock{}, rand.New(rand.NewPCG(seed, seed)), nil, pool, func(SuspectReport) {})
	d.SetDataCentre("regina")
	var servers []Server
	for i := range engines {
		servers = append(servers, Server{
			ID: core.ServerID(fmt.Sprintf("s%04d", i)), DataCentre: "regina",
			Description: Description{
				Service: "wear", Kind: "gpu", Incarnation: "1", Role: RoleServe, ContextTokens: 8192, Slots: 8,
				Models: []ModelDescription{{Name: "wear", Version: 3, Adapters: []string{"a", "b"}}},
			},
		})
	}
	d.SetServers(servers)
	d.loop.RunPending()
	return d
}

// BenchmarkDecision measures one routing decision by fleet size. The baseline
// evaluates the filters on every server for each decision. In the held-prompt
// case one engine has the whole prompt cached.
func BenchmarkDecision(b *testing.B) {
	r := &core.Request{Service: "wear", Model: "wear", Adapter: "b", MinVersion: 2, Prompt: string(make([]byte, 2000)), MaxTokens: 100, BackendKinds: []string{"gpu"}}
	for _, engines := range []int{8, 56, 250, 1000} {
		d := newDispatcherWithEngines(b, engines)
		decide := func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if c, _ := d.router.pick(r, core.Progress{}, nil); c == nil {
					b.Fatal("no server")
				}
			}
		}
		b.Run(fmt.Sprintf("index/%d", engines), decide)
		b.Run(fmt.Sprintf("filter-each/%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				clear(d.router.index.classes)
				if c, _ := d.router.pick(r, core.Progress{}, nil); c == nil {
					b.Fatal("no server")
				}
			}
		})
		var prefixes prefixHashes
		prefixes.set(r.Prompt)
		for i := range prefixes.count {
			prefixes.at(i)
		}
		d.AddCacheEvents(CacheEvents{Server: "s0000", Incarnation: "1", Events: storedEvents(1, prefixes.hashes[:prefixes.count]...)})
		d.loop.RunPending()
		b.Run(fmt.Sprintf("held-prompt/%d", engines), decide)
	}
}

// BenchmarkTable measures a table update that contains only a new load report
// of every server.
func BenchmarkTable(b *testing.B) {
	for _, engines := range []int{8, 56, 250, 1000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := newDispatcherWithEngines(b, engines)
			var servers []Server
			for _, c := range d.listed {
				servers = append(servers, c.Server)
			}
			b.ReportAllocs()
			at := time.Now()
			for b.Loop() {
				at = at.Add(pollPeriod)
				for i := range servers {
					servers[i].Load = Load{MeasuredAt: at, Running: 3}
				}
				d.handleServers(servers)
			}
		})
	}
}
