package transport

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	// defaultMaxIdleTime is far below the time after which servers close idle
	// connections, and bounds how long a connection can have been silent
	// before a request is put on it.
	defaultMaxIdleTime = 10 * time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 64
	// maxIdleServers bounds the servers with idle connections; a fleet that is
	// replaced over time would otherwise leave connections to gone addresses.
	maxIdleServers = 4096
)

// Pool holds idle connections by address. Workers share it.
type Pool struct {
	readTimeout   time.Duration
	keepAlive time.Duration
	now       func() time.Time

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns a pool of connections with the silence bound.
func NewPool(readTimeout time.Duration) *Pool { return NewKeepAlivePool(readTimeout, readTimeout) }

// NewKeepAlivePool returns a pool whose connections probe a peer that has been
// quiet for the keepAlive time, so that a connection that has gone silent is
// found while it waits for an answer.
func NewKeepAlivePool(readTimeout, keepAlive time.Duration) *Pool {
	return &Pool{readTimeout: readTimeout, keepAlive: keepAlive, now: time.Now, idle: map[string][]*Conn{}}
}

// Dial opens a new connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	return dialWithKeepAlive(ctx, address, p.readTimeout, p.keepAlive)
}

// Get returns an idle connection that is fit for a request, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if p.now().Sub(c.lastUsed) < c.maxIdleTime() && c.isIdle() {
			return c, nil
		}
		c.Close()
	}
}

// maxIdleTime is how long the connection may be idle before it is no longer used.
// Half of the server's own limit leaves time for a request to arrive before the
// server closes the connection.
func (c *Conn) maxIdleTime() time.Duration {
	if c.ServerIdleTimeout > 0 {
		return min(defaultMaxIdleTime, c.ServerIdleTimeout/2)
	}
	return defaultMaxIdleTime
}

// Do makes one exchange and reads the whole answer.
func (p *Pool) Do(ctx context.Context, address string, req *protocol.Request, resp *protocol.Response) error {
	_, err := p.Exchange(ctx, address, req, resp)
	return err
}

// Exchange is Do that also tells whether any byte of the request was sent.
func (p *Pool) Exchange(ctx context.Context, address string, req *protocol.Request, resp *protocol.Response) (sent bool, err error) {
	c, err := p.Get(ctx, address)
	if err != nil {
		return false, err
	}
	// Closing is the only way to end a blocked read at once.
	stopClosing := context.AfterFunc(ctx, c.Abort)
	err = c.RoundTrip(req, resp)
	sent = c.BytesWritten > 0
	switch {
	case !stopClosing() || err != nil:
		c.Abort()
	case resp.ConnectionClose() || c.Len() > 0:
		c.Close()
	default:
		p.Put(c)
	}
	return sent, err
}

// DoJSON is Exchange for a DoJSON request, whose answer is decoded into out unless
// out is nil. The timeout of the request is not used; ctx bounds the exchange.
func (p *Pool) DoJSON(ctx context.Context, address string, x Exchange, out any) (sent bool, err error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := EncodeRequest(req, x); err != nil {
		return false, err
	}
	if sent, err = p.Exchange(ctx, address, req, resp); err != nil {
		return sent, err
	}
	return sent, decodeResponse(resp, out)
}

// popIdle removes the connection that was used last.
func (p *Pool) popIdle(address string) *Conn {
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

// Put keeps a connection whose answer was read in full.
func (p *Pool) Put(c *Conn) {
	c.OnReadTimeout = nil
	c.lastUsed = p.now()
	for _, old := range p.addIdle(c) {
		old.Close()
	}
}

// addIdle returns the connections that no longer fit.
func (p *Pool) addIdle(c *Conn) (dropped []*Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	if idle == nil && len(p.idle) >= maxIdleServers {
		return []*Conn{c}
	}
	oldest := 0
	for oldest < len(idle) && (p.now().Sub(idle[oldest].lastUsed) >= defaultMaxIdleTime || len(idle)-oldest >= maxIdlePerServer) {
		oldest++
	}
	dropped = append(dropped, idle[:oldest]...)
	p.idle[c.address] = append(append([]*Conn{}, idle[oldest:]...), c)
	return dropped
}

// CloseIdle closes every idle connection to the server.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
