package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/url"
	"strings"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// baseURL accepts HOST:PORT and http or https URLs without path.
func baseURL(flag, address string) (string, error) {
	full := address
	if !strings.Contains(address, "://") {
		full = "http://" + address
	}
	u, err := url.Parse(full)
	allowed := "HOST:PORT, or an http or https URL without path"
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || (u.Path != "" && u.Path != "/") || u.RawQuery != "" {
		return "", usageError(flag, address, allowed)
	}
	if _, port, err := net.SplitHostPort(u.Host); err != nil || port == "" || u.Hostname() == "" {
		return "", usageError(flag, address, allowed)
	}
	return u.Scheme + "://" + u.Host, nil
}

// client returns an HTTP client and the headers that carry the token.
func (s *session) client() (*client.Client, map[string]string, error) {
	headers := map[string]string{}
	token := s.app.Getenv("BERYLFALL_TOKEN")
	if s.options.TokenFile != "" {
		data, err := s.app.ReadFile(s.options.TokenFile)
		if err != nil {
			return nil, nil, invalidFile("--token-file", s.options.TokenFile, err)
		}
		token = strings.TrimSpace(string(data))
	}
	if strings.ContainsAny(token, "\r\n") {
		return nil, nil, usageError("token", "", "one line")
	}
	if token != "" {
		headers["Authorization"] = "Bearer " + token
	}
	options := transport.ClientOptions{TLS: &tls.Config{MinVersion: tls.VersionTLS12}}
	if s.options.CAFile != "" {
		pool, err := s.caPool()
		if err != nil {
			return nil, nil, err
		}
		options.TLS.RootCAs = pool
	}
	c, err := transport.NewClient(options)
	return c, headers, err
}

func (s *session) caPool() (*x509.CertPool, error) {
	data, err := s.app.ReadFile(s.options.CAFile)
	if err != nil {
		return nil, invalidFile("--ca-file", s.options.CAFile, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usageError("--ca-file", s.options.CAFile, "a PEM file of certificates")
	}
	return pool, nil
}

func invalidFile(flag, path string, err error) error {
	e := core.InvalidError(flag, path, "a readable file", "cannot be read")
	e.Err = err
	return e
}

// do sends one exchange. When its answer is lost, a read has failed without
// effect, while a change may have taken effect.
func (s *session) do(x transport.Exchange, out any) error {
	c, headers, err := s.client()
	if err != nil {
		return err
	}
	defer c.CloseIdleConnections()
	for name, value := range x.Headers {
		headers[name] = value
	}
	x.Headers = headers
	x.Timeout = s.options.Timeout
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Timeout)
	defer cancel()
	return exchangeError(x, transport.DoJSON(ctx, c, x, out))
}

func exchangeError(x transport.Exchange, err error) error {
	if err == nil {
		return nil
	}
	lost := core.MayHaveRun
	if x.Method == consts.MethodGet || transport.IsDialError(err) {
		lost = core.NotRun
	}
	var response *transport.ResponseError
	if !errors.As(err, &response) {
		return &core.Error{Code: core.CodeUnavailable, Verdict: lost, Reason: "no answer from " + x.URL, Err: err}
	}
	detail, ok := response.Detail()
	if !ok {
		return &core.Error{Code: core.CodeUnavailable, Verdict: lost, Reason: "unexpected answer from " + x.URL, Err: response}
	}
	return &core.Error{Code: detail.Code, Verdict: detail.Verdict, Reason: detail.Message}
}

// get reads from one daemon.
func (s *session) get(base, path string, out any) error {
	return s.do(transport.Exchange{Method: consts.MethodGet, URL: base + path}, out)
}

// getAny reads from the first daemon that answers. An answer that refuses the
// request is not tried elsewhere.
func (s *session) getAny(path string, out any) error {
	var err error
	for _, base := range s.options.Address {
		err = s.get(base, path, out)
		if err == nil || core.CodeOf(err) != core.CodeUnavailable {
			return err
		}
	}
	return err
}

// change sends a change to the first address only: a second try elsewhere could
// repeat a change whose answer was lost.
func (s *session) change(method, path string, body, out any) error {
	return s.do(transport.Exchange{Method: method, URL: s.options.Address[0] + path, Body: body}, out)
}
