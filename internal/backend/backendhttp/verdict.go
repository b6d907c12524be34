package backendhttp

import (
	"errors"
	"strconv"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// classifyErrorResponse returns the error, with its verdict, of an error
// response. Only the header proves that the server did not start the request.
func classifyErrorResponse(e *transport.ResponseError) *core.Error {
	classified := &core.Error{Code: core.CodeBackendFailure, Verdict: core.MayHaveRun, Reason: "the backend server failed", Err: e, RetryAfter: parseRetryAfter(e)}
	if e.Headers[transport.HeaderRequestStarted] == "false" {
		classified.Code, classified.Verdict, classified.Reason = core.CodeOverloaded, core.NotRun, "the backend server refused the request"
	}
	return classified
}

// parseRetryAfter returns the delay of a Retry-After header in seconds; 0 if it
// is absent or has another form.
func parseRetryAfter(e *transport.ResponseError) time.Duration {
	seconds, err := strconv.Atoi(e.Headers[transport.HeaderRetryAfter])
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Errors that end the reading of an answer.
var (
	errNotNeeded       = errors.New("the answer is no longer needed")
	errLastEvent       = errors.New("last event")
	errOtherRequest    = errors.New("the event belongs to another request")
	errMissingTokens   = errors.New("the stream skips tokens")
	errPartialOverlap  = errors.New("the event overlaps a part of the received tokens")
	errServerAhead     = errors.New("the server reports a position beyond the received tokens")
	errUnknownRequest  = errors.New("the server does not have the request")
	errConnectionIdle  = errors.New("no byte arrived within the idle timeout")
	errServerRestarted = errors.New("the server has restarted")
)
