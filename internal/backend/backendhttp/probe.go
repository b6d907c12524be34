package backendhttp

import (
	"context"
	"errors"
	"fmt"
	"math"
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

// Bounds of the figures in descriptions and load reports, far above those of any real
// server. Figures are summed over the servers of a service, so that one odd server could
// disturb the others.
const (
	maxSlots         = 1 << 16
	maxContextTokens = math.MaxInt32
	maxLoadRequests  = 1_000_000
	maxWeightVersion = 1_000_000_000
)

// checkRange returns an error unless the value of the field is from 0 to limit.
func checkRange(field string, value, limit int64) error {
	if value < 0 || value > limit {
		return core.InvalidError(field, strconv.FormatInt(value, 10), fmt.Sprintf("0 to %d", limit), "is out of range")
	}
	return nil
}

// Describe reads the capabilities of a backend server. A description with figures that
// no server can have is an error.
func (c *Client) Describe(ctx context.Context, address string) (backend.Description, error) {
	var m ServerMessage
	if _, err := c.polls.DoJSON(ctx, getExchange(address, PathServer), &m); err != nil {
		return backend.Description{}, err
	}
	if err := m.check(); err != nil {
		return backend.Description{}, err
	}
	return m.description(), nil
}

func (m *ServerMessage) check() error {
	err := errors.Join(checkRange("slots", int64(m.Slots), maxSlots), checkRange("context_tokens", int64(m.ContextTokens), maxContextTokens))
	for _, model := range m.Models {
		err = errors.Join(err, checkRange("models.version", model.Version, maxWeightVersion))
	}
	return err
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

// Load reads the load report of a backend server. A report with figures that no server
// can have is an error.
func (c *Client) Load(ctx context.Context, address string) (backend.Load, error) {
	var m LoadMessage
	_, err := c.polls.DoJSON(ctx, getExchange(address, PathLoad), &m)
	err = errors.Join(err, checkRange("running", int64(m.Running), maxLoadRequests), checkRange("waiting", int64(m.Waiting), maxLoadRequests))
	if err != nil {
		return backend.Load{}, err
	}
	return backend.Load{MeasuredAt: m.At, Running: m.Running, Waiting: m.Waiting, KVUsed: min(max(0, m.KVUsed), 1)}, nil
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
