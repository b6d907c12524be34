// Package weightshttp encodes calls to the weight store, and orders to load
// versions, as HTTP. It takes no decisions: package weights decides what is loaded
// and when.
//
// It owns no duty and no state but the connections of its HTTP client, which is
// safe for concurrent use. Its calls block, so they are made on pool goroutines.
// Each order carries the fencing number of the lease under which it is sent. An
// accepted order does not prove that the version was loaded; the caller must read
// it back.
package weightshttp

import (
	"context"
	"net/url"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
	"github.com/berylfall/berylfall/internal/weights"
)

// PathLatest is the path prefix of the newest version; the model's name follows.
const PathLatest = "/v1/weights/"

// LatestMessage is the answer to GET /v1/weights/{model}.
type LatestMessage struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
}

// Client calls the weight store and sends orders to engines. Any goroutine may
// use it.
type Client struct {
	pool *transport.Pool
	base string
}

var (
	_ weights.Store  = (*Client)(nil)
	_ weights.Loader = (*Client)(nil)
)

// NewClient returns a client for the weight store at the base URL.
func NewClient(base string) *Client {
	return &Client{pool: transport.NewPool(transport.DefaultReadTimeout).LimitBodies(transport.MaxProbeBodyBytes), base: base}
}

// Latest returns the newest version of the model.
func (c *Client) Latest(ctx context.Context, model string) (core.Version, error) {
	var m LatestMessage
	x := transport.Exchange{Method: consts.MethodGet, URL: c.base + PathLatest + url.PathEscape(model)}
	_, err := c.pool.DoJSON(ctx, x, &m)
	return core.Version(m.Version), err
}

// Load sends the order to the engine and blocks until the engine has answered. It
// does not read the version back.
func (c *Client) Load(ctx context.Context, e weights.Engine, o weights.Order, source string, fence int64) (readBack core.Version, err error) {
	_, err = c.pool.DoJSON(ctx, transport.Exchange{
		Method: consts.MethodPost,
		URL:    "http://" + e.Address + backendhttp.PathOrders,
		Body: backendhttp.OrderMessage{
			Kind:    "load-version",
			Model:   e.Model,
			Version: int64(o.Version),
			Source:  source,
			Fence:   fence,
		},
	}, nil)
	return 0, err
}
