package transport

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"golang.org/x/sync/semaphore"
)

const (
	// defaultMaxIdleTime is far below the time after which servers usually
	// close idle connections. A request is never sent on a connection that has
	// been idle for longer.
	defaultMaxIdleTime = 10 * time.Second
	// maxIdlePerServer is the maximum number of idle connections to one server.
	maxIdlePerServer = 64
	// maxIdleServers is the maximum number of servers with idle connections.
	// Without it, connections to removed servers would accumulate while a fleet
	// is replaced over time.
	maxIdleServers = 4096
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	readTimeout time.Duration
	keepAlive   time.Duration
	now         func() time.Time
	largeBodies *semaphore.Weighted
	dialTimeout time.Duration
	// maxBodyBytes bounds the body of a response that Do, Exchange or DoJSON reads.
	maxBodyBytes int

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool. The keep-alive time of its connections equals
// readTimeout.
func NewPool(readTimeout time.Duration) *Pool { return NewKeepAlivePool(readTimeout, readTimeout) }

// NewKeepAlivePool returns an empty pool whose connections send TCP keep-alive
// probes after the keepAlive time without data, so that a dead connection is
// detected while it waits for a response.
func NewKeepAlivePool(readTimeout, keepAlive time.Duration) *Pool {
	p := &Pool{readTimeout: readTimeout, keepAlive: keepAlive, dialTimeout: DefaultDialTimeout, now: time.Now, idle: map[string][]*Conn{}}
	return p.LimitBodies(DefaultMaxBodyBytes)
}

// NewUnprobedPool returns an empty pool whose connections end only by time-outs of the
// program, which resets them. If the operating system ends a connection because probes or
// sent data stay unacknowledged, bytes that a network partition holds up are not
// discarded, and an abandoned request may reach its server after the partition.
func NewUnprobedPool(readTimeout time.Duration) *Pool { return NewKeepAlivePool(readTimeout, 0) }

// LimitBodies sets the largest body of a response, in bytes, and returns the pool.
// The large bodies that are read at the same time take up to as much memory. The
// default is DefaultMaxBodyBytes. It is called before the pool is used.
func (p *Pool) LimitBodies(maxBytes int) *Pool {
	p.maxBodyBytes, p.largeBodies = maxBytes, newLargeBodies(maxBytes)
	return p
}

// LimitDial sets the longest time that opening a connection may take, and returns the
// pool. It is called before the pool is used.
func (p *Pool) LimitDial(timeout time.Duration) *Pool {
	p.dialTimeout = timeout
	return p
}

// Dial opens a new connection, also when the pool has an idle one.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	c, err := dialWithKeepAlive(ctx, address, p.readTimeout, p.keepAlive, p.dialTimeout)
	if err != nil {
		return nil, err
	}
	c.largeBodies = p.largeBodies
	return c, nil
}

// Get returns an idle connection that is still usable, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if p.now().Sub(c.lastUsed) < c.maxIdleTime() && c.isIdle() {
			return c, nil
		}
		c.Abort()
	}
}

// maxIdleTime returns how long the connection may be idle and still be reused.
// Half of the server's idle time-out leaves time for a request to arrive before
// the server closes the connection.
func (c *Conn) maxIdleTime() time.Duration {
	if c.ServerIdleTimeout > 0 {
		return min(defaultMaxIdleTime, c.ServerIdleTimeout/2)
	}
	return defaultMaxIdleTime
}

// Do sends one request and reads the whole response. It makes one attempt.
func (p *Pool) Do(ctx context.Context, address string, req *protocol.Request, resp *protocol.Response) error {
	_, err := p.Exchange(ctx, address, req, resp)
	return err
}

// Traffic is what one exchange has sent and received, in bytes.
type Traffic struct {
	Sent     int
	Received int // also of a response that was not received in full
}

// Exchange is like Do and also reports how many bytes were sent and received.
func (p *Pool) Exchange(ctx context.Context, address string, req *protocol.Request, resp *protocol.Response) (Traffic, error) {
	return p.exchange(ctx, address, req, resp, p.readTimeout)
}

// exchange is Exchange with a bound of its own on the time without a byte of the answer.
func (p *Pool) exchange(ctx context.Context, address string, req *protocol.Request, resp *protocol.Response, stall time.Duration) (traffic Traffic, err error) {
	c, err := p.Get(ctx, address)
	if err != nil {
		return Traffic{}, err
	}
	c.readTimeout = stall
	p.Use(ctx, c, func() (reusable bool) {
		err = c.RoundTrip(ctx, req, resp, p.maxBodyBytes)
		// Another exchange may use the connection once it is back in the pool.
		traffic = Traffic{Sent: c.BytesWritten, Received: c.bytesRead}
		return err == nil && !resp.ConnectionClose()
	})
	return traffic, err
}

// Use calls exchange, which uses the connection. When ctx ends, the connection is reset
// at once, since only that interrupts a blocked read. Afterwards Use returns a reusable
// connection to the pool and resets any other. An answer may arrive before the server has
// received the whole request, and the rest must not be delivered later.
func (p *Pool) Use(ctx context.Context, c *Conn, exchange func() (reusable bool)) {
	stopAborting := context.AfterFunc(ctx, c.Abort)
	reusable := exchange()
	if stopAborting() && reusable && c.Len() == 0 && !c.hasUnacknowledged() {
		p.Put(c)
		return
	}
	c.Abort()
}

// DoJSON sends a JSON request to the host of x.URL and decodes the response into out
// unless out is nil.
func (p *Pool) DoJSON(ctx context.Context, x Exchange, out any) (traffic Traffic, err error) {
	if x.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, x.Timeout)
		defer cancel()
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := EncodeRequest(req, x); err != nil {
		return Traffic{}, err
	}
	stall := cmp.Or(x.StallTimeout, p.readTimeout)
	if traffic, err = p.exchange(ctx, string(req.Host()), req, resp, stall); err != nil {
		return traffic, err
	}
	return traffic, decodeResponse(resp, out)
}

// popIdle removes and returns the most recently used idle connection, or nil.
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

// Put returns a connection to the pool. Its last response must have been read in
// full.
func (p *Pool) Put(c *Conn) {
	c.OnReadTimeout, c.AckTimeout, c.readTimeout = nil, 0, p.readTimeout
	c.lastUsed = p.now()
	for _, old := range p.addIdle(c) {
		old.Abort()
	}
}

// addIdle adds c and returns the connections that the caller must close: those
// idle for too long and those over the limits, which may be c itself.
func (p *Pool) addIdle(c *Conn) (evicted []*Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	if idle == nil && len(p.idle) >= maxIdleServers {
		return []*Conn{c}
	}
	firstKept := 0
	for firstKept < len(idle) && (p.now().Sub(idle[firstKept].lastUsed) >= defaultMaxIdleTime || len(idle)-firstKept >= maxIdlePerServer) {
		firstKept++
	}
	evicted = append(evicted, idle[:firstKept]...)
	p.idle[c.address] = append(append([]*Conn{}, idle[firstKept:]...), c)
	return evicted
}

// CloseIdle closes all idle connections to the server. Connections in use stay
// open.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.Abort()
	}
}
