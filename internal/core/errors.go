package core

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Code classifies an error for programs.
type Code string

// Codes of errors that reach callers. docs/api.md maps them to HTTP statuses.
const (
	CodeInvalid        Code = "invalid"         // the request or setting is malformed
	CodeTooLarge       Code = "too-large"       // the body is over the limit
	CodeUnauthorized   Code = "unauthorized"    // no valid credentials
	CodeForbidden      Code = "forbidden"       // valid credentials for another customer
	CodeNotFound       Code = "not-found"       // no such customer, service, object or request
	CodeConflict       Code = "conflict"        // the object changed, or the key was used for other content
	CodeNoCapability   Code = "no-capability"   // no backend server can run the request
	CodeLimited        Code = "limited"         // a limit of the contract is reached
	CodeOverloaded     Code = "overloaded"      // a queue or ring is full
	CodeDraining       Code = "draining"        // the daemon is stopping
	CodeUnavailable    Code = "unavailable"     // the store or every backend server is unreachable
	CodeDeadline       Code = "deadline"        // the deadline passed
	CodeBackendFailure Code = "broken"          // the backend server or its connection failed
	CodeQuarantined    Code = "quarantined"     // the request is rejected because it crashes backend servers
	CodeCancelled      Code = "cancelled"       // the caller cancelled the request or disconnected
	CodeAlreadyStarted Code = "already-started" // an earlier attempt under the same key may have run
	CodeNotContinued   Code = "not-continued"   // no backend server can continue the answer that has begun
	CodeLeaseExpired   Code = "lease-expired"   // the right to send the request was not confirmed recently
	CodeInternal       Code = "internal"        // an internal error of berylfall
)

// Error is the error type passed between packages. Verdict says whether the
// request may have run; for errors that concern no request it is NotRun.
type Error struct {
	Code       Code
	Verdict    Verdict
	Reason     string        // human-readable description
	Field      string        // the invalid field, flag or header, if any
	Value      string        // the value found in Field
	Allowed    string        // what Field may hold
	RetryAfter time.Duration // delay before a retry; 0 means that a retry does not help or needs no delay
	Err        error         // the cause, if any
}

// Error returns the field, reason, value, allowed values and cause as one line.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Field != "" {
		fmt.Fprintf(&b, "%s: ", e.Field)
	}
	b.WriteString(e.Reason)
	if e.Value != "" {
		fmt.Fprintf(&b, " (got %q", e.Value)
		if e.Allowed != "" {
			fmt.Fprintf(&b, ", allowed: %s", e.Allowed)
		}
		b.WriteString(")")
	} else if e.Allowed != "" {
		fmt.Fprintf(&b, " (allowed: %s)", e.Allowed)
	}
	if e.Err != nil {
		fmt.Fprintf(&b, ": %v", e.Err)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRunError returns an error for a request that was rejected before any
// backend server started it.
func NotRunError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: NotRun, Reason: fmt.Sprintf(format, args...)}
}

// MayHaveRunError returns an error for a request that a backend server may have started.
func MayHaveRunError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: MayHaveRun, Reason: fmt.Sprintf(format, args...)}
}

// InvalidError returns an error for a field with a value that is not allowed.
func InvalidError(field, value, allowed, reason string) *Error {
	return &Error{Code: CodeInvalid, Verdict: NotRun, Reason: reason, Field: field, Value: value, Allowed: allowed}
}

// AsError returns err as an *Error. Other errors become CodeInternal with
// verdict MayHaveRun, since they do not say whether the request ran.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Verdict: MayHaveRun, Reason: err.Error()}
}

// CodeOf returns the code of err, or CodeInternal.
func CodeOf(err error) Code { return AsError(err).Code }
