// Package transport sets up the HTTP servers and clients that the encoding
// packages share. It holds no decisions.
package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/sirupsen/logrus"
)

// Defaults of servers and clients.
const (
	DefaultMaxBodyBytes     = 8 << 20 // bytes of a request body
	DefaultMaxHeaderBytes = 16 << 10
	DefaultReadTimeout = 30 * time.Second
	DefaultIdleTimeout = 60 * time.Second
	DefaultDialTimeout = 2 * time.Second
	// MaxIdleDuration is below DefaultIdleTimeout, so that a client drops an
	// idle connection before the server closes it under a request.
	MaxIdleDuration = 20 * time.Second
	maxConnectionsPerServer    = 4096 // per backend server
)

// ServerOptions changes how a server listens. Zero values take the defaults.
type ServerOptions struct {
	TLS         *tls.Config
	MaxBodyBytes     int           // bytes
	ReadTimeout time.Duration // for one read of a request
	IdleTimeout time.Duration // of a connection between two requests
	MaxHeaderBytes   int           // bytes
	// StreamLargeBodies leaves bodies over MaxBody to the handlers, so that
	// LimitBody can refuse them with a verdict.
	StreamLargeBodies bool
}

// Server is an HTTP server on one listener.
type Server struct {
	hertz    *server.Hertz
	listener net.Listener
	inFlight *requestCounter
}

// Listen opens the address, such as "127.0.0.1:0", without serving yet.
func Listen(address string, o ServerOptions) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	counter := newRequestCounter()
	options := []config.Option{
		server.WithListener(listener),
		server.WithTracer(counter),
		server.WithSenseClientDisconnection(true),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(o.MaxBodyBytes),
		server.WithStreamBody(o.StreamLargeBodies),
		server.WithReadTimeout(o.ReadTimeout),
		server.WithIdleTimeout(o.IdleTimeout),
		server.WithMaxHeaderBytes(o.MaxHeaderBytes),
		server.WithExitWaitTime(0),
		server.WithDisablePrintRoute(true),
	}
	if o.TLS != nil {
		options = append(options, server.WithTLS(o.TLS))
	}
	s := &Server{hertz: server.New(options...), listener: listener, inFlight: counter}
	s.hertz.Use(counter.handle, rejectAmbiguousFraming)
	return s, nil
}

// Router returns the routes, to which handlers are added before Serve.
func (s *Server) Router() *route.Engine { return s.hertz.Engine }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve handles connections until Shutdown.
func (s *Server) Serve() error { return s.hertz.Run() }

// Drain makes the server ask clients to close their connections after their
// next answer.
func (s *Server) Drain() { s.inFlight.draining.Store(true) }

// WaitIdle blocks until every answer has been written or ctx ends, and reports
// whether all were.
func (s *Server) WaitIdle(ctx context.Context) bool { return s.inFlight.wait(ctx) }

// Shutdown stops accepting connections and waits for open requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	err := s.hertz.Shutdown(ctx)
	s.WaitIdle(ctx)
	return err
}

// Close stops accepting connections without waiting for open requests.
func (s *Server) Close(ctx context.Context) error { return s.hertz.Shutdown(ctx) }

// ClientOptions changes how a client connects. Zero values take the defaults.
type ClientOptions struct {
	TLS         *tls.Config
	DialTimeout time.Duration
	ReadTimeout time.Duration // for one read of a response; 0 waits without bound
	Stream      bool          // response bodies are read in pieces
}

// NewClient returns an HTTP client that makes one attempt per request.
func NewClient(o ClientOptions) (*client.Client, error) {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	options := []config.ClientOption{
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(o.DialTimeout),
		client.WithMaxConnsPerHost(maxConnectionsPerServer),
		client.WithMaxIdleConnDuration(MaxIdleDuration),
		client.WithResponseBodyStream(o.Stream),
		client.WithNoDefaultUserAgentHeader(true),
	}
	if o.ReadTimeout > 0 {
		options = append(options, client.WithClientReadTimeout(o.ReadTimeout))
	}
	if o.TLS != nil {
		options = append(options, client.WithTLSConfig(o.TLS))
	}
	c, err := client.NewClient(options...)
	if err != nil {
		return nil, fmt.Errorf("create HTTP client: %w", err)
	}
	return c, nil
}

// The HTTP library logs each start and stop at info level by default.
func init() { hlog.SetLevel(hlog.LevelWarn) }

// UseLogger sends the HTTP library's own log lines to log.
func UseLogger(log *logrus.Logger) {
	hlog.SetOutput(log.WriterLevel(logrus.DebugLevel))
}
