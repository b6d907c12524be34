package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/core"
)

// Names of the HTTP header fields that berylfall reads and writes.
const (
	HeaderVerdict        = "Berylfall-Verdict"
	HeaderCode           = "Berylfall-Code"
	HeaderCustomer       = "Berylfall-Customer"
	HeaderRequestID      = "Berylfall-Request-Id"
	HeaderDeadline       = "Berylfall-Deadline-Ms"
	HeaderClass          = "Berylfall-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
	// HeaderRequestStarted is "false" when a backend server guarantees that it
	// did not start the request that it rejects.
	HeaderRequestStarted = "Request-Started"
)

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error to a client; Verdict says whether the request
// ran.
type ErrorDetail struct {
	Code         core.Code    `json:"code"`
	Verdict      core.Verdict `json:"verdict"`
	Message      string       `json:"message"`
	Field        string       `json:"field,omitempty"`
	Allowed      string       `json:"allowed,omitempty"`
	RetryAfterMs int64        `json:"retryAfterMs,omitempty"`
}

// statusOf maps error codes to HTTP statuses.
var statusOf = map[core.Code]int{
	core.CodeInvalid:        consts.StatusBadRequest,
	core.CodeTooLarge:       consts.StatusRequestEntityTooLarge,
	core.CodeUnauthorized:   consts.StatusUnauthorized,
	core.CodeForbidden:      consts.StatusForbidden,
	core.CodeNotFound:       consts.StatusNotFound,
	core.CodeConflict:       consts.StatusConflict,
	core.CodeNoCapability:   consts.StatusUnprocessableEntity,
	core.CodeLimited:        consts.StatusTooManyRequests,
	core.CodeOverloaded:     consts.StatusServiceUnavailable,
	core.CodeDraining:       consts.StatusServiceUnavailable,
	core.CodeLeaseExpired:   consts.StatusServiceUnavailable,
	core.CodeUnavailable:    consts.StatusServiceUnavailable,
	core.CodeDeadline:       consts.StatusGatewayTimeout,
	core.CodeBackendFailure: consts.StatusBadGateway,
	core.CodeQuarantined:    consts.StatusUnprocessableEntity,
	core.CodeNotContinued:   consts.StatusServiceUnavailable,
	core.CodeCancelled:      499, // the client closed the request
	core.CodeAlreadyStarted: consts.StatusConflict,
}

// Status returns the HTTP status for an error code, and 500 for an unknown code.
func Status(code core.Code) int {
	if status, ok := statusOf[code]; ok {
		return status
	}
	return consts.StatusInternalServerError
}

// NewErrorBody returns the JSON body that describes e.
func NewErrorBody(e *core.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Code:         e.Code,
		Verdict:      e.Verdict,
		Message:      e.Error(),
		Field:        e.Field,
		Allowed:      e.Allowed,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}

// WriteError sends e as the response, with its verdict and code as header fields
// and a Retry-After in seconds, rounded up, if e has one.
func WriteError(c *app.RequestContext, e *core.Error) {
	c.Response.Header.Set(HeaderVerdict, e.Verdict.String())
	c.Response.Header.Set(HeaderCode, string(e.Code))
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		c.Response.Header.Set(HeaderRetryAfter, strconv.Itoa(seconds))
	}
	c.JSON(Status(e.Code), NewErrorBody(e))
}

// ReadJSON decodes the request's body into v. Its error has code CodeInvalid and
// verdict NotRun.
func ReadJSON(c *app.RequestContext, v any) *core.Error {
	if err := json.Unmarshal(c.Request.Body(), v); err != nil {
		return &core.Error{Code: core.CodeInvalid, Verdict: core.NotRun, Field: "body", Reason: "not valid JSON for this request", Err: err}
	}
	return nil
}

