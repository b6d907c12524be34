package daemonrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/trainer/batch"
	"github.com/berylfall/berylfall/internal/usage"
)

// PeerServer serves the peer requests and notifications of other daemons.
type PeerServer struct {
	listener net.Listener
	pool     *duty.Pool
	handlers PeerHandlers
	log      *logrus.Entry
}

// PeerHandlers handle the peer requests and notifications of other daemons.
type PeerHandlers struct {
	// HandleContact receives the IP address from which a request came. It must not
	// block; nil ignores it.
	HandleContact             func(ip string)
	HandleJobRequest          func(context.Context, batch.Query) batch.Reply // may block
	HandleEngineNotifications func([]backend.ModelStatus)                    // must not block
	HandleOwnerNotifications  func([]batch.Ownership)                        // must not block
	HandleRateLimits          func([]backend.ServerRateLimit)                // must not block
	HandleSuspects            func(backend.SuspectReport)                    // must not block
	// HandleSuspectQuestion returns what this daemon knows. It may block.
	HandleSuspectQuestion func(context.Context) (backend.SuspectReport, error)
	// HandleWatchRequest responds as a relay. It blocks for at most one period
	// of the relay.
	HandleWatchRequest func(ctx context.Context, after int64) (platform.Listing, error)
	// HandlePermitRequest may block.
	HandlePermitRequest func(context.Context, backend.PermitRequest) (backend.PermitGrant, error)
	HandleOrigins       func([]caller.StreamOrigin) // must not block
	// HandleOriginQuestion may block.
	HandleOriginQuestion func(context.Context, core.RequestID) (caller.OriginLookup, error)
	// HandleOriginPull returns the origins for the daemon at the address. It may block.
	HandleOriginPull func(ctx context.Context, address string) ([]caller.StreamOrigin, error)
	// HandleUsage holds the totals of another daemon and reports whether there was room for
	// them. It must not block; nil says that this daemon holds none.
	HandleUsage func([]usage.Totals) bool
	// HandleUsagePull returns the totals of recent windows. It may block; nil returns none.
	HandleUsagePull func(context.Context) ([]usage.Totals, error)
}

// ListenPeers opens the listener. The pool runs one goroutine for each session
// and one for each request.
func ListenPeers(address string, pool *duty.Pool, log *logrus.Entry, handlers PeerHandlers) (*PeerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peer requests on %s: %w", address, err)
	}
	return &PeerServer{listener: listener, pool: pool, handlers: handlers, log: log}, nil
}

// Address returns the address that the listener is bound to.
func (s *PeerServer) Address() string { return s.listener.Addr().String() }

// Serve accepts sessions until Shutdown. A session is closed if no pool
// goroutine is free for it.
func (s *PeerServer) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return err
		}
		if !s.pool.TryGo(func() { s.serveSession(conn) }) {
			s.log.Warn("session of a peer rejected: no pool goroutine is free")
			conn.Close()
		}
	}
}

// Shutdown closes the listener. Open sessions continue until their client
// closes them.
func (s *PeerServer) Shutdown(context.Context) error { return s.listener.Close() }

func (s *PeerServer) serveSession(conn net.Conn) {
	session, err := yamux.Server(conn, peerSessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	defer func() { _ = session.Close() }()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.WithError(err).Debug("session of a peer ended")
			}
			return
		}
		s.recordContact(conn)
		if !s.pool.TryGo(func() { s.serveStream(stream) }) {
			s.log.Warn("peer request rejected: no pool goroutine is free")
			_ = stream.Close()
		}
	}
}

func (s *PeerServer) recordContact(conn net.Conn) {
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err == nil && s.handlers.HandleContact != nil {
		s.handlers.HandleContact(ip)
	}
}

func (s *PeerServer) serveStream(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	var m Question
	_ = stream.SetReadDeadline(time.Now().Add(peerIOTimeout))
	if err := unmarshalOptions().UnmarshalFrom(bufio.NewReader(stream), &m); err != nil {
		s.log.WithError(err).Debug("peer request could not be read")
		return
	}
	response, err := s.handleRequest(&m)
	if err != nil {
		s.log.WithError(err).Warn("peer request could not be decoded")
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(peerIOTimeout))
	if _, err := protodelim.MarshalTo(stream, response); err != nil {
		s.log.WithError(err).Debug("peer response could not be sent")
	}
}

