package deployment

import (
	"context"
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/standin/engine"
	"github.com/berylfall/berylfall/internal/standin/objectapi"
	"github.com/berylfall/berylfall/internal/standin/plain"
	"github.com/berylfall/berylfall/internal/transport"
)

// platformName is the name of the platform stand-in in POST /faults/{name}.
const platformName = "platform"

// allPlainServices selects all plain services in GET /runs/{name}.
const allPlainServices = "all"

// AddressesMessage is the JSON content of the address file.
type AddressesMessage struct {
	Platform string            `json:"platform"`
	Admin    string            `json:"admin"`
	Hosts    map[string]string `json:"hosts"`
}

// RunsMessage is the response to GET /runs/{name}.
type RunsMessage struct {
	Runs []plain.Run `json:"runs"`
}

// CrashesMessage is the response to GET /crashes.
type CrashesMessage struct {
	Crashes int `json:"crashes"` // total of all engines
}

// StateMessage is the body of POST /hosts/{name}.
type StateMessage struct {
	State platform.HostState `json:"state"`
}

// Addresses returns the base URLs of the platform and the admin server and the
// addresses of the backend servers by host name.
func (d *Deployment) Addresses() AddressesMessage {
	m := AddressesMessage{Platform: d.PlatformURL(), Admin: d.AdminURL(), Hosts: map[string]string{}}
	for _, h := range d.hosts {
		m.Hosts[h.Name] = h.Address
	}
	return m
}

func (d *Deployment) startAdmin() error {
	var err error
	d.admin, err = transport.Listen(loopbackAddress, transport.ServerOptions{})
	if err != nil {
		return err
	}
	r := d.admin.Router()
	r.POST("/faults/:name", d.handleFaults)
	r.POST("/hosts/:name", d.handleState)
	r.GET("/runs/:name", d.handleRuns)
	r.GET("/crashes", d.handleCrashes)
	return d.runner.Serve("standin.admin", d.admin.Serve, d.admin.Close)
}

// handleFaults replaces the faults of one stand-in. The body is the stand-in's
// Faults type as JSON.
func (d *Deployment) handleFaults(ctx context.Context, c *app.RequestContext) {
	name := c.Param("name")
	if err := d.setFaults(ctx, name, c.Request.Body()); err != nil {
		transport.WriteError(c, core.InvalidError("body", string(c.Request.Body()), "the faults of "+name+" as JSON", err.Error()))
		return
	}
	c.SetStatusCode(consts.StatusOK)
}

func (d *Deployment) setFaults(ctx context.Context, name string, body []byte) error {
	if name == platformName {
		var f objectapi.Faults
		err := json.Unmarshal(body, &f)
		if err == nil {
			d.api.SetFaults(ctx, f)
		}
		return err
	}
	if e := d.engines[name]; e != nil {
		var f engine.Faults
		err := json.Unmarshal(body, &f)
		if err == nil {
			e.SetFaults(ctx, f)
		}
		return err
	}
	if p := d.plains[name]; p != nil {
		var f plain.Faults
		err := json.Unmarshal(body, &f)
		if err == nil {
			p.SetFaults(ctx, f)
		}
		return err
	}
	return core.NotRunError(core.CodeNotFound, "no stand-in %q", name)
}

func (d *Deployment) handleState(ctx context.Context, c *app.RequestContext) {
	var m StateMessage
	if err := transport.ReadJSON(c, &m); err != nil {
		transport.WriteError(c, err)
		return
	}
	d.SetHostState(ctx, c.Param("name"), m.State)
	c.SetStatusCode(consts.StatusOK)
}

func (d *Deployment) handleRuns(ctx context.Context, c *app.RequestContext) {
	name := c.Param("name")
	m := RunsMessage{Runs: []plain.Run{}}
	for instance, p := range d.plains {
		if name == allPlainServices || name == instance {
			m.Runs = append(m.Runs, p.Runs(ctx)...)
		}
	}
	c.JSON(consts.StatusOK, m)
}

func (d *Deployment) handleCrashes(ctx context.Context, c *app.RequestContext) {
	var m CrashesMessage
	for _, e := range d.engines {
		m.Crashes += e.Counts(ctx).Crashes
	}
	c.JSON(consts.StatusOK, m)
}
