// Package weightshttp encodes calls to the weight store, and orders to load
// versions, as HTTP.
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

// PathLatest is the path, below which the model's name stands, of the newest version.
const PathLatest = "/v1/weights/"

// LatestMessage is the answer to GET /v1/weights/{model}.
type LatestMessage struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
}

// Client speaks to the weight store and orders engines.
type Client struct {
	http *client.Client
	base string
}

var (
	_ weights.Store  = (*Client)(nil)
	_ weights.Loader = (*Client)(nil)
)

// NewClient returns a client for the weight store at base.
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

// Load orders an engine to load a version and waits until it has answered. The
// version is not read back.
func (c *Client) Load(ctx context.Context, w weights.Engine, o weights.Order, source string, fence int64) (held core.Version, err error) {
	return 0, transport.DoJSON(ctx, c.http, transport.Exchange{
		Method:  consts.MethodPost,
		URL:     "http://" + w.Address + backendhttp.PathOrders,
		Timeout: remaining(ctx),
		Body: backendhttp.OrderMessage{
			Kind:    "load-version",
			Model:   w.Model,
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
