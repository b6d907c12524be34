package daemonrpc

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/trainer/batch"
)

const (
	// jobDialTimeout bounds the connection to an owner. A longer wait would
	// keep a trainer from a job whose owner is gone.
	jobDialTimeout = 500 * time.Millisecond
	// jobAnswerTimeout bounds the writing of an answer to a daemon that does not read.
	jobAnswerTimeout = 3 * time.Second
	// jobKeepAlive is how often an idle session is probed.
	jobKeepAlive = 10 * time.Second
	// maxJobMessage bounds a question or an answer in bytes.
	maxJobMessage = 4 << 20
)

// PeerClient asks and tells other daemons, on one stream for each question.
type PeerClient struct {
	addresses func() []string
	mu        sync.Mutex
	sessions  map[string]*yamux.Session
}

var (
	_ batch.Peers          = (*PeerClient)(nil)
	_ platform.RelayClient = (*PeerClient)(nil)
)

// NewPeerClient returns a client without connections. addresses returns the other
// daemons as far as known.
func NewPeerClient(addresses func() []string) *PeerClient {
	return &PeerClient{addresses: addresses, sessions: map[string]*yamux.Session{}}
}

// Addresses returns the addresses of the other daemons.
func (p *PeerClient) Addresses() []string { return p.addresses() }

func jobSessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = jobKeepAlive
	c.ConnectionWriteTimeout = jobAnswerTimeout
	return c
}

// Ask sends the query to the daemon at the address and waits for its answer.
func (p *PeerClient) Ask(ctx context.Context, address string, q batch.Query) (batch.Reply, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return batch.Reply{}, err
	}
	question, err := encodeQuestion(q)
	if err != nil {
		return batch.Reply{}, fmt.Errorf("encode question: %w", err)
	}
	answer, err := p.askOn(ctx, address, session, question)
	if err != nil {
		return batch.Reply{}, err
	}
	return decodeAnswer(answer), nil
}

// Notify tells the daemon at the address.
func (p *PeerClient) Notify(ctx context.Context, address string, n Notifications) error {
	session, err := p.session(ctx, address)
	if err != nil {
		return err
	}
	_, err = p.askOn(ctx, address, session, encodeNotices(n))
	return err
}

// WatchRelay asks a relay for the changes of servers after the revision.
func (p *PeerClient) WatchRelay(ctx context.Context, address string, after int64) (platform.Listing, error) {
	session, err := p.session(ctx, address)
	if err != nil {
		return platform.Listing{}, err
	}
	answer, err := p.askOn(ctx, address, session, &Question{Kind: &Question_Watch{Watch: &WatchQuestion{After: after}}})
	if err != nil {
		return platform.Listing{}, err
	}
	return decodeWatchAnswer(answer.GetWatch())
}

// Close ends all sessions.
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
	dialer := net.Dialer{Timeout: jobDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to daemon %s: %w", address, err)
	}
	session, err := yamux.Client(conn, jobSessionConfig())
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("open session with daemon %s: %w", address, err)
	}
	p.mu.Lock()
	p.sessions[address] = session
	p.mu.Unlock()
	return session, nil
}

// drop closes a session that has failed. The next query connects anew.
func (p *PeerClient) drop(address string, session *yamux.Session) {
	p.mu.Lock()
	if p.sessions[address] == session {
		delete(p.sessions, address)
	}
	p.mu.Unlock()
	_ = session.Close()
}

// askOn asks on a stream of the session, which is dropped when that fails.
func (p *PeerClient) askOn(ctx context.Context, address string, session *yamux.Session, q *Question) (*JobAnswer, error) {
	answer, err := exchangeOn(ctx, session, q)
	if err != nil {
		p.drop(address, session)
	}
	return answer, err
}

