package backendhttp

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// DefaultReadIdleTimeout is how long a connection in use may receive no byte
// before the server is probed over a new connection.
const DefaultReadIdleTimeout = 5 * time.Second

// Options configures a Client. Zero values select the defaults.
type Options struct {
	ReadIdleTimeout time.Duration
	ProbeTimeout    time.Duration // of one probe over a new connection
}

// Client carries out attempts and polls over HTTP.
type Client struct {
	pool         *transport.Pool
	polls        *transport.Pool
	probeTimeout time.Duration
}

var (
	_ backend.Exchanger = (*Client)(nil)
	_ backend.Prober    = (*Client)(nil)

	_ backend.CacheSource = (*Client)(nil)
)

// NewClient returns a client for backend servers.
func NewClient(o Options) *Client {
	if o.ReadIdleTimeout == 0 {
		o.ReadIdleTimeout = DefaultReadIdleTimeout
	}
	if o.ProbeTimeout == 0 {
		o.ProbeTimeout = defaultProbeTimeout
	}
	return &Client{pool: transport.NewPool(o.ReadIdleTimeout), polls: transport.NewPool(o.ReadIdleTimeout).LimitBodies(transport.MaxProbeBodyBytes), probeTimeout: o.ProbeTimeout}
}

// Exchange carries out one attempt and blocks until it has ended.
func (c *Client) Exchange(a backend.Attempt) backend.AttemptEnd {
	started := time.Now()
	end := c.exchange(a)
	end.Attempt = a
	end.Duration = time.Since(started)
	return end
}

func (c *Client) exchange(a backend.Attempt) backend.AttemptEnd {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := encodeRequest(a, req); err != nil {
		return backend.FailedAttempt(core.NotRunError(core.CodeInvalid, "request cannot be encoded: %v", err))
	}
	connection, err := c.connect(a)
	if err != nil {
		end := backend.FailedAttempt(backend.DialError(a.Context, err))
		end.Unreachable = core.ContextCause(a.Context) == nil
		return end
	}
	if err := a.CheckSend(); err != nil {
		connection.Abort()
		return backend.FailedAttempt(err)
	}
	if a.Call.Request.Repeatable {
		connection.AckTimeout = transport.DefaultAckTimeout
	}
	var end backend.AttemptEnd
	c.pool.Use(a.Context, connection, func() (reusable bool) {
		if a.Call.Request.IsModelCall() {
			end, reusable = c.exchangeCompletion(a, connection, req, resp)
		} else {
			end, reusable = c.exchangeOperation(a, connection, req, resp)
		}
		return reusable
	})
	return end
}

// connect returns the connection for an attempt. A call that must not be
// repeated gets a new one: on a kept-alive connection the server's close can
// cross the request, and then nothing proves that the request did not run.
func (c *Client) connect(a backend.Attempt) (*transport.Conn, error) {
	if a.Call.Request.Repeatable {
		return c.pool.Get(a.Context, a.Address)
	}
	return c.pool.Dial(a.Context, a.Address)
}

