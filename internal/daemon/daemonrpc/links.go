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

// Timeouts and capacities of links.
const (
	// DialTimeout bounds the setup of a connection, including yamux.
	DialTimeout = 2 * time.Second
	// WriteTimeout bounds the writing of one message to a peer that does not
	// read. It is shorter than the time after which the peer is marked dead.
	WriteTimeout = 3 * time.Second
	// outgoingCapacity bounds the messages queued for one link. A slow peer
	// misses messages instead of consuming memory; heartbeats repair what it
	// missed.
	outgoingCapacity = 512
	// GoroutinesPerLink is the number of pool goroutines that a link uses: one
	// reads and one writes.
	GoroutinesPerLink = 2
)

// Options are the parameters of links.
type Options struct {
	// Address is the IP address and port to listen on.
	Address string
	// Pool runs the blocking reads and writes, with GoroutinesPerLink for each
	// link.
	Pool *duty.Pool
	TLS  *tls.Config // nil for plain TCP
}

// Traffic holds the counters of all links since the start.
type Traffic struct {
	MessagesIn, MessagesOut uint64
	BytesIn, BytesOut       uint64
	Dropped                 uint64 // messages discarded because a ring was full or they could not be sent
}

// Links are yamux sessions with one stream each. They implement daemon.Links.
type Links struct {
	pool     *duty.Pool
	tls      *tls.Config
	listener net.Listener
	deliver  func(daemon.LinkEvent) bool
	nextID   atomic.Uint64

	mu       sync.Mutex
	sessions map[daemon.LinkID]*session
	isClosed bool

	messagesIn, messagesOut, bytesIn, bytesOut, droppedMessages atomic.Uint64
}

type session struct {
	id       daemon.LinkID
	yamux    *yamux.Session
	stream   *yamux.Stream
	outgoing *ring.Ring[daemon.Envelope]
	context  context.Context
	cancel   context.CancelFunc
}

// Listen opens the listener. SetEventHandler must be called before Serve and
// Dial.
func Listen(o Options) (*Links, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", o.Address, err)
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, o.TLS)
	}
	return &Links{pool: o.Pool, tls: o.TLS, listener: listener, sessions: map[daemon.LinkID]*session{}}, nil
}

// SetEventHandler sets the receiver of events. deliver must not block.
func (l *Links) SetEventHandler(deliver func(daemon.LinkEvent) bool) { l.deliver = deliver }

// Address returns the address that the listener is bound to.
func (l *Links) Address() string { return l.listener.Addr().String() }

// Traffic returns the current counters. Any goroutine may call it.
func (l *Links) Traffic() Traffic {
	return Traffic{
		MessagesIn: l.messagesIn.Load(), MessagesOut: l.messagesOut.Load(),
		BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(), Dropped: l.droppedMessages.Load(),
	}
}

// Serve accepts connections until Shutdown. A connection is closed if no pool
// goroutine is free for it.
func (l *Links) Serve() error {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return err
		}
		if !l.pool.TryGo(func() { l.acceptSession(conn) }) {
			conn.Close()
		}
	}
}

// Shutdown closes the listener and all links.
func (l *Links) Shutdown(context.Context) error {
	err := l.listener.Close()
	l.mu.Lock()
	l.isClosed = true
	sessions := make([]*session, 0, len(l.sessions))
	for _, s := range l.sessions {
		sessions = append(sessions, s)
	}
	l.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
	return err
}

// Dial connects on a pool goroutine and reports the result as an event.
func (l *Links) Dial(address string) {
	if !l.pool.TryGo(func() { l.dial(address) }) {
		l.deliver(daemon.LinkEvent{Kind: daemon.LinkDialFailed, Address: address})
	}
}

// Send queues the envelope for the link's writer.
func (l *Links) Send(id daemon.LinkID, e daemon.Envelope) bool {
	l.mu.Lock()
	s := l.sessions[id]
	l.mu.Unlock()
	if s == nil {
		return false
	}
	if !s.outgoing.TryPut(e) {
		l.droppedMessages.Add(1)
		return false
	}
	return true
}

// Close closes the connection. The link's writer makes the network calls for
// it, so Close does not block.
func (l *Links) Close(id daemon.LinkID) {
	l.mu.Lock()
	s := l.sessions[id]
	l.mu.Unlock()
	if s == nil {
		return
	}
	s.cancel()
}

// linkSessionConfig disables the keepalive of yamux, because heartbeats detect
// more failures than it would.
func linkSessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = WriteTimeout
	c.StreamOpenTimeout = DialTimeout
	c.AcceptBacklog = 1
	c.LogOutput = io.Discard
	return c
}

// dial runs on a pool goroutine, which becomes the reader of the link.
func (l *Links) dial(address string) {
	s, err := l.openSession(address)
	if err != nil {
		l.deliver(daemon.LinkEvent{Kind: daemon.LinkDialFailed, Address: address})
		return
	}
	l.runSession(s, address)
}

func (l *Links) openSession(address string) (*session, error) {
	dialer := &net.Dialer{Timeout: DialTimeout}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if l.tls != nil {
		conn = tls.Client(conn, l.tls)
	}
	mux, err := yamux.Client(conn, linkSessionConfig())
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

// acceptSession runs on a pool goroutine, which becomes the reader of the
// link.
func (l *Links) acceptSession(conn net.Conn) {
	mux, err := yamux.Server(conn, linkSessionConfig())
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
	l.runSession(l.newSession(mux, stream), "")
}

func (l *Links) newSession(mux *yamux.Session, stream *yamux.Stream) *session {
	ctx, cancel := context.WithCancel(context.Background())
	return &session{
		id:       daemon.LinkID(l.nextID.Add(1)),
		yamux:    mux,
		stream:   stream,
		outgoing: ring.New[daemon.Envelope]("daemonrpc.out", outgoingCapacity),
		context:  ctx,
		cancel:   cancel,
	}
}

func (s *session) close() {
	s.cancel()
	s.outgoing.Close()
	_ = s.yamux.Close()
}

func (l *Links) register(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return false
	}
	l.sessions[s.id] = s
	return true
}

// runSession starts the writer and reads until the link ends.
func (l *Links) runSession(s *session, address string) {
	defer s.close()
	isOpen := l.register(s) && l.pool.TryGo(func() { l.writeMessages(s) })
	isOpen = isOpen && l.deliver(daemon.LinkEvent{Kind: daemon.LinkOpened, Link: s.id, Address: address})
	if isOpen {
		l.readMessages(s)
	}
	l.mu.Lock()
	delete(l.sessions, s.id)
	l.mu.Unlock()
	if !isOpen {
		l.deliver(daemon.LinkEvent{Kind: daemon.LinkDialFailed, Address: address})
		return
	}
	l.deliver(daemon.LinkEvent{Kind: daemon.LinkClosed, Link: s.id})
}

func (l *Links) readMessages(s *session) {
	d := &decoder{r: s.stream}
	for {
		envelope, n, err := d.read()
		if err != nil {
			return
		}
		l.messagesIn.Add(1)
		l.bytesIn.Add(uint64(n))
		if !l.deliver(daemon.LinkEvent{Kind: daemon.LinkMessageReceived, Link: s.id, Envelope: envelope}) {
			l.droppedMessages.Add(1)
		}
	}
}

func (l *Links) writeMessages(s *session) {
	defer s.close()
	e := &encoder{w: s.stream}
	for {
		envelope, ok := s.outgoing.Take(s.context)
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
		l.droppedMessages.Add(1)
		if n > 0 || !isEncodingError(err) {
			return
		}
	}
}