func exchangeOn(ctx context.Context, session *yamux.Session, q *Question) (*JobAnswer, error) {
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
	if _, err := protodelim.MarshalTo(stream, q); err != nil {
		return nil, fmt.Errorf("send question: %w", err)
	}
	m := &JobAnswer{}
	if err := jobUnmarshal().UnmarshalFrom(bufio.NewReader(stream), m); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return m, nil
}

func jobUnmarshal() protodelim.UnmarshalOptions {
	return protodelim.UnmarshalOptions{MaxSize: maxJobMessage}
}

// PeerServer takes what other daemons ask and tell.
type PeerServer struct {
	listener net.Listener
	pool     *duty.Pool
	handlers PeerHandlers
	log      *logrus.Entry
}

// PeerHandlers take what other daemons ask and tell.
type PeerHandlers struct {
	HandleJobRequest          func(context.Context, batch.Query) batch.Reply // blocks
	HandleEngineNotifications func([]backend.ModelStatus)                    // must not wait
	HandleOwnerNotifications  func([]batch.Ownership)                        // must not wait
	// HandleWatchRequest answers as a relay. It blocks for a beat of the relay at most.
	HandleWatchRequest func(ctx context.Context, after int64) (platform.Listing, error)
}

// Notifications are what a daemon tells others because it knows it first.
type Notifications struct {
	Engines []backend.ModelStatus
	Owners  []batch.Ownership
}

// ListenPeers opens the listener. The pool runs one worker for each session and
// one for each query.
func ListenPeers(address string, pool *duty.Pool, log *logrus.Entry, handlers PeerHandlers) (*PeerServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for daemons on %s: %w", address, err)
	}
	return &PeerServer{listener: listener, pool: pool, handlers: handlers, log: log}, nil
}

// Address returns the address that the server listens on.
func (s *PeerServer) Address() string { return s.listener.Addr().String() }

// Serve accepts sessions until Shutdown.
func (s *PeerServer) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return err
		}
		if !s.pool.TryGo(func() { s.serveSession(conn) }) {
			s.log.Warn("session of a daemon refused: no worker is free")
			conn.Close()
		}
	}
}

// Shutdown closes the listener.
func (s *PeerServer) Shutdown(context.Context) error { return s.listener.Close() }

func (s *PeerServer) serveSession(conn net.Conn) {
	session, err := yamux.Server(conn, jobSessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	defer func() { _ = session.Close() }()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.WithError(err).Debug("session of a daemon ended")
			}
			return
		}
		if !s.pool.TryGo(func() { s.serveStream(stream) }) {
			s.log.Warn("query of a daemon refused: no worker is free")
			_ = stream.Close()
		}
	}
}

func (s *PeerServer) serveStream(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	var m Question
	_ = stream.SetReadDeadline(time.Now().Add(jobAnswerTimeout))
	if err := jobUnmarshal().UnmarshalFrom(bufio.NewReader(stream), &m); err != nil {
		s.log.WithError(err).Debug("question of a daemon could not be read")
		return
	}
	answer, err := s.handle(&m)
	if err != nil {
		s.log.WithError(err).Warn("question of a daemon could not be decoded")
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(jobAnswerTimeout))
	if _, err := protodelim.MarshalTo(stream, answer); err != nil {
		s.log.WithError(err).Debug("answer to a daemon could not be sent")
	}
}

func (s *PeerServer) handle(m *Question) (*JobAnswer, error) {
	if n := m.GetNotices(); n != nil {
		notices := decodeNotices(n)
		s.handlers.HandleEngineNotifications(notices.Engines)
		s.handlers.HandleOwnerNotifications(notices.Owners)
		return &JobAnswer{}, nil
	}
	if w := m.GetWatch(); w != nil {
		listing, err := s.handlers.HandleWatchRequest(context.Background(), w.GetAfter())
		return &JobAnswer{Watch: encodeWatchAnswer(listing, err)}, nil
	}
	q, err := decodeQuestion(m.GetJob())
	if err != nil {
		return nil, err
	}
	return encodeAnswer(s.handlers.HandleJobRequest(context.Background(), q)), nil
}

