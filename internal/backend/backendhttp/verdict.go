package backendhttp

import (
	"errors"
	"strconv"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// classifyRefusal gives the verdict of an error answer. Only the header proves
// that the server did not start the request.
func classifyRefusal(e *transport.ResponseError) *core.Error {
	refusal := &core.Error{Code: core.CodeBackendFailure, Verdict: core.MayHaveRun, Reason: "the backend server failed", Err: e, RetryAfter: retryAfter(e)}
	if e.Headers[transport.HeaderRequestStarted] == "false" {
		refusal.Code, refusal.Verdict, refusal.Reason = core.CodeOverloaded, core.NotRun, "the backend server refused the request"
	}
	return refusal
}

// retryAfter reads the header in its form of whole seconds.
func retryAfter(e *transport.ResponseError) time.Duration {
	seconds, err := strconv.Atoi(e.Headers[transport.HeaderRetryAfter])
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Errors that end a read.
var (
	errNotWanted = errors.New("the answer is no longer wanted")
	errLastEvent = errors.New("last event")
	errCrossed   = errors.New("the server sent the answer to another request")
	errGap       = errors.New("tokens are missing")
	errOverlap   = errors.New("an event repeats only a part of the answer")
	errBehind    = errors.New("the server is ahead of what arrived")
	errUnknown   = errors.New("the server does not know the request")
	errSilent    = errors.New("the connection is silent")
	errRestarted = errors.New("the server has restarted")
)