func (s *PeerServer) handleRequest(m *Question) (*JobAnswer, error) {
	if n := m.GetNotices(); n != nil {
		notifications := decodeNotifications(n)
		s.handlers.HandleEngineNotifications(notifications.Engines)
		s.handlers.HandleOwnerNotifications(notifications.Owners)
		if len(notifications.RateLimits) > 0 {
			s.handlers.HandleRateLimits(notifications.RateLimits)
		}
		if !notifications.Suspects.IsEmpty() {
			s.handlers.HandleSuspects(notifications.Suspects)
		}
		return &JobAnswer{}, nil
	}
	if w := m.GetWatch(); w != nil {
		listing, err := s.handlers.HandleWatchRequest(context.Background(), w.GetAfter())
		return &JobAnswer{Watch: encodeWatchResponse(listing, err)}, nil
	}
	if p := m.GetPermits(); p != nil {
		return s.handlePermitRequest(p)
	}
	if o := m.GetOrigins(); o != nil {
		s.handlers.HandleOrigins(decodeOrigins(o.GetOrigins()))
		return &JobAnswer{}, nil
	}
	if o := m.GetOrigin(); o != nil {
		return s.handleOriginQuestion(core.RequestID(o.GetStream()))
	}
	if o := m.GetOriginPull(); o != nil {
		return s.handleOriginPull(o.GetAddress())
	}
	if m.GetSuspects() != nil {
		return s.handleSuspectQuestion()
	}
	if u := m.GetUsage(); u != nil {
		return s.handleUsage(u)
	}
	if m.GetUsagePull() != nil {
		return s.handleUsagePull()
	}
	q, err := decodeJobRequest(m.GetJob())
	if err != nil {
		return nil, err
	}
	return encodeJobResponse(s.handlers.HandleJobRequest(context.Background(), q)), nil
}

// questionContext bounds the time of a handler, which the asking daemon waits for.
func questionContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), peerIOTimeout)
}

func (s *PeerServer) handleOriginQuestion(stream core.RequestID) (*JobAnswer, error) {
	ctx, cancel := questionContext()
	defer cancel()
	lookup, err := s.handlers.HandleOriginQuestion(ctx, stream)
	if err != nil {
		return nil, err
	}
	if !lookup.IsKnown {
		return &JobAnswer{}, nil
	}
	return &JobAnswer{Origin: encodeOrigin(lookup.Origin)}, nil
}

func (s *PeerServer) handleOriginPull(address string) (*JobAnswer, error) {
	ctx, cancel := questionContext()
	defer cancel()
	origins, err := s.handlers.HandleOriginPull(ctx, address)
	if err != nil {
		return nil, err
	}
	return &JobAnswer{Origins: encodeOriginList(origins)}, nil
}

func (s *PeerServer) handleSuspectQuestion() (*JobAnswer, error) {
	ctx, cancel := questionContext()
	defer cancel()
	r, err := s.handlers.HandleSuspectQuestion(ctx)
	if err != nil {
		return nil, err
	}
	return &JobAnswer{Suspects: encodeSuspects(r)}, nil
}

func (s *PeerServer) handleUsage(m *UsageList) (*JobAnswer, error) {
	if s.handlers.HandleUsage == nil {
		return &JobAnswer{}, nil
	}
	return &JobAnswer{HoldsUsage: s.handlers.HandleUsage(decodeTotals(m.GetTotals()))}, nil
}

func (s *PeerServer) handleUsagePull() (*JobAnswer, error) {
	if s.handlers.HandleUsagePull == nil {
		return &JobAnswer{}, nil
	}
	ctx, cancel := questionContext()
	defer cancel()
	totals, err := s.handlers.HandleUsagePull(ctx)
	if err != nil {
		return nil, err
	}
	return &JobAnswer{Usage: encodeTotalsList(totals), HoldsUsage: true}, nil
}

func (s *PeerServer) handlePermitRequest(m *PermitQuestion) (*JobAnswer, error) {
	r, err := decodePermitRequest(m)
	if err != nil {
		return nil, err
	}
	ctx, cancel := questionContext()
	defer cancel()
	grant, err := s.handlers.HandlePermitRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	return &JobAnswer{Permits: encodePermitGrant(grant)}, nil
}
