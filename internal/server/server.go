// Package server composes a daemon: it builds the duties, the rings between
// them and the encodings, from the settings.
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

// dutyCapacity is the number of duties and listeners of one daemon.
const dutyCapacity = 64

// lastWrites bounds the wait for calls of the store at a stop, such as the
// release of leases. Without a release the next holder waits for the lease to
// lapse.
const lastWrites = 500 * time.Millisecond

// Server is a running daemon.
type Server struct {
	log      *logrus.Logger
	runner   *duty.Runner
	pools    []*duty.Pool
	callers  *transport.Server
	operator *transport.Server

	gate        *operator.Gate
	admission   *caller.Admission
	drainGrace  time.Duration
	peerAddress string
	storePool   *duty.Pool
	leases      []func() // release the leases of the data centre
	stopped     sync.Once
	leave       func() // tells the other daemons that this one stops
}

// Start builds and starts a daemon.
func Start(s *settings.Daemon, log *logrus.Logger) (*Server, error) {
	runner, err := duty.NewRunner(dutyCapacity)
	if err != nil {
		return nil, err
	}
	server := &Server{log: log, runner: runner, drainGrace: s.DrainGrace}
	b := &builder{server: server, settings: s, clock: duty.SystemClock{}}
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

// Stop ends the daemon. It first reports that it is not ready and takes requests
// for the grace period, so that the load balancer can follow; then it refuses new
// requests and lets those in flight end, unless ctx ends first.
// Further calls do nothing.
func (s *Server) Stop(ctx context.Context) { s.stopped.Do(func() { s.stop(ctx) }) }

func (s *Server) stop(ctx context.Context) {
	if s.gate != nil {
		s.gate.SetDraining(true)
		time.Sleep(s.drainGrace)
		s.admission.Drain()
		s.leave()
		s.admission.WaitIdle(ctx)
		for _, release := range s.leases {
			release()
		}
	}
	s.runner.Stop(ctx)
	if s.storePool != nil {
		s.storePool.ReleaseWait(lastWrites)
	}
	for _, p := range s.pools {
		p.Release()
	}
}
