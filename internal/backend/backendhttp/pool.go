package backendhttp

import (
	"context"
	"sync"
	"time"
)

const (
	// maxIdleAge is far below the time after which servers close idle
	// connections, and bounds how long a connection can have been silent
	// before a request is put on it.
	maxIdleAge = 10 * time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 64
	// maxIdleServers bounds the servers with idle connections; a fleet that is
	// replaced over time would otherwise leave connections to gone addresses.
	maxIdleServers = 4096
)

// pool holds idle connections by address. Workers share it.
type pool struct {
	silence time.Duration
	now     func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool(silence time.Duration) *pool {
	return &pool{silence: silence, now: time.Now, idle: map[string][]*conn{}}
}

// get returns an idle connection that is fit for a request, or a new one.
func (p *pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return dial(ctx, address, p.silence)
		}
		if p.now().Sub(c.lastUsed) < maxIdleAge && c.isIdle() {
			return c, nil
		}
		c.Close()
	}
}

// take removes the connection that was used last.
func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	if len(idle) == 1 {
		delete(p.idle, address)
	} else {
		p.idle[address] = idle[:len(idle)-1]
	}
	return c
}

// put keeps a connection whose answer was read in full.
func (p *pool) put(c *conn) {
	c.onSilence = nil
	c.lastUsed = p.now()
	for _, old := range p.add(c) {
		old.Close()
	}
}

// add returns the connections that no longer fit.
func (p *pool) add(c *conn) (dropped []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	if idle == nil && len(p.idle) >= maxIdleServers {
		return []*conn{c}
	}
	oldest := 0
	for oldest < len(idle) && (p.now().Sub(idle[oldest].lastUsed) >= maxIdleAge || len(idle)-oldest >= maxIdlePerServer) {
		oldest++
	}
	dropped = append(dropped, idle[:oldest]...)
	p.idle[c.address] = append(append([]*conn{}, idle[oldest:]...), c)
	return dropped
}

// drop closes every idle connection to the server.
func (p *pool) drop(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
