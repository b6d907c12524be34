// Package trainerhttp is the HTTP encoding of trainers' requests. It takes no
// decisions and keeps no state, which the trainer duty owns: each request becomes
// one query to that duty, and the reply becomes a JSON body, a redirect or an error.
// A request that cannot be decoded is rejected before it reaches the duty.
package trainerhttp

import (
	"context"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/trainer"
	"github.com/berylfall/berylfall/internal/transport"
)

// HeaderLocation is the header of a redirect. It holds the URL of the same
// resource at the owner of the trainer.
const HeaderLocation = "Location"

// DeliveriesResponse is the body of every successful answer to a trainer.
type DeliveriesResponse struct {
	Epoch      int64              `json:"epoch"`
	Deliveries []trainer.Delivery `json:"deliveries"`
}

// Querier answers trainers' queries; trainer.Manager implements it.
type Querier interface {
	Query(ctx context.Context, q trainer.Query) trainer.Reply
}

// Handler serves the HTTP requests of trainers.
type Handler struct {
	trainer Querier
}

// NewHandler returns a handler that sends its queries to t.
func NewHandler(t Querier) *Handler { return &Handler{trainer: t} }

// Register adds the routes for trainers. A fetch with a list of held groups is a
// POST, because a GET has no body.
func (h *Handler) Register(r *route.Engine) {
	r.POST("/v1/trainers/:trainer/steps", h.open)
	r.GET("/v1/trainers/:trainer/deliveries", h.fetch)
	r.POST("/v1/trainers/:trainer/deliveries", h.fetchHeld)
	r.POST("/v1/trainers/:trainer/ack", h.acknowledge)
}

func (h *Handler) open(ctx context.Context, c *app.RequestContext) {
	var spec trainer.StepSpec
	if err := transport.ReadJSON(c, &spec); err != nil {
		transport.WriteError(c, err)
		return
	}
	spec.Customer = customerOf(c)
	h.reply(ctx, c, trainer.Query{Open: &trainer.OpenRequest{Trainer: c.Param("trainer"), Spec: spec}})
}

func (h *Handler) fetch(ctx context.Context, c *app.RequestContext) {
	fetch := &trainer.FetchRequest{Trainer: c.Param("trainer"), Customer: customerOf(c)}
	for name, target := range map[string]*int64{"after": &fetch.After, "epoch": &fetch.Epoch} {
		number, err := strconv.ParseInt(c.DefaultQuery(name, "0"), 10, 64)
		if err != nil {
			transport.WriteError(c, core.InvalidError(name, c.Query(name), "a whole number", "is not a number"))
			return
		}
		*target = number
	}
	h.reply(ctx, c, trainer.Query{Fetch: fetch})
}

func (h *Handler) fetchHeld(ctx context.Context, c *app.RequestContext) {
	fetch := &trainer.FetchRequest{}
	if err := transport.ReadJSON(c, fetch); err != nil {
		transport.WriteError(c, err)
		return
	}
	fetch.Trainer, fetch.Customer = c.Param("trainer"), customerOf(c)
	h.reply(ctx, c, trainer.Query{Fetch: fetch})
}

func (h *Handler) acknowledge(ctx context.Context, c *app.RequestContext) {
	var ack trainer.Acknowledgement
	if err := transport.ReadJSON(c, &ack); err != nil {
		transport.WriteError(c, err)
		return
	}
	ack.Customer = customerOf(c)
	h.reply(ctx, c, trainer.Query{Ack: &trainer.AckRequest{Trainer: c.Param("trainer"), Ack: ack}})
}

func (h *Handler) reply(ctx context.Context, c *app.RequestContext, q trainer.Query) {
	r := h.trainer.Query(ctx, q)
	switch {
	case r.Err != nil:
		transport.WriteError(c, r.Err)
	case r.Redirect != "":
		redirect(c, r.Redirect)
	default:
		c.JSON(consts.StatusOK, DeliveriesResponse{Epoch: r.Epoch, Deliveries: r.Deliveries})
	}
}

// redirect sends the trainer to the owner with status 307, which preserves the
// method and the body.
func redirect(c *app.RequestContext, address string) {
	uri := c.Request.URI()
	target := string(uri.Scheme()) + "://" + address + string(uri.RequestURI())
	c.Response.Header.Set(HeaderLocation, target)
	c.SetStatusCode(consts.StatusTemporaryRedirect)
}

func customerOf(c *app.RequestContext) core.CustomerID {
	return core.CustomerID(c.GetHeader(transport.HeaderCustomer))
}
