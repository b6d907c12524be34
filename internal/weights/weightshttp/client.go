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
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
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
	http *client.Client
	base string
}

var (
	_ weights.Store  = (*Client)(nil)
	_ weights.Loader = (*Client)(nil)
)

// NewClient returns a client for the weight store at the base URL.
func NewClient(base string, o transport.ClientOptions) (*Client, error) {
	c, err := transport.NewClient(o)
	if err != nil {
		return nil, err
	}
	return &Client{http: c, base: base}, nil
}

// Latest returns the newest version of the model.
func (c *Client) Latest(ctx context.Context, model string) (core.Version, error) {
	var m LatestMessage
	x := transport.Exchange{Method: consts.MethodGet, URL: c.base + PathLatest + url.PathEscape(model), Timeout: remaining(ctx)}
	err := transport.DoJSON(ctx, c.http, x, &m)
	return core.Version(m.Version), err
}

// Load sends the order to the engine and blocks until the engine has answered. It
// does not read the version back.
func (c *Client) Load(ctx context.Context, e weights.Engine, o weights.Order, source string, fence int64) (readBack core.Version, err error) {
	return 0, transport.DoJSON(ctx, c.http, transport.Exchange{
		Method:  consts.MethodPost,
		URL:     "http://" + e.Address + backendhttp.PathOrders,
		Timeout: remaining(ctx),
		Body: backendhttp.OrderMessage{
			Kind:    "load-version",
			Model:   e.Model,
			Version: int64(o.Version),
			Source:  source,
			Fence:   fence,
		},
	}, nil)
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}
