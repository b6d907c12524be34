// Package deployment starts the stand-ins of one deployment: the platform, engines
// and plain services, all in the platform's host list. An admin server sets their
// faults and reports what they did. It makes no decisions of its own; each
// stand-in's duty owns that stand-in's state. If a stand-in fails to start, Start
// stops the others.
package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/standin/engine"
	"github.com/berylfall/berylfall/internal/standin/objectapi"
	"github.com/berylfall/berylfall/internal/standin/plain"
	"github.com/berylfall/berylfall/internal/transport"
)

// loopbackAddress is a listen address with a port that the operating system chooses.
const loopbackAddress = "127.0.0.1:0"

// dutiesPerStandin is the number of duties and listeners of one stand-in.
const dutiesPerStandin = 2

// Spec lists the stand-ins to start.
type Spec struct {
	Engines []EngineSpec `yaml:"engines"`
	Plains  []PlainSpec  `yaml:"plains"`
}

// EngineSpec describes a number of identical engines.
type EngineSpec struct {
	Name        string        `yaml:"name"` // the engines are NAME-1, NAME-2, ...
	Count       int           `yaml:"count"`
	Service     string        `yaml:"service"`
	Kind        string        `yaml:"kind"`
	Model       string        `yaml:"model"`
	Version     int64         `yaml:"version"`
	Adapters    []string      `yaml:"adapters"`
	Slots       int           `yaml:"slots"`
	TokenTime   time.Duration `yaml:"tokenTime"`
	DataCentres []string      `yaml:"dataCentres"` // assigned round-robin
	ChecksFence bool          `yaml:"checksFence"`
}

// PlainSpec describes a number of identical instances of a plain service.
type PlainSpec struct {
	Name        string        `yaml:"name"`
	Count       int           `yaml:"count"`
	Service     string        `yaml:"service"`
	Kind        string        `yaml:"kind"`
	Operations  []string      `yaml:"operations"`
	CallTime    time.Duration `yaml:"callTime"`
	DataCentres []string      `yaml:"dataCentres"`
}

// Deployment is a running set of stand-ins.
type Deployment struct {
	runner  *duty.Runner
	clock   duty.Clock
	api     *objectapi.Server
	engines map[string]*engine.Server
	plains  map[string]*plain.Server
	hosts   []platform.Host
	admin   *transport.Server
}

// Start starts the stand-ins of the spec and fills in the host list. ctx bounds
// the start only.
func Start(ctx context.Context, spec Spec) (*Deployment, error) {
	runner, err := duty.NewRunner(dutiesPerStandin * (spec.size() + 2))
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		runner:  runner,
		clock:   duty.SystemClock{},
		engines: map[string]*engine.Server{},
		plains:  map[string]*plain.Server{},
	}
	if err := d.start(spec); err != nil {
		d.Stop(ctx)
		return nil, err
	}
	d.api.SetHosts(ctx, d.hosts)
	return d, nil
}

func (s Spec) size() int {
	n := 0
	for _, e := range s.Engines {
		n += e.Count
	}
	for _, p := range s.Plains {
		n += p.Count
	}
	return n
}

func (d *Deployment) start(spec Spec) error {
	var err error
	if d.api, err = objectapi.Start(loopbackAddress, d.clock, d.runner); err != nil {
		return err
	}
	for _, e := range spec.Engines {
		if err := d.startEngines(e); err != nil {
			return err
		}
	}
	for _, p := range spec.Plains {
		if err := d.startPlains(p); err != nil {
			return err
		}
	}
	return d.startAdmin()
}

func (d *Deployment) startEngines(spec EngineSpec) error {
	for i := range spec.Count {
		name := fmt.Sprintf("%s-%d", spec.Name, i+1)
		e, err := engine.Start(loopbackAddress, d.clock, d.runner, engine.Options{
			Service:       spec.Service,
			Kind:          spec.Kind,
			Model:         spec.Model,
			Version:       spec.Version,
			Adapters:      spec.Adapters,
			ContextTokens: defaultContextTokens,
			Slots:         spec.Slots,
			TokenTime:     spec.TokenTime,
			ChecksFence:   spec.ChecksFence,
		})
		if err != nil {
			return err
		}
		d.engines[name] = e
		host := backendHost(name, e.Address(), spec.Service, spec.Kind, spec.DataCentres, i)
		host.ChecksFence = spec.ChecksFence
		d.hosts = append(d.hosts, host)
	}
	return nil
}

// defaultContextTokens is the context length of the engines.
const defaultContextTokens = 8192

func (d *Deployment) startPlains(spec PlainSpec) error {
	for i := range spec.Count {
		name := fmt.Sprintf("%s-%d", spec.Name, i+1)
		p, err := plain.Start(loopbackAddress, d.clock, d.runner, plain.Options{
			Service:    spec.Service,
			Kind:       spec.Kind,
			Operations: spec.Operations,
			CallTime:   spec.CallTime,
		})
		if err != nil {
			return err
		}
		d.plains[name] = p
		d.hosts = append(d.hosts, backendHost(name, p.Address(), spec.Service, spec.Kind, spec.DataCentres, i))
	}
	return nil
}

func backendHost(name, address, service, kind string, dataCentres []string, i int) platform.Host {
	host := platform.Host{
		Name:       name,
		Role:       platform.RoleBackend,
		Address:    address,
		State:      platform.HostLive,
		Service:    service,
		ServerKind: kind,
	}
	if len(dataCentres) > 0 {
		host.DataCentre = dataCentres[i%len(dataCentres)]
	}
	return host
}

// PlatformURL returns the base URL of the object API and the host list.
func (d *Deployment) PlatformURL() string { return d.api.URL() }

// AdminURL returns the base URL of the admin server.
func (d *Deployment) AdminURL() string { return "http://" + d.admin.Address() }

// Platform returns the stand-in for the object API.
func (d *Deployment) Platform() *objectapi.Server { return d.api }

// Engine returns the engine with the name, or nil if there is none.
func (d *Deployment) Engine(name string) *engine.Server { return d.engines[name] }

// Plain returns the plain-service instance with the name, or nil if there is none.
func (d *Deployment) Plain(name string) *plain.Server { return d.plains[name] }

// SetHostState changes a host's state in the host list. An unknown name has no
// effect.
func (d *Deployment) SetHostState(ctx context.Context, name string, state platform.HostState) {
	for i := range d.hosts {
		if d.hosts[i].Name == name {
			d.hosts[i].State = state
		}
	}
	d.api.SetHosts(ctx, d.hosts)
}

// Stop stops all stand-ins and waits until they have ended or ctx ends.
func (d *Deployment) Stop(ctx context.Context) { d.runner.Stop(ctx) }
