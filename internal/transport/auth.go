package transport

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/berylfall/berylfall/internal/core"
)

// Authenticator returns the principal that a bearer token was issued to.
type Authenticator interface {
	Authenticate(token string) (core.Principal, *core.Error)
}

const (
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
	principalKey        = "berylfall.principal"
)

// Authenticate rejects requests without a valid bearer token and stores the
// principal for PrincipalOf. With a nil authenticator every client has the role of
// an operator. Requests for the public paths need no token.
func Authenticate(a Authenticator, publicPaths ...string) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if isPublicPath(string(c.Path()), publicPaths) {
			c.Next(ctx)
			return
		}
		principal, err := authenticate(a, string(c.GetHeader(headerAuthorization)))
		if err != nil {
			c.Response.Header.Set("WWW-Authenticate", "Bearer")
			abortWithError(c, err)
			return
		}
		c.Set(principalKey, principal)
		c.Next(ctx)
	}
}

func isPublicPath(path string, publicPaths []string) bool {
	for _, p := range publicPaths {
		if p == path {
			return true
		}
	}
	return false
}

func authenticate(a Authenticator, header string) (core.Principal, *core.Error) {
	if a == nil {
		return core.Principal{Name: "anonymous", Role: core.RoleOperator}, nil
	}
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return core.Principal{}, core.NotRunError(core.CodeUnauthorized, "the request carries no bearer token")
	}
	return a.Authenticate(header[len(bearerPrefix):])
}

// PrincipalOf returns the principal that Authenticate stored. Without one it
// returns the zero principal, which has no permissions.
func PrincipalOf(c *app.RequestContext) core.Principal {
	p, _ := c.Value(principalKey).(core.Principal)
	return p
}

// RequireOwnCustomer rejects requests whose customer header names a customer for
// which the principal may not act. For a caller that names none, it sets the
// header to the caller's own customer.
func RequireOwnCustomer() app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		principal := PrincipalOf(c)
		requested := string(c.GetHeader(HeaderCustomer))
		if requested == "" && principal.Role == core.RoleCaller {
			requested = string(principal.Customer)
			c.Request.Header.Set(HeaderCustomer, requested)
		}
		if err := principal.CheckCustomer(core.CustomerID(requested)); err != nil {
			abortWithError(c, err)
			return
		}
		c.Next(ctx)
	}
}

// LimitBody rejects request bodies over limit bytes. The server must have been
// opened with StreamBodies, since otherwise it rejects such requests before
// any handler runs.
func LimitBody(limit int) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if err := readBody(c, limit); err != nil {
			// The connection cannot be reused: the rest of the body is unread.
			c.SetConnectionClose()
			abortWithError(c, err)
			return
		}
		c.Next(ctx)
	}
}

func readBody(c *app.RequestContext, limit int) *core.Error {
	length := c.Request.Header.ContentLength()
	if length > limit {
		return newTooLargeError(strconv.Itoa(length), limit)
	}
	if !c.Request.IsBodyStream() {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(c.Request.BodyStream(), int64(limit)+1))
	if err != nil {
		return &core.Error{Code: core.CodeInvalid, Verdict: core.NotRun, Field: "body", Reason: "ended early", Err: err}
	}
	if len(body) > limit {
		return newTooLargeError("over "+strconv.Itoa(limit), limit)
	}
	c.Request.SetBody(body)
	return nil
}

func newTooLargeError(size string, limit int) *core.Error {
	e := core.InvalidError("body", size+" bytes", "up to "+strconv.Itoa(limit)+" bytes", "is too large")
	e.Code = core.CodeTooLarge
	return e
}

func abortWithError(c *app.RequestContext, e *core.Error) {
	WriteError(c, e)
	c.Abort()
}

// NoRoute responds with CodeNotFound to requests for unknown paths.
func NoRoute(_ context.Context, c *app.RequestContext) {
	WriteError(c, core.NotRunError(core.CodeNotFound, "no such path: %s %s", c.Method(), c.Path()))
}
