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

// baseURL normalizes HOST:PORT or an http or https URL without path to a base URL.
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

// client returns an HTTP client and the headers for authentication.
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

// send sends one request with the session's token and timeout and decodes the
// answer into out.
func (s *session) send(x transport.Exchange, out any) error {
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

// exchangeError converts a transport error. If the answer to a change is lost,
// the verdict is MayHaveRun; a lost answer to a read and a failed connection
// attempt are NotRun.
func exchangeError(x transport.Exchange, err error) error {
	if err == nil {
		return nil
	}
	verdict := core.MayHaveRun
	if x.Method == consts.MethodGet || transport.IsDialError(err) {
		verdict = core.NotRun
	}
	var response *transport.ResponseError
	if !errors.As(err, &response) {
		return &core.Error{Code: core.CodeUnavailable, Verdict: verdict, Reason: "no answer from " + x.URL, Err: err}
	}
	detail, ok := response.Detail()
	if !ok {
		return &core.Error{Code: core.CodeUnavailable, Verdict: verdict, Reason: "unexpected answer from " + x.URL, Err: response}
	}
	return &core.Error{Code: detail.Code, Verdict: detail.Verdict, Reason: detail.Message}
}

// getFrom sends a GET request to one daemon.
func (s *session) getFrom(base, path string, out any) error {
	return s.send(transport.Exchange{Method: consts.MethodGet, URL: base + path}, out)
}

// getFromAny sends a GET request to the configured daemons in order until one is
// available. An answer that rejects the request is final.
func (s *session) getFromAny(path string, out any) error {
	var err error
	for _, base := range s.options.Address {
		err = s.getFrom(base, path, out)
		if err == nil || core.CodeOf(err) != core.CodeUnavailable {
			return err
		}
	}
	return err
}

// sendChange sends a change to the first address only, since a retry at another
// daemon could repeat a change whose answer was lost.
func (s *session) sendChange(method, path string, body, out any) error {
	return s.send(transport.Exchange{Method: method, URL: s.options.Address[0] + path, Body: body}, out)
}
