// Package trainerhttp encodes trainers' requests as HTTP.
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

// DeliveriesMessage is the answer to GET /v1/trainers/{trainer}/deliveries.
type DeliveriesMessage struct {
	Deliveries []trainer.Delivery `json:"deliveries"`
}

// Asker answers trainers' queries.
type Asker interface {
	Ask(ctx context.Context, q trainer.Query) trainer.Reply
}

// Handler turns HTTP requests into queries.
type Handler struct {
	trainer Asker
}

// NewHandler returns a handler that puts queries to t.
func NewHandler(t Asker) *Handler { return &Handler{trainer: t} }

// Register adds the routes for trainers.
func (h *Handler) Register(r *route.Engine) {
	r.POST("/v1/trainers/:trainer/steps", h.open)
	r.GET("/v1/trainers/:trainer/deliveries", h.fetch)
	r.POST("/v1/trainers/:trainer/ack", h.acknowledge)
}

func (h *Handler) open(ctx context.Context, c *app.RequestContext) {
	var spec trainer.StepSpec
	if err := transport.ReadJSON(c, &spec); err != nil {
		transport.WriteError(c, err)
		return
	}
	spec.Customer = customerOf(c)
	h.reply(ctx, c, trainer.Query{Open: &trainer.Open{Trainer: c.Param("trainer"), Spec: spec}})
}

func (h *Handler) fetch(ctx context.Context, c *app.RequestContext) {
	after, err := strconv.ParseInt(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		transport.WriteError(c, core.InvalidError("after", c.Query("after"), "a sequence number", "is not a number"))
		return
	}
	h.reply(ctx, c, trainer.Query{Fetch: &trainer.Fetch{Trainer: c.Param("trainer"), Customer: customerOf(c), After: after}})
}

func (h *Handler) acknowledge(ctx context.Context, c *app.RequestContext) {
	var ack trainer.Acknowledgement
	if err := transport.ReadJSON(c, &ack); err != nil {
		transport.WriteError(c, err)
		return
	}
	ack.Customer = customerOf(c)
	h.reply(ctx, c, trainer.Query{Ack: &trainer.Ack{Trainer: c.Param("trainer"), Ack: ack}})
}

func (h *Handler) reply(ctx context.Context, c *app.RequestContext, q trainer.Query) {
	r := h.trainer.Ask(ctx, q)
	if r.Err != nil {
		transport.WriteError(c, r.Err)
		return
	}
	c.JSON(consts.StatusOK, DeliveriesMessage{Deliveries: r.Deliveries})
}

func customerOf(c *app.RequestContext) core.CustomerID {
	return core.CustomerID(c.GetHeader(transport.HeaderCustomer))
}