// Exchange describes one JSON request to an HTTP server.
type Exchange struct {
	Method  string
	URL     string
	Headers map[string]string
	Body    any // encoded as JSON unless nil
	Timeout time.Duration
	// StallTimeout bounds the time without a byte of the response. Unlike Timeout it does
	// not cut off a response that is large but keeps arriving. 0 takes the read time-out
	// of the pool. Only a Pool observes it.
	StallTimeout time.Duration
}

// ResponseError is a response with an HTTP status of 400 or above.
type ResponseError struct {
	Status  int
	Headers map[string]string // those of errorHeaders that the response has
	Body    []byte
}

// errorHeaders are the header fields that are copied into a ResponseError.
var errorHeaders = []string{HeaderRetryAfter, HeaderRequestStarted, HeaderVerdict, HeaderRequestID}

// Error returns the status and the start of the body.
func (e *ResponseError) Error() string {
	const maxShown = 200 // bytes
	body := e.Body
	if len(body) > maxShown {
		body = body[:maxShown]
	}
	return fmt.Sprintf("HTTP status %d: %s", e.Status, body)
}

// Detail returns the error body, if the server sent one of berylfall's form.
func (e *ResponseError) Detail() (ErrorDetail, bool) {
	var body ErrorBody
	err := json.Unmarshal(e.Body, &body)
	return body.Error, err == nil && body.Error.Code != ""
}

// DoJSON sends the request and decodes the response into out unless out is nil.
// A status of 400 or above is returned as a *ResponseError.
func DoJSON(ctx context.Context, c *client.Client, x Exchange, out any) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	if err := EncodeRequest(req, x); err != nil {
		return err
	}
	var err error
	if x.Timeout > 0 {
		err = c.DoTimeout(ctx, req, resp, x.Timeout)
	} else {
		err = c.Do(ctx, req, resp)
	}
	if err != nil {
		return err
	}
	return decodeResponse(resp, out)
}

// ErrNotDecoded means that the body of a complete response cannot be decoded.
var ErrNotDecoded = errors.New("transport: cannot decode the response body")

// BodyDecoder decodes the body of a response in place of encoding/json, which refuses a
// whole body for one part of it that is malformed or nests too deeply.
type BodyDecoder interface {
	// DecodeBody must not keep the body, which is reused.
	DecodeBody(body []byte) error
}

// decodeResponse decodes a response into out unless out is nil. A status of 400
// or above is returned as a *ResponseError. Any other error wraps ErrNotDecoded.
func decodeResponse(resp *protocol.Response, out any) error {
	if resp.StatusCode() >= consts.StatusBadRequest {
		return NewResponseError(resp)
	}
	if out == nil {
		return nil
	}
	var err error
	if decoder, ok := out.(BodyDecoder); ok {
		err = decoder.DecodeBody(resp.Body())
	} else {
		err = json.Unmarshal(resp.Body(), out)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotDecoded, err)
	}
	return nil
}

// ErrNotEncoded means that the body of a request cannot be encoded as JSON, so
// that nothing was sent.
var ErrNotEncoded = errors.New("transport: cannot encode the request body")

// EncodeRequest fills req from x. Its error wraps ErrNotEncoded.
func EncodeRequest(req *protocol.Request, x Exchange) error {
	req.SetMethod(x.Method)
	req.SetRequestURI(x.URL)
	for name, value := range x.Headers {
		req.Header.Set(name, value)
	}
	if x.Body == nil {
		return nil
	}
	body, err := json.Marshal(x.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotEncoded, err)
	}
	req.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
	req.SetBody(body)
	return nil
}

// NewResponseError copies the status, the header fields of errorHeaders and the
// body of an error response.
func NewResponseError(resp *protocol.Response) *ResponseError {
	e := &ResponseError{Status: resp.StatusCode(), Headers: map[string]string{}}
	for _, name := range errorHeaders {
		if value := resp.Header.Get(name); value != "" {
			e.Headers[name] = value
		}
	}
	e.Body = append(e.Body, resp.Body()...)
	return e
}

// IsDialError reports whether err occurred while the connection was being opened,
// which means that nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
