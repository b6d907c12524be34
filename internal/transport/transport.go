// Package transport provides the HTTP servers, clients and connections that the
// encoding packages share: listening and draining, bearer tokens, body limits,
// error responses, and pooled connections that report whether a request was sent.
// It makes no routing or admission decisions and no duty owns its state: pools
// and counters are safe for concurrent use. A client makes one attempt per
// request and never retries.
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

// Defaults of the server and client options.
const (
	DefaultMaxBodyBytes   = 8 << 20 // bytes of a request body
	DefaultMaxHeaderBytes = 16 << 10
	DefaultReadTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultDialTimeout    = 2 * time.Second
	// MaxIdleDuration is below DefaultIdleTimeout, so that a client closes an
	// idle connection before the server does. Otherwise the server could close
	// it while a request is being sent.
	MaxIdleDuration         = 20 * time.Second
	maxConnectionsPerServer = 4096 // per backend server
	// chunkedSizeFactor is how many times larger than its body a chunked request
	// may be.
	chunkedSizeFactor = 2
)

// ServerOptions configures a server. Zero values select the defaults.
type ServerOptions struct {
	TLS            *tls.Config
	MaxBodyBytes   int           // bytes
	ReadTimeout    time.Duration // of one read of a request
	IdleTimeout    time.Duration // of a connection between two requests
	MaxHeaderBytes int           // bytes
	// StreamBodies passes bodies to the handlers as streams, also those over MaxBodyBytes.
	// They must be read with ReadBody, or with LimitBody, which rejects large ones with a
	// verdict.
	StreamBodies bool
}

// Server is an HTTP server on one listener.
type Server struct {
	hertz    *server.Hertz
	listener net.Listener
	requests *requestCounter
}

// Listen opens a listener on the address, such as "127.0.0.1:0". Connections are
// accepted once Serve is called.
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
		server.WithListener(guardedListener{Listener: listener, maxRequestBytes: o.MaxHeaderBytes + chunkedSizeFactor*o.MaxBodyBytes}),
		server.WithTracer(counter),
		server.WithSenseClientDisconnection(true),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(o.MaxBodyBytes),
		server.WithStreamBody(o.StreamBodies),
		// A body is passed on as it arrived. The library would parse forms, reject those
		// that it cannot read, and return the others written anew.
		server.WithDisablePreParseMultipartForm(true),
		server.WithReadTimeout(o.ReadTimeout),
		server.WithIdleTimeout(o.IdleTimeout),
		server.WithMaxHeaderBytes(o.MaxHeaderBytes),
		server.WithExitWaitTime(0),
		server.WithDisablePrintRoute(true),
	}
	if o.TLS != nil {
		options = append(options, server.WithTLS(o.TLS))
	}
	s := &Server{hertz: server.New(options...), listener: listener, requests: counter}
	s.hertz.Use(counter.handle, rejectAmbiguousFraming)
	return s, nil
}

// Router returns the router. Handlers must be added before Serve is called.
func (s *Server) Router() *route.Engine { return s.hertz.Engine }

// Address returns the listener's host and port, with the port that the operating
// system chose if the requested port was 0.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve handles connections until Shutdown.
func (s *Server) Serve() error { return s.hertz.Run() }

// Drain makes the server send "Connection: close" with each further response.
func (s *Server) Drain() { s.requests.draining.Store(true) }

// WaitIdle blocks until every response has been written or ctx ends, and reports
// whether all have been written.
func (s *Server) WaitIdle(ctx context.Context) bool { return s.requests.waitIdle(ctx) }

// Shutdown stops accepting connections and waits until no request is in flight or
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	err := s.hertz.Shutdown(ctx)
	s.WaitIdle(ctx)
	return err
}

// Close stops accepting connections without waiting for requests in flight.
func (s *Server) Close(ctx context.Context) error { return s.hertz.Shutdown(ctx) }

// ClientOptions configures a client. Zero values select the defaults.
type ClientOptions struct {
	TLS         *tls.Config
	DialTimeout time.Duration
	ReadTimeout time.Duration // of one read of a response; 0 is no time-out
	Stream      bool          // response bodies are read as streams
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

// UseLogger sends the HTTP library's log lines to log at debug level.
func UseLogger(log *logrus.Logger) {
	hlog.SetOutput(log.WriterLevel(logrus.DebugLevel))
}
