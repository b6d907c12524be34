package backendhttp

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// defaultProbeTimeout bounds one probe over a new connection.
const defaultProbeTimeout = 2 * time.Second

// Describe reads the capabilities of a backend server.
func (c *Client) Describe(ctx context.Context, address string) (backend.Description, error) {
	var m ServerMessage
	if _, err := c.polls.DoJSON(ctx, getExchange(address, PathServer), &m); err != nil {
		return backend.Description{}, err
	}
	return m.description(), nil
}

func (m *ServerMessage) description() backend.Description {
	d := backend.Description{
		Kind:          m.Kind,
		Service:       m.Service,
		Incarnation:   m.Incarnation,
		Role:          backend.Role(m.Role),
		ContextTokens: m.ContextTokens,
		Operations:    m.Operations,
		ChecksFence:   m.ChecksFence,
		Slots:         m.Slots,
	}
	for _, model := range m.Models {
		d.Models = append(d.Models, backend.ModelDescription{
			Name:     model.Name,
			Version:  core.Version(model.Version),
			Adapters: model.Adapters,
		})
	}
	return d
}

// Load reads the load report of a backend server.
func (c *Client) Load(ctx context.Context, address string) (backend.Load, error) {
	var m LoadMessage
	_, err := c.polls.DoJSON(ctx, getExchange(address, PathLoad), &m)
	return backend.Load{MeasuredAt: m.At, Running: m.Running, Waiting: m.Waiting, KVUsed: m.KVUsed}, err
}

// CacheEvents reads the changes of an engine's prefix cache after a sequence
// number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]backend.CacheEvent, error) {
	var messages []CacheEventMessage
	path := PathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	if _, err := c.polls.DoJSON(ctx, getExchange(address, path), &messages); err != nil {
		return nil, err
	}
	events := make([]backend.CacheEvent, 0, len(messages))
	for _, m := range messages {
		events = append(events, backend.CacheEvent{Sequence: m.Sequence, Kind: backend.CacheEventKind(m.Kind), Prefix: m.Prefix})
	}
	return events, nil
}

func getExchange(address, path string) transport.Exchange {
	return transport.Exchange{Method: consts.MethodGet, URL: "http://" + address + path}
}

// Cancel tells the engine to stop processing the attempt's request. Plain
// services have no such operation. If the cancellation fails, the engine
// completes a request whose answer nobody reads, which affects no other answer.
func (c *Client) Cancel(a backend.Attempt) {
	if !a.Call.Request.IsModelCall() {
		return
	}
	_ = c.doOnNewConnection(context.Background(), a.Address, consts.MethodPost, PathRequests+string(a.Call.Request.ID)+"/cancel", nil)
}

// probeResult is what a new connection revealed about a server.
type probeResult struct {
	incarnation         string
	isConnectionRefused bool // nothing listens at the address
	err                 error
}

// hasCrashed reports whether a connection lost by the given incarnation was
// lost because the server crashed.
func (p probeResult) hasCrashed(incarnation string) bool {
	if p.isConnectionRefused {
		return true
	}
	return p.err == nil && incarnation != "" && p.incarnation != incarnation
}

func (c *Client) probe(ctx context.Context, address string) probeResult {
	var m ServerMessage
	err := c.doOnNewConnection(ctx, address, consts.MethodGet, PathServer, &m)
	return probeResult{incarnation: m.Incarnation, isConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), err: err}
}

// requestStatus reads the progress of a request from an engine. known is false
// when the engine answers that it does not have the request.
func (c *Client) requestStatus(ctx context.Context, address string, id core.RequestID) (m RequestMessage, known bool, err error) {
	err = c.doOnNewConnection(ctx, address, consts.MethodGet, PathRequests+string(id), &m)
	var refusal *transport.ResponseError
	if errors.As(err, &refusal) && refusal.Status == consts.StatusNotFound {
		return m, false, nil
	}
	return m, err == nil, err
}

// doOnNewConnection makes one request over a connection of its own, which shows
// whether the server is reachable independent of the state of older
// connections.
func (c *Client) doOnNewConnection(ctx context.Context, address, method, path string, out any) error {
	ctx, stop := context.WithTimeout(ctx, c.probeTimeout)
	defer stop()
	connection, err := transport.DialConn(ctx, address, c.probeTimeout)
	if err != nil {
		return err
	}
	defer connection.Abort()
	defer context.AfterFunc(ctx, connection.Abort)()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := transport.EncodeRequest(req, transport.Exchange{Method: method, URL: "http://" + address + path}); err != nil {
		return err
	}
	req.SetConnectionClose()
	if err := connection.RoundTrip(ctx, req, resp, transport.MaxProbeBodyBytes); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return decodeResponse(resp, out)
}
