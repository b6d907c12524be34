package daemonrpc

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/trainer/batch"
	"github.com/berylfall/berylfall/internal/usage"
)

const (
	// peerDialTimeout bounds the connection to a peer. A longer wait would
	// keep a trainer from a job whose owner has failed.
	peerDialTimeout = 500 * time.Millisecond
	// peerIOTimeout bounds the reading of a request and the writing of a
	// response when the peer does not respond.
	peerIOTimeout = 3 * time.Second
	// peerKeepAlivePeriod is how often an idle session is probed.
	peerKeepAlivePeriod = 10 * time.Second
	// recentAnswerPeriod is how long a peer counts as alive after an answer.
	recentAnswerPeriod = time.Minute
	// maxContacts is the number of IP addresses from which old ones are removed.
	maxContacts = 4096
	// maxPeerMessageBytes is the largest peer request or response.
	maxPeerMessageBytes = 4 << 20
)

// PeerClient sends peer requests and notifications to other daemons, each on a
// stream of its own. Its methods block and may be called from several
// goroutines.
type PeerClient struct {
	addresses func() []string
	mu        sync.Mutex
	sessions  map[string]*yamux.Session
	answers   map[string]time.Time // last answer of each peer
	contacts  map[string]time.Time // last request from each IP address
}

var (
	_ batch.Peers          = (*PeerClient)(nil)
	_ platform.RelayClient = (*PeerClient)(nil)
)

// NewPeerClient returns a client without connections. addresses returns the
// addresses of the known other daemons.
func NewPeerClient(addresses func() []string) *PeerClient {
	return &PeerClient{addresses: addresses, sessions: map[string]*yamux.Session{}, answers: map[string]time.Time{}, contacts: map[string]time.Time{}}
}

// Addresses returns the addresses of the known other daemons.
func (p *PeerClient) Addresses() []string { return p.addresses() }

func peerSessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = peerKeepAlivePeriod
	c.ConnectionWriteTimeout = peerIOTimeout
	return c
}

// SendQuery sends the query to the daemon at the address and returns its reply.
func (p *PeerClient) SendQuery(ctx context.Context, address string, q batch.Query) (batch.Reply, error) {
	request, err := encodeJobRequest(q)
	if err != nil {
		return batch.Reply{}, fmt.Errorf("encode peer request: %w", err)
	}
	response, err := p.request(ctx, address, request)
	if err != nil {
		return batch.Reply{}, err
	}
	return decodeJobResponse(response), nil
}

// Notify sends the notifications to the daemon at the address and waits until
// it has received them.
func (p *PeerClient) Notify(ctx context.Context, address string, n Notifications) error {
	_, err := p.request(ctx, address, encodeNotifications(n))
	return err
}

// WatchRelay requests the changes of servers after the revision from a relay.
func (p *PeerClient) WatchRelay(ctx context.Context, address string, after int64) (platform.Listing, error) {
	response, err := p.request(ctx, address, &Question{Kind: &Question_Watch{Watch: &WatchQuestion{After: after}}})
	if err != nil {
		return platform.Listing{}, err
	}
	return decodeWatchResponse(response.GetWatch())
}

// RequestPermits asks the daemon at the address for permits.
func (p *PeerClient) RequestPermits(ctx context.Context, address string, r backend.PermitRequest) (backend.PermitGrant, error) {
	response, err := p.request(ctx, address, encodePermitRequest(r))
	if err != nil {
		return backend.PermitGrant{}, err
	}
	return decodePermitGrant(r.Server, response.GetPermits())
}

// SendOrigins implements caller.OriginPeers.
func (p *PeerClient) SendOrigins(ctx context.Context, address string, origins []caller.StreamOrigin) error {
	_, err := p.request(ctx, address, encodeOrigins(origins))
	return err
}

// FindOrigin implements caller.OriginPeers.
func (p *PeerClient) FindOrigin(ctx context.Context, address string, stream core.RequestID) (caller.StreamOrigin, bool, error) {
	response, err := p.request(ctx, address, &Question{Kind: &Question_Origin{Origin: &StreamOriginQuestion{Stream: string(stream)}}})
	if err != nil || response.GetOrigin() == nil {
		return caller.StreamOrigin{}, false, err
	}
	o := decodeOrigin(response.GetOrigin())
	if o.Stream != stream {
		return caller.StreamOrigin{}, false, ErrMalformed
	}
	return o, true, nil
}

// PullOrigins asks the daemon at the address for the origins that the daemon at the address
// self should hold.
func (p *PeerClient) PullOrigins(ctx context.Context, address, self string) ([]caller.StreamOrigin, error) {
	response, err := p.request(ctx, address, &Question{Kind: &Question_OriginPull{OriginPull: &StreamOriginPull{Address: self}}})
	if err != nil {
		return nil, err
	}
	return decodeOrigins(response.GetOrigins()), nil
}

