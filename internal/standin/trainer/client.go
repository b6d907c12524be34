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
	fetchTimeout   = 15 * time.Second // longer than a long poll
	requestTimeout = 8 * time.Second  // longer than an acknowledgement waits for the ledger
	retryDelay     = 100 * time.Millisecond
	maxRedirects   = 3
)

// errRedirects means that daemons redirect to one another.
var errRedirects = errors.New("too many redirects")

// Client is a trainer that runs steps over HTTP. It is used by one goroutine.
type Client struct {
	Name     string
	Customer core.CustomerID
	Daemons  []string // addresses, tried in turn
	State    *State
	// Learn, if set, is called for each delivery that the trainer learns from.
	Learn func(trainer.Delivery)

	http   *client.Client
	target string
	turn   int
}

// NewClient returns a trainer that holds nothing.
func NewClient(name string, customer core.CustomerID, daemons ...string) (*Client, error) {
	c, err := transport.NewClient(transport.ClientOptions{})
	if err != nil {
		return nil, err
	}
	return &Client{Name: name, Customer: customer, Daemons: daemons, State: NewState(), http: c}, nil
}

// RunStep opens the step, learns every group of it and acknowledges them. It
// asks again after every failure until ctx ends.
func (c *Client) RunStep(ctx context.Context, spec trainer.StepSpec) error {
	if err := c.insist(ctx, consts.MethodPost, "steps", spec, nil); err != nil {
		return err
	}
	for len(c.State.HeldIn(spec.Step)) < len(spec.Groups) {
		var m trainerhttp.DeliveriesResponse
		if err := c.insist(ctx, consts.MethodPost, "deliveries", c.State.Fetch(c.Name, c.Customer), &m); err != nil {
			return err
		}
		for _, d := range m.Deliveries {
			if c.State.Take(d) && c.Learn != nil {
				c.Learn(d)
			}
		}
		if err := c.acknowledge(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) acknowledge(ctx context.Context) error {
	if len(c.State.Unconfirmed) == 0 {
		return nil
	}
	a := c.State.Ack(c.Name, c.Customer)
	if err := c.insist(ctx, consts.MethodPost, "ack", a.Ack, nil); err != nil {
		return err
	}
	c.State.Confirm(a)
	return nil
}

// insist sends the request until it is answered. A refusal as invalid is final.
func (c *Client) insist(ctx context.Context, method, path string, body, out any) error {
	for {
		err := c.send(ctx, method, path, body, out)
		var refused *transport.ResponseError
		if err == nil || (errors.As(err, &refused) && refused.Status == consts.StatusBadRequest) {
			return err
		}
		c.target = ""
		wait, cancel := context.WithTimeout(ctx, retryDelay)
		<-wait.Done()
		cancel()
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// send follows redirects to the owner.
func (c *Client) send(ctx context.Context, method, path string, body, out any) error {
	if c.target == "" {
		c.target = c.Daemons[c.turn%len(c.Daemons)]
		c.turn++
	}
	for range maxRedirects {
		location, err := c.exchange(ctx, method, path, body, out)
		if err != nil || location == "" {
			return err
		}
		target, err := url.Parse(location)
		if err != nil {
			return fmt.Errorf("redirect to %q: %w", location, err)
		}
		c.target = target.Host
	}
	return errRedirects
}

func (c *Client) exchange(ctx context.Context, method, path string, body, out any) (location string, err error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	err = transport.EncodeRequest(request, transport.Exchange{
		Method: method, URL: fmt.Sprintf("http://%s/v1/trainers/%s/%s", c.target, c.Name, path), Body: body,
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
