// Package operatorhttp serves the operator API over HTTP. It checks which principal
// may use a route and converts between HTTP messages and calls of package operator,
// which makes all other decisions. It owns no state and runs no duty; handlers run
// on the HTTP server's goroutines and wait for duties there.
package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/transport"
)

// Paths of the operator API.
const (
	PathContracts = "/v1/contracts"
	PathStatus    = "/v1/status"
	PathReady     = "/v1/ready"
	PathBurn      = "/v1/burn"
	PathDrain     = "/v1/drain"
	PathRequests  = "/v1/requests"
	PathMetrics   = "/metrics"
)

// Query parameters of requests that change a contract.
const (
	QueryIfVersion = "ifVersion"
	QueryDryRun    = "dryRun"
)

// ContractMessage is the JSON form of a stored contract or of a change to it.
type ContractMessage struct {
	Customer core.CustomerID `json:"customer"`
	Version  int64           `json:"version"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
	DryRun   bool            `json:"dryRun,omitempty"`
	Warning  string          `json:"warning,omitempty"`
	Contract *core.Contract  `json:"contract,omitempty"`
}

// ContractListMessage is the JSON form of the list of all stored contracts.
type ContractListMessage struct {
	Contracts []ContractMessage `json:"contracts"`
}

// DrainMessage is the body of a request that starts a drain, or ends it if Drain is
// false.
type DrainMessage struct {
	Drain bool `json:"drain"`
}

// Metrics writes all metrics in the Prometheus text format.
type Metrics interface {
	WriteText(out io.Writer) error
}

// Handler serves the routes of the operator API.
type Handler struct {
	contracts *operator.Contracts
	status    *operator.Status
	gate      *operator.Gate
	metrics   Metrics
}

// NewHandler returns a handler that calls the given components.
func NewHandler(c *operator.Contracts, s *operator.Status, g *operator.Gate, m Metrics) *Handler {
	return &Handler{contracts: c, status: s, gate: g, metrics: m}
}

// Register adds the routes of the operator API. The engine must authenticate
// requests before they reach the handlers.
func (h *Handler) Register(r *route.Engine) {
	r.GET(PathContracts, requireOperator, h.listContracts)
	r.GET(PathContracts+"/:customer", requireCustomerAccess, h.getContract)
	r.PUT(PathContracts+"/:customer", requireOperator, h.applyContract)
	r.DELETE(PathContracts+"/:customer", requireOperator, h.deleteContract)
	r.GET(PathContracts+"/:customer/history", requireCustomerAccess, h.getHistory)
	r.GET(PathStatus, requireOperator, h.getStatus)
	r.GET(PathReady, h.getReady)
	r.GET(PathBurn, h.getBurn)
	r.POST(PathDrain, requireOperator, h.setDrain)
	r.GET(PathRequests+"/:id", h.getRequest)
	r.GET(PathMetrics, requireOperator, h.getMetrics)
	r.NoRoute(transport.NoRoute)
}

func requireOperator(ctx context.Context, c *app.RequestContext) {
	abortIfRejected(ctx, c, transport.PrincipalOf(c).CheckOperator())
}

func requireCustomerAccess(ctx context.Context, c *app.RequestContext) {
	abortIfRejected(ctx, c, transport.PrincipalOf(c).CheckCustomer(customerParam(c)))
}

func abortIfRejected(ctx context.Context, c *app.RequestContext, refusal *core.Error) {
	if refusal != nil {
		transport.WriteError(c, refusal)
		c.Abort()
		return
	}
	c.Next(ctx)
}

func customerParam(c *app.RequestContext) core.CustomerID {
	return core.CustomerID(c.Param("customer"))
}

func (h *Handler) listContracts(ctx context.Context, c *app.RequestContext) {
	stored, err := h.contracts.List(ctx)
	if writeIfError(c, err) {
		return
	}
	message := ContractListMessage{Contracts: []ContractMessage{}}
	for _, s := range stored {
		message.Contracts = append(message.Contracts, newContractMessage(operator.ContractChange{Stored: s}))
	}
	c.JSON(consts.StatusOK, message)
}

func (h *Handler) getContract(ctx context.Context, c *app.RequestContext) {
	stored, err := h.contracts.Get(ctx, customerParam(c))
	if writeIfError(c, err) {
		return
	}
	c.JSON(consts.StatusOK, newContractMessage(operator.ContractChange{Stored: stored}))
}

func (h *Handler) applyContract(ctx context.Context, c *app.RequestContext) {
	contract, refusal := readContract(c)
	if refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	ifVersion, refusal := parseIfVersion(c)
	if refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	dryRun, refusal := parseDryRun(c)
	if refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	var change operator.ContractChange
	var err error
	if dryRun {
		change, err = h.contracts.DryRun(ctx, contract, ifVersion)
	} else {
		change, err = h.contracts.Apply(ctx, transport.PrincipalOf(c).Name, contract, ifVersion)
	}
	if writeIfError(c, err) {
		return
	}
	c.JSON(consts.StatusOK, newContractMessage(change))
}

// readContract parses the body with the strict parser for contract files, since JSON
// is a subset of YAML.
func readContract(c *app.RequestContext) (*core.Contract, *core.Error) {
	if !json.Valid(c.Request.Body()) {
		return nil, core.InvalidError("body", "", "one contract as JSON", "is not valid JSON")
	}
	contract, err := operator.ParseContract("body", c.Request.Body())
	var problems operator.Problems
	if errors.As(err, &problems) {
		return nil, operator.InvalidContract(problems)
	}
	if pathCustomer := customerParam(c); contract.Customer != pathCustomer {
		return nil, core.InvalidError("customer", string(contract.Customer), string(pathCustomer)+", as in the path", "names another customer")
	}
	return contract, nil
}

// parseIfVersion rejects an invalid version instead of treating it as "any version",
// which would overwrite a change that the operator has not seen.
func parseIfVersion(c *app.RequestContext) (int64, *core.Error) {
	text, given := c.GetQuery(QueryIfVersion)
	if !given {
		return platform.AnyVersion, nil
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < platform.AnyVersion {
		return 0, core.InvalidError(QueryIfVersion, text, "a version, 0 for a new contract, -1 for any version", "is not a version")
	}
	return version, nil
}

func parseDryRun(c *app.RequestContext) (bool, *core.Error) {
	text, given := c.GetQuery(QueryDryRun)
	if !given {
		return false, nil
	}
	dryRun, err := strconv.ParseBool(text)
	if err != nil {
		return false, core.InvalidError(QueryDryRun, text, "true, false", "is not a boolean")
	}
	return dryRun, nil
}

func (h *Handler) deleteContract(ctx context.Context, c *app.RequestContext) {
	ifVersion, refusal := parseIfVersion(c)
	if refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	change, err := h.contracts.Delete(ctx, transport.PrincipalOf(c).Name, customerParam(c), ifVersion)
	if writeIfError(c, err) {
		return
	}
	c.JSON(consts.StatusOK, newContractMessage(change))
}

func (h *Handler) getHistory(ctx context.Context, c *app.RequestContext) {
	history, err := h.contracts.History(ctx, customerParam(c))
	if writeIfError(c, err) {
		return
	}
	c.JSON(consts.StatusOK, history)
}

func (h *Handler) getStatus(ctx context.Context, c *app.RequestContext) {
	report, err := h.status.Report(ctx)
	if writeIfError(c, err) {
		return
	}
	c.JSON(consts.StatusOK, report)
}

// getReady answers load balancers. It requires no token, so it returns nothing but
// readiness.
func (h *Handler) getReady(_ context.Context, c *app.RequestContext) {
	if h.gate.State().Draining {
		transport.WriteError(c, core.NotRunError(core.CodeDraining, "the daemon is draining"))
		return
	}
	c.JSON(consts.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (h *Handler) getBurn(ctx context.Context, c *app.RequestContext) {
	report, err := h.status.Burn(ctx)
	if writeIfError(c, err) {
		return
	}
	principal := transport.PrincipalOf(c)
	visible := []operator.ObjectiveBurn{}
	for _, o := range report.Objectives {
		if principal.CheckCustomer(o.Customer) == nil {
			visible = append(visible, o)
		}
	}
	report.Objectives = visible
	c.JSON(consts.StatusOK, report)
}

func (h *Handler) setDrain(_ context.Context, c *app.RequestContext) {
	var message DrainMessage
	if refusal := transport.ReadJSON(c, &message); refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	h.gate.SetDraining(message.Drain)
	c.JSON(consts.StatusOK, h.gate.State())
}

func (h *Handler) getRequest(ctx context.Context, c *app.RequestContext) {
	id := core.RequestID(c.Param("id"))
	record, err := h.status.Explain(ctx, id)
	if err == nil && transport.PrincipalOf(c).CheckCustomer(record.Customer) != nil {
		// The error must not reveal which requests other customers sent.
		err = operator.RequestNotFound(id)
	}
	if writeIfError(c, err) {
		return
	}
	c.JSON(consts.StatusOK, record)
}

func (h *Handler) getMetrics(_ context.Context, c *app.RequestContext) {
	var text bytes.Buffer
	if writeIfError(c, h.metrics.WriteText(&text)) {
		return
	}
	c.Data(consts.StatusOK, "text/plain; version=0.0.4; charset=utf-8", text.Bytes())
}

func writeIfError(c *app.RequestContext, err error) bool {
	if err == nil {
		return false
	}
	transport.WriteError(c, core.AsError(err))
	return true
}

func newContractMessage(change operator.ContractChange) ContractMessage {
	s := change.Stored
	return ContractMessage{
		Customer: s.Customer, Version: s.Version, Revision: s.Revision, Deleted: s.Deleted,
		DryRun: change.DryRun, Warning: change.Warning, Contract: s.Contract,
	}
}
