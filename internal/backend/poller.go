package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Poll timings.
const (
	pollPeriod  = 500 * time.Millisecond
	pollTimeout = 2 * time.Second
)

// HostSource reads the backend servers that the platform lists. It blocks.
type HostSource interface {
	BackendHosts(ctx context.Context) ([]Server, error)
}

type pollResult struct {
	server Server
	ok     bool
}

type hostResult struct {
	servers []Server
	err     error
}

// Poller is the duty that keeps the table of backend servers.
type Poller struct {
	loop    *duty.Loop
	hosts   HostSource
	prober  Prober
	pool    *duty.Pool
	deliver func([]Server)

	results     *ring.Ring[pollResult]
	hostResults *ring.Ring[hostResult]

	known   map[core.ServerID]Server
	polling map[core.ServerID]bool
	listing bool
}

// NewPoller returns the poller duty. deliver must not wait.
func NewPoller(clock duty.Clock, hosts HostSource, prober Prober, pool *duty.Pool, deliver func([]Server)) *Poller {
	p := &Poller{
		loop:        duty.New("loadpoll", clock),
		hosts:       hosts,
		prober:      prober,
		pool:        pool,
		deliver:     deliver,
		results:     ring.New[pollResult]("loadpoll.results", serverRingCapacity*8),
		hostResults: ring.New[hostResult]("loadpoll.hosts", 4),
		known:       map[core.ServerID]Server{},
		polling:     map[core.ServerID]bool{},
	}
	duty.On(p.loop, p.hostResults, p.handleHosts)
	duty.On(p.loop, p.results, p.handleResult)
	p.loop.After(0, p.tick)
	return p
}

// Loop returns the duty's loop.
func (p *Poller) Loop() *duty.Loop { return p.loop }

func (p *Poller) tick() {
	p.loop.After(pollPeriod, p.tick)
	p.list()
	for _, s := range p.known {
		p.poll(s)
	}
}

func (p *Poller) list() {
	if p.listing {
		return
	}
	p.listing = p.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		servers, err := p.hosts.BackendHosts(ctx)
		p.hostResults.TryPut(hostResult{servers: servers, err: err})
	})
}

func (p *Poller) handleHosts(r hostResult) {
	p.listing = false
	if r.err != nil {
		return
	}
	for _, s := range r.servers {
		known, ok := p.known[s.ID]
		if ok {
			known.Address, known.Leaving = s.Address, s.Leaving
			p.known[s.ID] = known
			continue
		}
		p.known[s.ID] = s
		p.poll(s)
	}
	p.publish()
}

func (p *Poller) poll(s Server) {
	if p.polling[s.ID] {
		return
	}
	p.polling[s.ID] = p.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		p.results.TryPut(p.probe(ctx, s))
	})
}

// probe runs on the pool.
func (p *Poller) probe(ctx context.Context, s Server) pollResult {
	description, err := p.prober.Describe(ctx, s.Address)
	if err != nil {
		return pollResult{server: s}
	}
	load, err := p.prober.Load(ctx, s.Address)
	if err != nil {
		return pollResult{server: s}
	}
	s.Description, s.Load = description, load
	return pollResult{server: s, ok: true}
}

func (p *Poller) handleResult(r pollResult) {
	p.polling[r.server.ID] = false
	known, listed := p.known[r.server.ID]
	if !r.ok || !listed {
		return
	}
	known.Description, known.Load = r.server.Description, r.server.Load
	p.known[r.server.ID] = known
	p.publish()
}

func (p *Poller) publish() {
	servers := make([]Server, 0, len(p.known))
	for _, s := range p.known {
		if s.Description.Incarnation != "" {
			servers = append(servers, s)
		}
	}
	p.deliver(servers)
}