// PullSuspects asks the daemon at the address for all suspects and confirmed causes that it
// knows.
func (p *PeerClient) PullSuspects(ctx context.Context, address string) (backend.SuspectReport, error) {
	response, err := p.request(ctx, address, &Question{Kind: &Question_Suspects{Suspects: &SuspectQuestion{}}})
	if err != nil {
		return backend.SuspectReport{}, err
	}
	return decodeSuspects(response.GetSuspects()), nil
}

// SendTotals makes the daemon at the address hold the totals.
func (p *PeerClient) SendTotals(ctx context.Context, address string, totals []usage.Totals) error {
	_, err := p.requestUsage(ctx, address, encodeTotals(totals))
	return err
}

// PullTotals asks the daemon at the address for the totals of recent windows that it holds.
func (p *PeerClient) PullTotals(ctx context.Context, address string) ([]usage.Totals, error) {
	response, err := p.requestUsage(ctx, address, &Question{Kind: &Question_UsagePull{UsagePull: &UsageQuestion{}}})
	if err != nil {
		return nil, err
	}
	return decodeTotals(response.GetUsage()), nil
}

// requestUsage returns an error if the daemon at the address holds no totals, as one of an
// earlier build.
func (p *PeerClient) requestUsage(ctx context.Context, address string, m *Question) (*JobAnswer, error) {
	response, err := p.request(ctx, address, m)
	if err == nil && !response.GetHoldsUsage() {
		return nil, errNoUsage
	}
	return response, err
}

// Ping opens a connection to the peer and closes it. It returns an error if the peer
// does not accept it.
func (p *PeerClient) Ping(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect to peer %s: %w", address, err)
	}
	return conn.Close()
}

// Close closes all sessions.
func (p *PeerClient) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		_ = s.Close()
	}
	clear(p.sessions)
}

func (p *PeerClient) session(ctx context.Context, address string) (*yamux.Session, error) {
	p.mu.Lock()
	known := p.sessions[address]
	p.mu.Unlock()
	if known != nil && !known.IsClosed() {
		return known, nil
	}
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	session, err := yamux.Client(conn, peerSessionConfig())
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("open session with peer %s: %w", address, err)
	}
	p.mu.Lock()
	p.sessions[address] = session
	p.mu.Unlock()
	return session, nil
}

// closeSession closes a session that has failed. The next request opens a new
// one.
func (p *PeerClient) closeSession(address string, session *yamux.Session) {
	p.mu.Lock()
	if p.sessions[address] == session {
		delete(p.sessions, address)
	}
	p.mu.Unlock()
	_ = session.Close()
}

// request sends a request to the daemon at the address on a stream of its session, and
// closes the session if that fails.
func (p *PeerClient) request(ctx context.Context, address string, m *Question) (*JobAnswer, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, err
	}
	response, err := exchange(ctx, session, m)
	if err != nil {
		p.closeSession(address, session)
		return nil, err
	}
	p.mu.Lock()
	p.answers[address] = time.Now()
	p.mu.Unlock()
	return response, nil
}

// RecordContact records a request from the IP address. A daemon may hear of its peers
// for minutes without asking them anything.
func (p *PeerClient) RecordContact(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.contacts) >= maxContacts {
		maps.DeleteFunc(p.contacts, isOldContact)
	}
	p.contacts[ip] = time.Now()
}

func isOldContact(_ string, at time.Time) bool { return time.Since(at) >= recentAnswerPeriod }

// RecentPeers returns the addresses of the known peers that have answered a request, or
// from whose IP address one came, within recentAnswerPeriod.
func (p *PeerClient) RecentPeers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.answers, isOldContact)
	maps.DeleteFunc(p.contacts, isOldContact)
	var recent []string
	for _, address := range p.addresses() {
		_, hasAnswered := p.answers[address]
		if hasAnswered || p.wasContactedFrom(address) {
			recent = append(recent, address)
		}
	}
	return recent
}

// wasContactedFrom reports whether a request came from the IP address of the peer. The
// caller holds the mutex.
func (p *PeerClient) wasContactedFrom(address string) bool {
	ip, _, err := net.SplitHostPort(address)
	_, ok := p.contacts[ip]
	return err == nil && ok
}

func exchange(ctx context.Context, session *yamux.Session, m *Question) (*JobAnswer, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if _, err := protodelim.MarshalTo(stream, m); err != nil {
		return nil, fmt.Errorf("send peer request: %w", err)
	}
	response := &JobAnswer{}
	if err := unmarshalOptions().UnmarshalFrom(bufio.NewReader(stream), response); err != nil {
		return nil, fmt.Errorf("read peer response: %w", err)
	}
	return response, nil
}

func unmarshalOptions() protodelim.UnmarshalOptions {
	return protodelim.UnmarshalOptions{MaxSize: maxPeerMessageBytes}
}
