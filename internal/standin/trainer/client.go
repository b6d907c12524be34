package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/trainer"
	"github.com/berylfall/berylfall/internal/trainer/trainerhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

// Limits of the client.
const (
	fetchTimeout   = 15 * time.Second // longer than the server's long poll
	requestTimeout = 8 * time.Second  // longer than an acknowledgement waits for the ledger
	retryDelay     = 100 * time.Millisecond
	maxRedirects   = 3
)

// errTooManyRedirects means that the daemons redirect to one another.
var errTooManyRedirects = errors.New("too many redirects")

// Client is a trainer that runs steps over HTTP. It is not safe for concurrent use.
type Client struct {
	Name     string
	Customer core.CustomerID
	Daemons  []string // addresses, tried in turn
	State    *State
	// OnDelivery, if set, is called for each delivery that the trainer accepts.
	OnDelivery func(trainer.Delivery)

	http          *client.Client
	currentDaemon string
	nextDaemon    int
}

// NewClient returns a trainer that holds no groups.
func NewClient(name string, customer core.CustomerID, daemons ...string) (*Client, error) {
	c, err := transport.NewClient(transport.ClientOptions{})
	if err != nil {
		return nil, err
	}
	return &Client{Name: name, Customer: customer, Daemons: daemons, State: NewState(), http: c}, nil
}

// RunStep opens the step, accepts all of its groups and acknowledges them. It
// retries after every failure, except a response with status 400, until ctx ends.
func (c *Client) RunStep(ctx context.Context, spec trainer.StepSpec) error {
	if err := c.sendWithRetry(ctx, consts.MethodPost, "steps", spec, nil); err != nil {
		return err
	}
	for len(c.State.HeldGroupIDs(spec.Step)) < len(spec.Groups) {
		var m trainerhttp.DeliveriesResponse
		if err := c.sendWithRetry(ctx, consts.MethodPost, "deliveries", c.State.NewFetchRequest(c.Name, c.Customer), &m); err != nil {
			return err
		}
		for _, d := range m.Deliveries {
			if c.State.Accept(d) && c.OnDelivery != nil {
				c.OnDelivery(d)
			}
		}
		if err := c.acknowledge(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) acknowledge(ctx context.Context) error {
	if len(c.State.Unacknowledged) == 0 {
		return nil
	}
	a := c.State.NewAckRequest(c.Name, c.Customer)
	if err := c.sendWithRetry(ctx, consts.MethodPost, "ack", a.Ack, nil); err != nil {
		return err
	}
	c.State.MarkAcknowledged(a)
	return nil
}

// sendWithRetry sends the request until it succeeds or ctx ends, and changes to the
// next daemon after each failure. A response with status 400 is not retried.
func (c *Client) sendWithRetry(ctx context.Context, method, path string, body, out any) error {
	for {
		err := c.sendFollowingRedirects(ctx, method, path, body, out)
		var response *transport.ResponseError
		if err == nil || (errors.As(err, &response) && response.Status == consts.StatusBadRequest) {
			return err
		}
		c.currentDaemon = ""
		wait, cancel := context.WithTimeout(ctx, retryDelay)
		<-wait.Done()
		cancel()
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// sendFollowingRedirects sends the request to the current daemon and follows
// redirects to the owner, which becomes the current daemon.
func (c *Client) sendFollowingRedirects(ctx context.Context, method, path string, body, out any) error {
	if c.currentDaemon == "" {
		c.currentDaemon = c.Daemons[c.nextDaemon%len(c.Daemons)]
		c.nextDaemon++
	}
	for range maxRedirects {
		location, err := c.sendOnce(ctx, method, path, body, out)
		if err != nil || location == "" {
			return err
		}
		target, err := url.Parse(location)
		if err != nil {
			return fmt.Errorf("redirect to %q: %w", location, err)
		}
		c.currentDaemon = target.Host
	}
	return errTooManyRedirects
}

func (c *Client) sendOnce(ctx context.Context, method, path string, body, out any) (location string, err error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	err = transport.EncodeRequest(request, transport.Exchange{
		Method: method, URL: fmt.Sprintf("http://%s/v1/trainers/%s/%s", c.currentDaemon, c.Name, path), Body: body,
		Headers: map[string]string{transport.HeaderCustomer: string(c.Customer)},
	})
	if err != nil {
		return "", err
	}
	timeout := requestTimeout
	if path == "deliveries" {
		timeout = fetchTimeout
	}
	if err := c.http.DoTimeout(ctx, request, response, timeout); err != nil {
		return "", err
	}
	switch status := response.StatusCode(); {
	case status == consts.StatusTemporaryRedirect:
		return response.Header.Get(trainerhttp.HeaderLocation), nil
	case status >= consts.StatusBadRequest:
		return "", transport.NewResponseError(response)
	case out == nil:
		return "", nil
	}
	return "", json.Unmarshal(response.Body(), out)
}
