// Package server composes a daemon from its settings: it builds the duties, the
// rings and callbacks that connect them, the pools and the listeners, and starts
// and stops them in order. It decides this daemon's share of the slots of backend
// servers and when the daemon competes for leases; all other decisions and their
// state belong to the duties. Duties start after all callbacks between them have
// been set, and listeners serve last. A stop first drains requests, then releases
// leases, and ends the duties after that.
package server

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/transport"
)

// dutyCapacity is the maximum number of duties and listeners of one daemon.
const dutyCapacity = 64

// finalWriteTimeout bounds the wait for calls of the store at a stop, such as the
// release of leases. Without a release the next holder has to wait until the lease
// expires.
const finalWriteTimeout = 500 * time.Millisecond

// Server is a running daemon.
type Server struct {
	log      *logrus.Logger
	runner   *duty.Runner
	pools    []*duty.Pool
	callers  *transport.Server
	operator *transport.Server

	gate          *operator.Gate
	admission     *caller.Admission
	drainGrace    time.Duration
	peerAddress   string
	storePool     *duty.Pool
	leaseReleases []func() // release the leases of the data centre
	stopOnce      sync.Once
	announceLeave func() // announces the stop to the other daemons
}

// Start builds and starts a daemon. On an error it stops what has been started.
func Start(s *settings.Daemon, log *logrus.Logger) (*Server, error) {
	return start(s, log, duty.NewBootClock())
}

// start starts a daemon that measures its leases by leaseClock.
func start(s *settings.Daemon, log *logrus.Logger, leaseClock duty.Clock) (*Server, error) {
	runner, err := duty.NewRunner(dutyCapacity)
	if err != nil {
		return nil, err
	}
	server := &Server{log: log, runner: runner, drainGrace: s.DrainGrace}
	b := &builder{server: server, settings: s, clock: duty.SystemClock{}, leaseClock: leaseClock}
	if err := b.build(); err != nil {
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

// Stop ends the daemon. It first reports that the daemon is not ready and still
// accepts requests for the grace period, so that the load balancer can react; then
// it refuses new requests and waits for those in flight, at most until ctx ends.
// Further calls do nothing.
func (s *Server) Stop(ctx context.Context) { s.stopOnce.Do(func() { s.stop(ctx) }) }

func (s *Server) stop(ctx context.Context) {
	if s.gate != nil {
		s.gate.SetDraining(true)
		time.Sleep(s.drainGrace)
		s.admission.Drain()
		s.announceLeave()
		s.admission.WaitIdle(ctx)
		for _, release := range s.leaseReleases {
			release()
		}
	}
	s.runner.Stop(ctx)
	if s.storePool != nil {
		s.storePool.ReleaseWait(finalWriteTimeout)
	}
	for _, p := range s.pools {
		p.Release()
	}
}
