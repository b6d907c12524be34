// Package operatorhttp encodes operators' requests as HTTP.
package operatorhttp

import (
	"context"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/transport"
)

// ContractMessage is a stored contract.
type ContractMessage struct {
	Version  int64          `json:"version"`
	Revision int64          `json:"revision"`
	Contract *core.Contract `json:"contract,omitempty"`
}

// Handler turns HTTP requests of operators into calls of package operator.
type Handler struct {
	contracts *operator.Contracts
}

// NewHandler returns a handler for the given contracts.
func NewHandler(c *operator.Contracts) *Handler { return &Handler{contracts: c} }

// Register adds the routes for operators.
func (h *Handler) Register(r *route.Engine) {
	r.PUT("/v1/contracts/:customer", h.apply)
}

func (h *Handler) apply(ctx context.Context, c *app.RequestContext) {
	var contract core.Contract
	if err := transport.ReadJSON(c, &contract); err != nil {
		transport.WriteError(c, err)
		return
	}
	ifVersion, err := strconv.ParseInt(c.DefaultQuery("ifVersion", "-1"), 10, 64)
	if err != nil {
		ifVersion = platform.AnyVersion
	}
	stored, err := h.contracts.Apply(ctx, &contract, ifVersion)
	if err != nil {
		transport.WriteError(c, core.AsError(err))
		return
	}
	c.JSON(consts.StatusOK, ContractMessage{Version: stored.Version, Revision: stored.Revision, Contract: stored.Contract})
}
