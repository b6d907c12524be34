// Package platformhttp encodes calls to the platform's object API and host list
// as HTTP. It decides only which error of package platform a failed call has:
// ErrUnavailable if no connection could be established or the store refused the
// call with status 503, and ErrUnknownOutcome if the store may have executed it.
//
// It owns no duty and no state but the connections of its HTTP client, which is
// safe for concurrent use. Its calls block, so they are made on pool goroutines.
// Each error wraps one of the errors of package platform.
package platformhttp

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/transport"
)

// Headers of the object API.
const (
	HeaderIfVersion  = "If-Version"
	HeaderWriteToken = "Write-Token"
)

// MaxWatchWait is how long the object API keeps a watch without changes open.
const MaxWatchWait = 10 * time.Second

// Client calls the object API and the host list. Any goroutine may use it.
type Client struct {
	pool *transport.Pool
	base string
}

var (
	_ platform.ObjectAPI = (*Client)(nil)
	_ platform.HostList  = (*Client)(nil)
)

// NewClient returns a client for the platform at base, such as "http://127.0.0.1:7000".
func NewClient(base string) *Client {
	return &Client{pool: transport.NewPool(transport.DefaultReadTimeout).LimitBodies(transport.MaxListingBytes), base: base}
}

// Get reads one object. A deleted object is platform.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (platform.Object, error) {
	var o platform.Object
	err := c.do(ctx, transport.Exchange{Method: consts.MethodGet, URL: c.objectURL(key)}, &o)
	return o, err
}

// Find reads one object or its tombstone.
func (c *Client) Find(ctx context.Context, key string) (platform.Object, error) {
	// Only lists have tombstones.
	l, err := c.List(ctx, key)
	for _, o := range l.Objects {
		if o.Key == key {
			return o, err
		}
	}
	return platform.Object{}, err
}

// List reads all objects with the prefix, including tombstones until they
// are compacted.
func (c *Client) List(ctx context.Context, prefix string) (platform.Listing, error) {
	var l platform.Listing
	target := c.base + "/v1/objects?prefix=" + url.QueryEscape(prefix)
	err := c.do(ctx, transport.Exchange{Method: consts.MethodGet, URL: target}, &l)
	return l, err
}

// Put writes one object if its version meets w.IfVersion.
func (c *Client) Put(ctx context.Context, w platform.Write) (platform.Object, error) {
	return c.write(ctx, consts.MethodPut, w)
}

// Delete deletes one object if its version meets w.IfVersion.
func (c *Client) Delete(ctx context.Context, w platform.Write) (platform.Object, error) {
	return c.write(ctx, consts.MethodDelete, w)
}

// WriteBody is the body of a Put or Delete request.
type WriteBody struct {
	Value []byte `json:"value"`
}

func (c *Client) write(ctx context.Context, method string, w platform.Write) (platform.Object, error) {
	var o platform.Object
	err := c.do(ctx, transport.Exchange{
		Method: method,
		URL:    c.objectURL(w.Key),
		Headers: map[string]string{
			HeaderIfVersion:  strconv.FormatInt(w.IfVersion, 10),
			HeaderWriteToken: w.Token,
		},
		Body: WriteBody{Value: w.Value},
	}, &o)
	return o, err
}

// Watch blocks until objects with the prefix change after the revision.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (platform.Listing, error) {
	var l platform.Listing
	target := fmt.Sprintf("%s/v1/watch?prefix=%s&after=%d", c.base, url.QueryEscape(prefix), after)
	err := c.do(ctx, transport.Exchange{Method: consts.MethodGet, URL: target}, &l)
	return l, err
}

// Hosts returns the current host list.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	err := c.do(ctx, transport.Exchange{Method: consts.MethodGet, URL: c.base + "/v1/hosts"}, &hosts)
	return hosts, err
}

func (c *Client) objectURL(key string) string {
	return c.base + "/v1/objects/" + url.PathEscape(key)
}

func (c *Client) do(ctx context.Context, x transport.Exchange, out any) error {
	_, err := c.pool.DoJSON(ctx, x, out)
	return ClassifyError(err)
}

// ClassifyError maps a failed call to an error of package platform.
func ClassifyError(err error) error {
	if err == nil {
		return nil
	}
	var response *transport.ResponseError
	if !errors.As(err, &response) {
		if transport.IsDialError(err) {
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
		return fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, err)
	}
	switch response.Status {
	case consts.StatusNotFound:
		return platform.ErrNotFound
	case consts.StatusConflict:
		return platform.ErrConflict
	case consts.StatusGone:
		return platform.ErrCompacted
	case consts.StatusTooManyRequests:
		return platform.ErrRateLimited
	case consts.StatusRequestEntityTooLarge:
		return platform.ErrTooLarge
	case consts.StatusServiceUnavailable:
		return platform.ErrUnavailable
	case consts.StatusBadRequest, consts.StatusUnauthorized, consts.StatusForbidden, consts.StatusMethodNotAllowed:
		return fmt.Errorf("%w: %w", platform.ErrRejected, err)
	default:
		// Any other status may come from a proxy after the store has executed
		// the call.
		return fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, err)
	}
}
