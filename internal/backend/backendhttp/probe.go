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

// probeTimeout bounds one probe over a fresh connection.
const probeTimeout = 2 * time.Second

// Describe asks a backend server what it can do.
func (c *Client) Describe(ctx context.Context, address string) (backend.Description, error) {
	var m ServerMessage
	if err := transport.DoJSON(ctx, c.polls, get(ctx, address, PathServer), &m); err != nil {
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

// Load asks a backend server for its load report.
func (c *Client) Load(ctx context.Context, address string) (backend.Load, error) {
	var m LoadMessage
	err := transport.DoJSON(ctx, c.polls, get(ctx, address, PathLoad), &m)
	return backend.Load{MeasuredAt: m.At, Running: m.Running, Waiting: m.Waiting, KVUsed: m.KVUsed}, err
}

// CacheEvents reads the changes of an engine's prefix cache after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]backend.CacheEvent, error) {
	var messages []CacheEventMessage
	path := PathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	if err := transport.DoJSON(ctx, c.polls, get(ctx, address, path), &messages); err != nil {
		return nil, err
	}
	events := make([]backend.CacheEvent, 0, len(messages))
	for _, m := range messages {
		events = append(events, backend.CacheEvent{Sequence: m.Sequence, Kind: backend.CacheEventKind(m.Kind), Prefix: m.Prefix})
	}
	return events, nil
}

func get(ctx context.Context, address, path string) transport.Exchange {
	x := transport.Exchange{Method: consts.MethodGet, URL: "http://" + address + path}
	if deadline, ok := ctx.Deadline(); ok {
		x.Timeout = time.Until(deadline)
	}
	return x
}

// Cancel tells the engine to stop the attempt's request. A plain service has
// no such call. Failure leaves the engine to finish in vain, which harms no answer.
func (c *Client) Cancel(a backend.Attempt) {
	if !a.Call.Request.IsModelCall() {
		return
	}
	_ = c.fresh(context.Background(), a.Address, consts.MethodPost, PathRequests+string(a.Call.Request.ID)+"/cancel", nil)
}

// probe is what a fresh connection showed about a server.
type probe struct {
	incarnation string
	refused     bool // nothing listens at the address
	err         error
}

// crashed reports whether a connection lost by the given incarnation was lost
// in a crash.
func (p probe) crashed(incarnation string) bool {
	if p.refused {
		return true
	}
	return p.err == nil && incarnation != "" && p.incarnation != incarnation
}

func (c *Client) probe(ctx context.Context, address string) probe {
	var m ServerMessage
	err := c.fresh(ctx, address, consts.MethodGet, PathServer, &m)
	return probe{incarnation: m.Incarnation, refused: errors.Is(err, syscall.ECONNREFUSED), err: err}
}

// status asks an engine for the progress of a request. known is false when the
// engine answers that it does not have the request.
func (c *Client) status(ctx context.Context, address string, id core.RequestID) (m RequestMessage, known bool, err error) {
	err = c.fresh(ctx, address, consts.MethodGet, PathRequests+string(id), &m)
	var refusal *transport.ResponseError
	if errors.As(err, &refusal) && refusal.Status == consts.StatusNotFound {
		return m, false, nil
	}
	return m, err == nil, err
}

// fresh makes one request over a connection of its own, which shows whether
// the server is reachable whatever state older connections are in.
func (c *Client) fresh(ctx context.Context, address, method, path string, out any) error {
	ctx, stop := context.WithTimeout(ctx, c.probeTimeout)
	defer stop()
	connection, err := transport.DialConn(ctx, address, c.probeTimeout)
	if err != nil {
		return err
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := transport.EncodeRequest(req, transport.Exchange{Method: method, URL: "http://" + address + path}); err != nil {
		return err
	}
	req.SetConnectionClose()
	if err := connection.RoundTrip(req, resp); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return decode(resp, out)
}