func encodeRequest(a backend.Attempt, req *protocol.Request) error {
	r := a.Call.Request
	if r.IsModelCall() {
		return transport.EncodeRequest(req, transport.Exchange{
			Method: consts.MethodPost,
			URL:    "http://" + a.Address + PathCompletions,
			Body: CompletionMessage{
				RequestID:    string(r.ID),
				Model:        r.Model,
				Adapter:      r.Adapter,
				Prompt:       r.Prompt,
				MaxTokens:    r.MaxTokens,
				Priority:     r.Class.Rank(),
				ResumeTokens: a.Resume.Tokens,
				Sampling:     r.Sampling,
			},
		})
	}
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + a.Address + PathOperations + r.Operation)
	req.Header.Set(transport.HeaderRequestID, string(r.ID))
	req.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
	if r.IdempotencyKey != "" {
		req.Header.Set(transport.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	req.SetBody(r.Body)
	return nil
}

// exchangeCompletion makes a model call and reads its stream.
func (c *Client) exchangeCompletion(a backend.Attempt, connection *transport.Conn, req *protocol.Request, resp *protocol.Response) (end backend.AttemptEnd, reusable bool) {
	s := newStream(a)
	connection.OnReadTimeout = func() error { return c.checkIdleStream(s, connection) }
	err := connection.Send(a.Context, req)
	if err == nil {
		err = connection.ReadResponseHeader(resp)
	}
	if err == nil && resp.StatusCode() >= consts.StatusBadRequest {
		return c.endWithErrorResponse(a, connection, resp)
	}
	isWhole := false
	if err == nil {
		isWhole, err = s.read(connection, resp)
	}
	if s.finishReason != "" {
		return s.completedAttempt(), isWhole && !resp.ConnectionClose()
	}
	if s.hasAllTokens() && !errors.Is(err, errNotNeeded) {
		s.finishReason = FinishReasonLength
		return s.completedAttempt(), false
	}
	return c.endBrokenStream(s, connection, err), false
}

// endBrokenStream ends an attempt whose stream stopped early. The request
// status of the engine distinguishes a lost last event from an incomplete
// answer.
func (c *Client) endBrokenStream(s *stream, connection *transport.Conn, err error) backend.AttemptEnd {
	end := backend.FailedAttempt(backend.ConnectionError(s.attempt.Context, connection.BytesWritten, err))
	end.Tokens = s.tokens
	end.Endless = transport.IsEndless(err)
	if errors.Is(err, errNotNeeded) && core.ContextCause(s.attempt.Context) == nil {
		end.Err = core.MayHaveRunError(core.CodeCancelled, "another attempt answers the request")
	}
	if connection.BytesWritten == 0 {
		return end
	}
	end.CancelAtServer = true
	if core.ContextCause(s.attempt.Context) != nil || errors.Is(err, errNotNeeded) {
		return end
	}
	if c.closeBrokenPath(s.attempt, err) {
		return end
	}
	c.detectCrash(&end, s.attempt)
	if end.Crashed {
		end.CancelAtServer = false
		return end
	}
	status, known, statusErr := c.requestStatus(s.attempt.Context, s.attempt.Address, s.attempt.Call.Request.ID)
	if statusErr == nil && known && status.State == StateDone && status.FinishReason != "" && status.Position == s.nextPosition {
		s.finishReason = status.FinishReason
		return s.completedAttempt()
	}
	return end
}

// closeBrokenPath closes the idle connections to the server if the exchange failed because
// the network path to it is broken, and reports whether it did. Requests on them would
// wait, as would probes.
func (c *Client) closeBrokenPath(a backend.Attempt, err error) bool {
	if !errors.Is(err, transport.ErrUnacknowledged) {
		return false
	}
	c.pool.CloseIdle(a.Address)
	return true
}

// detectCrash probes the server over a new connection and records whether it
// has crashed.
func (c *Client) detectCrash(end *backend.AttemptEnd, a backend.Attempt) {
	p := c.probe(a.Context, a.Address)
	end.Crashed = p.hasCrashed(a.Incarnation)
	end.Incarnation = p.incarnation
	if end.Crashed {
		c.pool.CloseIdle(a.Address)
	}
}

// exchangeOperation makes a call of a plain service.
func (c *Client) exchangeOperation(a backend.Attempt, connection *transport.Conn, req *protocol.Request, resp *protocol.Response) (end backend.AttemptEnd, reusable bool) {
	periods := 0
	connection.OnReadTimeout = func() error {
		periods++
		return c.checkIdleCall(a, periods)
	}
	if err := connection.RoundTrip(a.Context, req, resp, transport.DefaultMaxBodyBytes); err != nil {
		end = backend.FailedAttempt(backend.ConnectionError(a.Context, connection.BytesWritten, err))
		end.Endless = transport.IsEndless(err)
		if connection.BytesWritten > 0 && core.ContextCause(a.Context) == nil && !c.closeBrokenPath(a, err) {
			c.detectCrash(&end, a)
		}
		return end, false
	}
	if isFailureResponse(resp) {
		return c.endWithErrorResponse(a, connection, resp)
	}
	return backend.AttemptEnd{
		Verdict: core.Ran,
		End: core.End{
			Verdict:     core.Ran,
			Status:      resp.StatusCode(),
			ContentType: string(resp.Header.ContentType()),
			Body:        append([]byte{}, resp.Body()...),
			Server:      a.Server,
		},
	}, !resp.ConnectionClose()
}

// isFailureResponse distinguishes failures of the service from its answers to
// the caller, which may have a 4xx status.
func isFailureResponse(resp *protocol.Response) bool {
	status := resp.StatusCode()
	return status >= consts.StatusInternalServerError ||
		status == consts.StatusTooManyRequests ||
		resp.Header.Get(transport.HeaderRequestStarted) == "false"
}

// endWithErrorResponse ends an attempt that the server answered with an error.
// The body is read only for the error message.
func (c *Client) endWithErrorResponse(a backend.Attempt, connection *transport.Conn, resp *protocol.Response) (end backend.AttemptEnd, reusable bool) {
	readErr := error(nil)
	if a.Call.Request.IsModelCall() {
		readErr = connection.ReadResponseBody(a.Context, resp, transport.MaxProbeBodyBytes)
	}
	return backend.FailedAttempt(classifyErrorResponse(transport.NewResponseError(resp))), readErr == nil && !resp.ConnectionClose()
}

// decodeResponse decodes the answer to a probe into out unless out is nil.
func decodeResponse(resp *protocol.Response, out any) error {
	if resp.StatusCode() >= consts.StatusBadRequest {
		return transport.NewResponseError(resp)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}
