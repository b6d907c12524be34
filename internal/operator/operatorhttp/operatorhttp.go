// Package operatorhttp encodes operators' requests as HTTP.
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

// Query parameters of changes.
const (
	QueryIfVersion = "ifVersion"
	QueryDryRun    = "dryRun"
)

// ContractMessage is a stored contract.
type ContractMessage struct {
	Customer core.CustomerID `json:"customer"`
	Version  int64           `json:"version"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
	DryRun   bool            `json:"dryRun,omitempty"`
	Warning  string          `json:"warning,omitempty"`
	Contract *core.Contract  `json:"contract,omitempty"`
}

// ListMessage is every stored contract.
type ListMessage struct {
	Contracts []ContractMessage `json:"contracts"`
}

// DrainMessage starts a drain, or with false ends it.
type DrainMessage struct {
	Drain bool `json:"drain"`
}

// Metrics writes the metrics in the text format of scrapers.
type Metrics interface {
	WriteText(out io.Writer) error
}

// Handler turns HTTP requests of operators into calls of package operator.
type Handler struct {
	contracts *operator.Contracts
	status    *operator.Status
	gate      *operator.Gate
	metrics   Metrics
}

// NewHandler returns a handler for the given parts.
func NewHandler(c *operator.Contracts, s *operator.Status, g *operator.Gate, m Metrics) *Handler {
	return &Handler{contracts: c, status: s, gate: g, metrics: m}
}

// Register adds the routes for operators. The router must authenticate.
func (h *Handler) Register(r *route.Engine) {
	r.GET(PathContracts, operatorsOnly, h.list)
	r.GET(PathContracts+"/:customer", ownCustomer, h.get)
	r.PUT(PathContracts+"/:customer", operatorsOnly, h.apply)
	r.DELETE(PathContracts+"/:customer", operatorsOnly, h.remove)
	r.GET(PathContracts+"/:customer/history", ownCustomer, h.history)
	r.GET(PathStatus, operatorsOnly, h.report)
	r.GET(PathReady, h.ready)
	r.GET(PathBurn, h.burn)
	r.POST(PathDrain, operatorsOnly, h.drain)
	r.GET(PathRequests+"/:id", h.explain)
	r.GET(PathMetrics, operatorsOnly, h.scrape)
	r.NoRoute(transport.NoRoute)
}

func operatorsOnly(ctx context.Context, c *app.RequestContext) {
	abortOn(ctx, c, transport.PrincipalOf(c).CheckOperator())
}

func ownCustomer(ctx context.Context, c *app.RequestContext) {
	abortOn(ctx, c, transport.PrincipalOf(c).CheckCustomer(customerOf(c)))
}

func abortOn(ctx context.Context, c *app.RequestContext, refusal *core.Error) {
	if refusal != nil {
		transport.WriteError(c, refusal)
		c.Abort()
		return
	}
	c.Next(ctx)
}

func customerOf(c *app.RequestContext) core.CustomerID {
	return core.CustomerID(c.Param("customer"))
}

func (h *Handler) list(ctx context.Context, c *app.RequestContext) {
	stored, err := h.contracts.List(ctx)
	if failed(c, err) {
		return
	}
	message := ListMessage{Contracts: []ContractMessage{}}
	for _, s := range stored {
		message.Contracts = append(message.Contracts, newContractMessage(operator.ContractChange{Stored: s}))
	}
	c.JSON(consts.StatusOK, message)
}

func (h *Handler) get(ctx context.Context, c *app.RequestContext) {
	stored, err := h.contracts.Get(ctx, customerOf(c))
	if failed(c, err) {
		return
	}
	c.JSON(consts.StatusOK, newContractMessage(operator.ContractChange{Stored: stored}))
}

func (h *Handler) apply(ctx context.Context, c *app.RequestContext) {
	contract, refusal := readContract(c)
	if refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	ifVersion, refusal := ifVersionOf(c)
	if refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	dryRun, refusal := dryRunOf(c)
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
	if failed(c, err) {
		return
	}
	c.JSON(consts.StatusOK, newContractMessage(change))
}

// readContract uses the strict reader of contract files, since JSON is YAML.
func readContract(c *app.RequestContext) (*core.Contract, *core.Error) {
	if !json.Valid(c.Request.Body()) {
		return nil, core.InvalidError("body", "", "one contract as JSON", "is not valid JSON")
	}
	contract, err := operator.ParseContract("body", c.Request.Body())
	var problems operator.Problems
	if errors.As(err, &problems) {
		return nil, operator.InvalidContract(problems)
	}
	if named := customerOf(c); contract.Customer != named {
		return nil, core.InvalidError("customer", string(contract.Customer), string(named)+", as in the path", "names another customer")
	}
	return contract, nil
}

// ifVersionOf refuses what it cannot read: taking it for "any version" would
// overwrite a change that the operator has not seen.
func ifVersionOf(c *app.RequestContext) (int64, *core.Error) {
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

func dryRunOf(c *app.RequestContext) (bool, *core.Error) {
	text, given := c.GetQuery(QueryDryRun)
	if !given {
		return false, nil
	}
	dryRun, err := strconv.ParseBool(text)
	if err != nil {
		return false, core.InvalidError(QueryDryRun, text, "true, false", "is not a truth value")
	}
	return dryRun, nil
}

func (h *Handler) remove(ctx context.Context, c *app.RequestContext) {
	ifVersion, refusal := ifVersionOf(c)
	if refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	change, err := h.contracts.Delete(ctx, transport.PrincipalOf(c).Name, customerOf(c), ifVersion)
	if failed(c, err) {
		return
	}
	c.JSON(consts.StatusOK, newContractMessage(change))
}

func (h *Handler) history(ctx context.Context, c *app.RequestContext) {
	history, err := h.contracts.History(ctx, customerOf(c))
	if failed(c, err) {
		return
	}
	c.JSON(consts.StatusOK, history)
}

func (h *Handler) report(ctx context.Context, c *app.RequestContext) {
	report, err := h.status.Report(ctx)
	if failed(c, err) {
		return
	}
	c.JSON(consts.StatusOK, report)
}

// ready answers load balancers, so it needs no token and says little.
func (h *Handler) ready(_ context.Context, c *app.RequestContext) {
	if h.gate.State().Draining {
		transport.WriteError(c, core.NotRunError(core.CodeDraining, "the daemon is draining"))
		return
	}
	c.JSON(consts.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (h *Handler) burn(ctx context.Context, c *app.RequestContext) {
	report, err := h.status.Burn(ctx)
	if failed(c, err) {
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

func (h *Handler) drain(_ context.Context, c *app.RequestContext) {
	var message DrainMessage
	if refusal := transport.ReadJSON(c, &message); refusal != nil {
		transport.WriteError(c, refusal)
		return
	}
	h.gate.SetDraining(message.Drain)
	c.JSON(consts.StatusOK, h.gate.State())
}

func (h *Handler) explain(ctx context.Context, c *app.RequestContext) {
	id := core.RequestID(c.Param("id"))
	record, err := h.status.Explain(ctx, id)
	if err == nil && transport.PrincipalOf(c).CheckCustomer(record.Customer) != nil {
		// A caller must not learn which requests other customers sent.
		err = operator.RequestNotFound(id)
	}
	if failed(c, err) {
		return
	}
	c.JSON(consts.StatusOK, record)
}

func (h *Handler) scrape(_ context.Context, c *app.RequestContext) {
	var text bytes.Buffer
	if failed(c, h.metrics.WriteText(&text)) {
		return
	}
	c.Data(consts.StatusOK, "text/plain; version=0.0.4; charset=utf-8", text.Bytes())
}

func failed(c *app.RequestContext, err error) bool {
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
