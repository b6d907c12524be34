// Package server composes a daemon: it builds the duties, the rings between
// them and the encodings, from the settings.
package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/caller/callerhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/operator/operatorhttp"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/trainer"
	"github.com/berylfall/berylfall/internal/trainer/trainerhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

// dutyCapacity is the number of duties and listeners of one daemon.
const dutyCapacity = 64

// Server is a running daemon.
type Server struct {
	log      *logrus.Logger
	runner   *duty.Runner
	pools    []*duty.Pool
	callers  *transport.Server
	operator *transport.Server
}

// Start builds and starts a daemon.
func Start(s *settings.Daemon, log *logrus.Logger) (*Server, error) {
	runner, err := duty.NewRunner(dutyCapacity)
	if err != nil {
		return nil, err
	}
	server := &Server{log: log, runner: runner}
	if err := server.build(s); err != nil {
		server.Stop(context.Background())
		return nil, err
	}
	log.WithFields(logrus.Fields{
		"name": s.Name, "data_centre": s.DataCentre,
		"callers": server.CallerAddress(), "operators": server.OperatorAddress(),
	}).Info("daemon started")
	return server, nil
}

// CallerAddress returns the address for callers and trainers.
func (s *Server) CallerAddress() string { return s.callers.Address() }

// OperatorAddress returns the address for operators.
func (s *Server) OperatorAddress() string { return s.operator.Address() }

// Stop ends the daemon. Requests in flight end first, unless ctx ends.
func (s *Server) Stop(ctx context.Context) {
	s.runner.Stop(ctx)
	for _, p := range s.pools {
		p.Release()
	}
}

func (s *Server) newPool(name string, size int) (*duty.Pool, error) {
	p, err := duty.NewPool(name, size)
	if err == nil {
		s.pools = append(s.pools, p)
	}
	return p, err
}

func (s *Server) build(set *settings.Daemon) error {
	clock := duty.SystemClock{}
	platformClient, err := platformhttp.NewClient(set.PlatformURL, transport.ClientOptions{})
	if err != nil {
		return err
	}
	backendClient, err := backendhttp.NewClient(transport.ClientOptions{})
	if err != nil {
		return err
	}
	exchanges, err := s.newPool("exchanges", set.Exchanges)
	if err != nil {
		return err
	}
	storeCalls, err := s.newPool("store", set.StoreCalls)
	if err != nil {
		return err
	}
	probes, err := s.newPool("probes", probeWorkers)
	if err != nil {
		return err
	}
	samples, err := s.newPool("samples", set.Samples)
	if err != nil {
		return err
	}

	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	store := platform.NewStore(clock, platformClient, storeCalls)
	dispatch := backend.NewDispatch(clock, random, backendClient, exchanges)
	admission := caller.NewAdmission(clock, dispatch)
	trainers := trainer.New(clock, admission, samples, set.Samples)
	config := daemon.NewConfig(clock, s.log.WithField("duty", "config"), admission.SetContracts)
	watcher := platform.NewWatcher(clock, platformClient, storeCalls, daemon.ContractPrefix, config.Deliver)
	poller := backend.NewPoller(clock, hostSource{platformClient}, backendClient, probes, dispatch.SetServers)

	loops := []*duty.Loop{
		store.Loop(), dispatch.Loop(), admission.Loop(), trainers.Loop(),
		config.Loop(), watcher.Loop(), poller.Loop(),
	}
	for _, loop := range loops {
		if err := s.runner.Start(loop); err != nil {
			return err
		}
	}
	return s.listen(set, admission, trainers, operator.NewContracts(store))
}

func (s *Server) listen(set *settings.Daemon, admission core.Submitter, trainers *trainer.Trainer, contracts *operator.Contracts) error {
	var err error
	if s.callers, err = transport.Listen(set.CallerAddress, transport.ServerOptions{}); err != nil {
		return err
	}
	callerhttp.NewHandler(admission).Register(s.callers.Router())
	trainerhttp.NewHandler(trainers).Register(s.callers.Router())
	if s.operator, err = transport.Listen(set.OperatorAddress, transport.ServerOptions{}); err != nil {
		return err
	}
	operatorhttp.NewHandler(contracts).Register(s.operator.Router())
	if err := s.runner.Serve("callers", s.callers.Serve, s.callers.Shutdown); err != nil {
		return err
	}
	return s.runner.Serve("operators", s.operator.Serve, s.operator.Shutdown)
}

// probeWorkers bounds the probes of backend servers at once.
const probeWorkers = 32

// hostSource reads the backend servers from the platform's host list.
type hostSource struct {
	list platform.HostList
}

// BackendHosts returns the listed backend servers.
func (h hostSource) BackendHosts(ctx context.Context) ([]backend.Server, error) {
	hosts, err := h.list.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var servers []backend.Server
	for _, host := range hosts {
		if host.Role != platform.RoleBackend {
			continue
		}
		servers = append(servers, backend.Server{
			ID:         core.ServerID(host.Name),
			Address:    host.Address,
			DataCentre: host.DataCentre,
			Leaving:    host.State == platform.HostLeaving,
		})
	}
	return servers, nil
}
