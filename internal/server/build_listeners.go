package server

import (
	"github.com/berylfall/berylfall/internal/caller/callerhttp"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/operator/operatorhttp"
	"github.com/berylfall/berylfall/internal/trainer/trainerhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

// buildListeners opens the listeners last, so that no request meets a daemon
// that is half built.
func (b *builder) buildListeners() error {
	if err := b.listenForCallers(); err != nil {
		return err
	}
	return b.listenForOperators()
}

func (b *builder) listenForCallers() error {
	listener, err := transport.Listen(b.settings.CallerAddress, transport.ServerOptions{})
	if err != nil {
		return err
	}
	b.server.callers = listener
	callerhttp.NewHandler(b.admission).Register(listener.Router())
	trainerhttp.NewHandler(b.trainers).Register(listener.Router())
	return b.server.runner.Serve("callers", listener.Serve, listener.Shutdown)
}

func (b *builder) listenForOperators() error {
	listener, err := transport.Listen(b.settings.OperatorAddress, transport.ServerOptions{})
	if err != nil {
		return err
	}
	b.server.operator = listener
	operatorhttp.NewHandler(operator.NewContracts(b.store)).Register(listener.Router())
	return b.server.runner.Serve("operators", listener.Serve, listener.Shutdown)
}
