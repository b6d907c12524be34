package daemonrpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of links.
const (
	// DialTimeout bounds the setting up of a connection, yamux included.
	DialTimeout = 2 * time.Second
	// WriteTimeout bounds one message to a peer that does not read. It is under
	// the time after which the peer would be marked dead.
	WriteTimeout = 3 * time.Second
	// outgoingCapacity bounds the messages that wait for one link. A slow peer
	// loses messages and not memory; heartbeats repair what it missed.
	outgoingCapacity = 512
	// GoroutinesPerLink is the number of pool workers that a link takes: one reads
	// and one writes.
	GoroutinesPerLink = 2
)

// Options are the parameters of links.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// Pool runs the blocking reads and writes, WorkersPerLink for each link.
	Pool *duty.Pool
	TLS  *tls.Config // nil for plain TCP
}

// Traffic counts what links have carried.
type Traffic struct {
	MessagesIn, MessagesOut uint64
	BytesIn, BytesOut       uint64
	Dropped                 uint64 // messages without room in a ring, or too large
}

// Links are yamux sessions with one stream each. They implement daemon.Links.
type Links struct {
	pool     *duty.Pool
	tls      *tls.Config
	listener net.Listener
	deliver  func(daemon.LinkEvent) bool
	nextID   atomic.Uint64

	mu     sync.Mutex
	open   map[daemon.LinkID]*session
	closed bool

	messagesIn, messagesOut, bytesIn, bytesOut, dropped atomic.Uint64
}

type session struct {
	id      daemon.LinkID
	yamux   *yamux.Session
	stream  *yamux.Stream
	out     *ring.Ring[daemon.Envelope]
	context context.Context
	cancel  context.CancelFunc
}

// Listen opens the listener. Start must be called before Serve and Dial.
func Listen(o Options) (*Links, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for daemons on %s: %w", o.Address, err)
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, o.TLS)
	}
	return &Links{pool: o.Pool, tls: o.TLS, listener: listener, open: map[daemon.LinkID]*session{}}, nil
}

// SetEventHandler sets where events go. deliver must not wait.
func (l *Links) SetEventHandler(deliver func(daemon.LinkEvent) bool) { l.deliver = deliver }

// Address returns the address that is listened on.
func (l *Links) Address() string { return l.listener.Addr().String() }

// Traffic returns the counters.
func (l *Links) Traffic() Traffic {
	return Traffic{
		MessagesIn: l.messagesIn.Load(), MessagesOut: l.messagesOut.Load(),
		BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(), Dropped: l.dropped.Load(),
	}
}

// Serve accepts connections until Shutdown. A connection for which no worker is
// free is closed.
func (l *Links) Serve() error {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return err
		}
		if !l.pool.TryGo(func() { l.accept(conn) }) {
			conn.Close()
		}
	}
}

// Shutdown closes the listener and all links.
func (l *Links) Shutdown(context.Context) error {
	err := l.listener.Close()
	l.mu.Lock()
	l.closed = true
	sessions := make([]*session, 0, len(l.open))
	for _, s := range l.open {
		sessions = append(sessions, s)
	}
	l.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
	return err
}

// Dial sets up a connection on a pool worker.
func (l *Links) Dial(address string) {
	if !l.pool.TryGo(func() { l.dial(address) }) {
		l.deliver(daemon.LinkEvent{Kind: daemon.LinkDialFailed, Address: address})
	}
}

// Send queues the envelope for the link's writer.
func (l *Links) Send(id daemon.LinkID, e daemon.Envelope) bool {
	l.mu.Lock()
	s := l.open[id]
	l.mu.Unlock()
	if s == nil {
		return false
	}
	if !s.out.TryPut(e) {
		l.dropped.Add(1)
		return false
	}
	return true
}

// Close ends the connection. The link's writer makes the network calls that this
// takes.
func (l *Links) Close(id daemon.LinkID) {
	l.mu.Lock()
	s := l.open[id]
	l.mu.Unlock()
	if s == nil {
		return
	}
	s.cancel()
}

// config has no keepalive of its own: heartbeats show more than it would.
func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = WriteTimeout
	c.StreamOpenTimeout = DialTimeout
	c.AcceptBacklog = 1
	c.LogOutput = io.Discard
	return c
}

// dial runs on a pool worker, which becomes the reader of the link.
func (l *Links) dial(address string) {
	s, err := l.connect(address)
	if err != nil {
		l.deliver(daemon.LinkEvent{Kind: daemon.LinkDialFailed, Address: address})
		return
	}
	l.run(s, address)
}

func (l *Links) connect(address string) (*session, error) {
	dialer := &net.Dialer{Timeout: DialTimeout}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if l.tls != nil {
		conn = tls.Client(conn, l.tls)
	}
	mux, err := yamux.Client(conn, config())
	if err != nil {
		conn.Close()
		return nil, err
	}
	stream, err := mux.OpenStream()
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	return l.newSession(mux, stream), nil
}

// accept runs on a pool worker, which becomes the reader of the link.
func (l *Links) accept(conn net.Conn) {
	mux, err := yamux.Server(conn, config())
	if err != nil {
		conn.Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	stream, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		_ = mux.Close()
		return
	}
	l.run(l.newSession(mux, stream), "")
}

func (l *Links) newSession(mux *yamux.Session, stream *yamux.Stream) *session {
	ctx, cancel := context.WithCancel(context.Background())
	return &session{
		id:      daemon.LinkID(l.nextID.Add(1)),
		yamux:   mux,
		stream:  stream,
		out:     ring.New[daemon.Envelope]("daemonrpc.out", outgoingCapacity),
		context: ctx,
		cancel:  cancel,
	}
}

func (s *session) close() {
	s.cancel()
	s.out.Close()
	_ = s.yamux.Close()
}

func (l *Links) register(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.open[s.id] = s
	return true
}

// run starts the writer and reads until the link ends.
func (l *Links) run(s *session, address string) {
	defer s.close()
	ready := l.register(s) && l.pool.TryGo(func() { l.write(s) })
	ready = ready && l.deliver(daemon.LinkEvent{Kind: daemon.LinkOpened, Link: s.id, Address: address})
	if ready {
		l.read(s)
	}
	l.mu.Lock()
	delete(l.open, s.id)
	l.mu.Unlock()
	if !ready {
		l.deliver(daemon.LinkEvent{Kind: daemon.LinkDialFailed, Address: address})
		return
	}
	l.deliver(daemon.LinkEvent{Kind: daemon.LinkClosed, Link: s.id})
}

func (l *Links) read(s *session) {
	d := &decoder{r: s.stream}
	for {
		envelope, n, err := d.read()
		if err != nil {
			return
		}
		l.messagesIn.Add(1)
		l.bytesIn.Add(uint64(n))
		if !l.deliver(daemon.LinkEvent{Kind: daemon.LinkMessageReceived, Link: s.id, Envelope: envelope}) {
			l.dropped.Add(1)
		}
	}
}

func (l *Links) write(s *session) {
	defer s.close()
	e := &encoder{w: s.stream}
	for {
		envelope, ok := s.out.Take(s.context)
		if !ok {
			return
		}
		if err := s.stream.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
			return
		}
		n, err := e.write(envelope)
		l.bytesOut.Add(uint64(n))
		if err == nil {
			l.messagesOut.Add(1)
			continue
		}
		l.dropped.Add(1)
		if n > 0 || !isEncodingError(err) {
			return
		}
	}
}