func encodeQuestion(q batch.Query) (*Question, error) {
	m := &JobQuestion{
		Kind: int32(q.Kind), Job: string(q.ID), After: int64(q.FromPosition), WaitMs: q.MaxWait.Milliseconds(), Item: string(q.Item),
		Delegated: q.Delegated,
	}
	var err error
	if q.Job != nil {
		m.Submitted, err = json.Marshal(q.Job)
	}
	return &Question{Kind: &Question_Job{Job: m}}, err
}

func encodeNotices(n Notifications) *Question {
	m := &NoticeList{}
	for _, e := range n.Engines {
		m.Engines = append(m.Engines, &ServerNotice{Server: string(e.Server), Model: e.Model, Version: int64(e.Version), Loading: e.Loading})
	}
	for _, o := range n.Owners {
		m.Owners = append(m.Owners, &JobOwner{Job: string(o.Job), Address: o.Owner.Address, Run: o.Owner.Run, Model: o.Model, Work: o.RemainingTokens})
	}
	return &Question{Kind: &Question_Notices{Notices: m}}
}

func decodeNotices(m *NoticeList) Notifications {
	var n Notifications
	for _, e := range m.Engines {
		n.Engines = append(n.Engines, backend.ModelStatus{Server: core.ServerID(e.Server), Model: e.Model, Version: core.Version(e.Version), Loading: e.Loading})
	}
	for _, o := range m.Owners {
		n.Owners = append(n.Owners, batch.Ownership{
			Job: batch.JobID(o.Job), Owner: batch.Owner{Address: o.Address, Run: o.Run}, Model: o.Model, RemainingTokens: o.Work,
		})
	}
	return n
}

func decodeQuestion(m *JobQuestion) (batch.Query, error) {
	q := batch.Query{
		Kind: batch.QueryKind(m.GetKind()), ID: batch.JobID(m.GetJob()), FromPosition: int(m.GetAfter()),
		MaxWait: time.Duration(m.GetWaitMs()) * time.Millisecond, Item: batch.ItemID(m.GetItem()), Delegated: m.GetDelegated(),
	}
	if len(m.GetSubmitted()) == 0 {
		return q, nil
	}
	q.Job = &batch.Job{}
	return q, json.Unmarshal(m.Submitted, q.Job)
}

func encodeAnswer(a batch.Reply) *JobAnswer {
	return &JobAnswer{
		Status: int32(a.Status), OwnerAddress: a.Owner.Address, OwnerRun: a.Owner.Run, Total: int64(a.Total), Body: a.Body,
		Results: encodeResults(a.Results), CutOff: a.StoreUnreachable, Handover: encodeResults(a.Unpublished),
	}
}

func encodeResults(results []batch.Result) []*JobResult {
	list := make([]*JobResult, 0, len(results))
	for _, r := range results {
		m := &JobResult{Item: string(r.Item), Done: r.Done, Text: r.Text, Score: r.Score}
		for _, v := range r.Versions {
			m.Versions = append(m.Versions, int64(v))
		}
		list = append(list, m)
	}
	return list
}

func decodeAnswer(m *JobAnswer) batch.Reply {
	return batch.Reply{
		Status: batch.Status(m.Status), Owner: batch.Owner{Address: m.OwnerAddress, Run: m.OwnerRun},
		Total: int(m.Total), Body: m.Body, Results: decodeResults(m.Results),
		StoreUnreachable: m.CutOff, Unpublished: decodeResults(m.Handover),
	}
}

func decodeResults(list []*JobResult) []batch.Result {
	results := make([]batch.Result, 0, len(list))
	for _, m := range list {
		r := batch.Result{Item: batch.ItemID(m.Item), Done: m.Done, Text: m.Text, Score: m.Score}
		for _, v := range m.Versions {
			r.Versions = append(r.Versions, core.Version(v))
		}
		results = append(results, r)
	}
	return results
}
