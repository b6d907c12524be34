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

// listenerAccess holds the TLS and authentication settings that the listeners share.
type listenerAccess struct {
	tls           *tls.Config             // nil without TLS
	authenticator transport.Authenticator // nil lets every client act as an operator
}

// buildGate builds the gate that requests pass before admission.
func (b *builder) buildGate() error {
	gate := operator.NewGate(b.clock, b.settings.DrainGrace, b.admission, b.status.RecordRequest)
	b.status.SetDrainSource(gate.State)
	b.server.gate, b.server.admission = gate, b.admission
	b.start(b.status.Loop())
	return nil
}

// openListeners opens the listeners for callers and operators, so that the other
// components know their addresses. serveListeners serves them last.
func (b *builder) openListeners() error {
	if err := b.buildAccess(); err != nil {
		return err
	}
	var err error
	b.server.callers, err = transport.Listen(b.settings.CallerAddress, transport.ServerOptions{
		TLS: b.listenerAccess.tls, MaxBodyBytes: b.settings.CallerMaxBody, StreamBodies: true,
	})
	if err != nil {
		return err
	}
	b.server.operator, err = transport.Listen(b.settings.OperatorAddress, transport.ServerOptions{
		TLS: b.listenerAccess.tls, MaxBodyBytes: b.settings.OperatorMaxBody, StreamBodies: true,
	})
	return err
}

// buildAccess loads the token and certificate files and builds the duty that
// reloads them when they change.
func (b *builder) buildAccess() error {
	sources := b.accessFiles()
	if len(sources) == 0 {
		return nil
	}
	for _, source := range sources {
		if err := source.Reload(); err != nil {
			return err
		}
	}
	pool, err := b.pool("files", len(sources))
	if err != nil {
		return err
	}
	files := settings.NewFileReloader(b.clock, b.server.log.WithField("duty", "files"), pool, sources)
	b.start(files.Loop())
	return nil
}

func (b *builder) accessFiles() map[string]settings.Reloader {
	sources := map[string]settings.Reloader{}
	if b.settings.TokenFile != "" {
		tokens := settings.NewTokens(b.settings.TokenFile, b.clock.Now)
		sources[b.settings.TokenFile] = tokens
		b.listenerAccess.authenticator = tokens
	} else {
		b.warnWithoutTokens()
	}
	if b.settings.TLSCertificate != "" {
		certificate := settings.NewCertificate(b.settings.TLSCertificate, b.settings.TLSKey)
		sources[b.settings.TLSCertificate] = certificate
		b.listenerAccess.tls = certificate.ServerConfig()
	}
	return sources
}

// serveListeners serves the listeners. It is the last step, so that no request
// reaches a partly built daemon.
func (b *builder) serveListeners() error {
	if err := b.serveCallers(); err != nil {
		return err
	}
	return b.serveOperators()
}

func (b *builder) warnWithoutTokens() {
	for _, address := range []string{b.settings.CallerAddress, b.settings.OperatorAddress} {
		at, err := netip.ParseAddrPort(address)
		if err == nil && !at.Addr().IsLoopback() {
			b.server.log.WithField("address", address).Warn("no --token-file is set: every client that reaches this address may act as an operator")
		}
	}
}

func (b *builder) serveCallers() error {
	listener := b.server.callers
	router := listener.Router()
	router.Use(
		transport.Authenticate(b.listenerAccess.authenticator),
		transport.LimitBody(b.settings.CallerMaxBody),
	)
	if b.listenerAccess.authenticator != nil {
		router.Use(transport.RequireOwnCustomer())
	}
	callerhttp.NewHandler(front{Gate: b.server.gate, admission: b.admission}).Register(router)
	trainerhttp.NewHandler(b.trainers).Register(router)
	router.NoRoute(transport.NoRoute)
	return b.server.runner.Serve("callers", listener.Serve, listener.Shutdown)
}

func (b *builder) serveOperators() error {
	listener := b.server.operator
	router := listener.Router()
	router.Use(
		transport.Authenticate(b.listenerAccess.authenticator, operatorhttp.PathReady),
		transport.LimitBody(b.settings.OperatorMaxBody),
	)
	contracts := operator.NewContracts(b.store, time.Now, b.server.log.WithField("peer", "operator"))
	operatorhttp.NewHandler(contracts, b.status, b.server.gate, b.metrics).Register(router)
	return b.server.runner.Serve("operators", listener.Serve, listener.Shutdown)
}
