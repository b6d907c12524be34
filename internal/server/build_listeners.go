package server

import (
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/berylfall/berylfall/internal/caller/callerhttp"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/operator/operatorhttp"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/trainer/trainerhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

// listenerAccess is what the listeners share: who may connect and how.
type listenerAccess struct {
	tls           *tls.Config             // nil without TLS
	authenticator transport.Authenticator // nil lets every client act as an operator
}

// buildListeners opens the listeners last, so that no request meets a daemon
// that is half built.
func (b *builder) buildListeners() error {
	access, err := b.buildAccess()
	if err != nil {
		return err
	}
	gate := operator.NewGate(b.clock, b.settings.DrainGrace, b.admission, b.status.AddEnd)
	b.status.UseDrain(gate.State)
	b.server.gate, b.server.admission = gate, b.admission
	if err := b.start(b.status.Loop()); err != nil {
		return err
	}
	if err := b.listenForCallers(access, gate); err != nil {
		return err
	}
	return b.listenForOperators(access, gate)
}

// buildAccess reads the files of tokens and certificates and starts the duty
// that reads them again when they change.
func (b *builder) buildAccess() (listenerAccess, error) {
	var access listenerAccess
	sources := map[string]settings.Reloader{}
	if b.settings.TokenFile != "" {
		tokens := settings.NewTokens(b.settings.TokenFile, b.clock.Now)
		sources[b.settings.TokenFile] = tokens
		access.authenticator = tokens
	} else {
		b.warnWithoutTokens()
	}
	if b.settings.TLSCertificate != "" {
		certificate := settings.NewCertificate(b.settings.TLSCertificate, b.settings.TLSKey)
		sources[b.settings.TLSCertificate] = certificate
		access.tls = certificate.ServerConfig()
	}
	if len(sources) == 0 {
		return access, nil
	}
	for _, source := range sources {
		if err := source.Reload(); err != nil {
			return access, err
		}
	}
	pool, err := b.pool("files", len(sources))
	if err != nil {
		return access, err
	}
	files := settings.NewFiles(b.clock, b.server.log.WithField("duty", "files"), pool, sources)
	return access, b.start(files.Loop())
}

func (b *builder) warnWithoutTokens() {
	for _, address := range []string{b.settings.CallerAddress, b.settings.OperatorAddress} {
		at, err := netip.ParseAddrPort(address)
		if err == nil && !at.Addr().IsLoopback() {
			b.server.log.WithField("address", address).Warn("no --token-file is set: every client that reaches this address may act as an operator")
		}
	}
}

func (b *builder) listenForCallers(access listenerAccess, gate *operator.Gate) error {
	listener, err := transport.Listen(b.settings.CallerAddress, transport.ServerOptions{
		TLS: access.tls, MaxBody: b.settings.CallerMaxBody, StreamBody: true,
	})
	if err != nil {
		return err
	}
	b.server.callers = listener
	router := listener.Router()
	router.Use(
		transport.Authenticate(access.authenticator),
		transport.LimitBody(b.settings.CallerMaxBody),
	)
	if access.authenticator != nil {
		router.Use(transport.OwnCustomer())
	}
	callerhttp.NewHandler(front{Gate: gate, admission: b.admission}).Register(router)
	trainerhttp.NewHandler(b.trainers).Register(router)
	router.NoRoute(transport.NoRoute)
	return b.server.runner.Serve("callers", listener.Serve, listener.Shutdown)
}

func (b *builder) listenForOperators(access listenerAccess, gate *operator.Gate) error {
	listener, err := transport.Listen(b.settings.OperatorAddress, transport.ServerOptions{
		TLS: access.tls, MaxBody: b.settings.OperatorMaxBody, StreamBody: true,
	})
	if err != nil {
		return err
	}
	b.server.operator = listener
	router := listener.Router()
	router.Use(
		transport.Authenticate(access.authenticator, operatorhttp.PathReady),
		transport.LimitBody(b.settings.OperatorMaxBody),
	)
	contracts := operator.NewContracts(b.store, time.Now, b.server.log.WithField("peer", "operator"))
	operatorhttp.NewHandler(contracts, b.status, gate, b.metrics).Register(router)
	return b.server.runner.Serve("operators", listener.Serve, listener.Shutdown)
}
