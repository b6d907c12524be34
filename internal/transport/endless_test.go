package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/berylfall/berylfall/internal/transport/transporttest"
)

const (
	endlessTestTimeout = 30 * time.Second
	// flushedBytes is more than a socket buffers.
	flushedBytes = 64 << 10
)

// endlessResponses are the starts of responses and the part that repeats without
// end.
var endlessResponses = map[string]struct{ start, repeated string }{
	"status line":      {"HTTP/1.1 200 O", "k"},
	"header lines":     {"HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n"},
	"one header value": {"HTTP/1.1 200 OK\r\nX-Filler: ", "a"},
	"header name":      {"HTTP/1.1 200 OK\r\n", "a"},
	"interim heads":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"early hints":      {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	"no status line":   {"", "\x00"},
	"empty lines":      {"", "\r\n"},
	"body to close":    {"HTTP/1.1 200 OK\r\n\r\n", "a"},
	"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	"large chunk":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "a"},
	"chunk size":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk spaces":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", " "},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "b"},
	"chunk extensions": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("b", 2000) + "\r\na\r\n"},
	"trailer lines":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: a\r\n"},
	"trailer value":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ", "a"},
	"announced length": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "a"},
}

// serveEndless answers each connection with a response that does not end, and
// sends the error that ended the last write of each.
func serveEndless(t *testing.T, start, repeated string) (address string, ended <-chan error) {
	t.Helper()
	ends := make(chan error, 1024)
	return transporttest.Serve(t, func(c net.Conn) { ends <- writeEndless(c, start, repeated) }), ends
}

func writeEndless(c net.Conn, start, repeated string) error {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, start); err != nil {
		return err
	}
	block := strings.Repeat(repeated, 1+flushedBytes/len(repeated))
	for {
		if _, err := io.WriteString(c, block); err != nil {
			return err
		}
	}
}

func get(ctx context.Context, p *Pool, address string) ([]byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("GET")
	req.SetRequestURI("http://" + address + "/")
	err := p.Do(ctx, address, req, resp)
	return append([]byte{}, resp.Body()...), err
}

// Guards against a server whose response never ends and fills the memory of the
// daemon, and against a connection to it that stays open.
func TestEndlessResponsesEndWithReset(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), endlessTestTimeout)
			defer cancel()
			address, ended := serveEndless(t, response.start, response.repeated)
			body, err := get(ctx, NewPool(time.Minute), address)
			if err == nil || ctx.Err() != nil {
				t.Fatalf("%d bytes, error %v; want an error before the deadline", len(body), err)
			}
			select {
			case err := <-ended:
				if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
					t.Errorf("the server's write ended with %v, want a reset", err)
				}
			case <-ctx.Done():
				t.Error("the connection is still open")
			}
		})
	}
}

// Guards against a peer that sends one byte at a time within the read time-out, so
// that a head never ends and the exchange has no end either.
func TestGuardBoundsTime(t *testing.T) {
	var g progressGuard
	g.reset(MaxResponseHeadBytes, progressTimeout)
	now := time.Unix(1e9, 0)
	for at := time.Duration(0); at <= progressTimeout; at += time.Second {
		if err := g.receive(1, now.Add(at)); err != nil {
			t.Fatalf("after %v: %v", at, err)
		}
	}
	if err := g.receive(1, now.Add(progressTimeout+1)); !errors.Is(err, ErrNoProgressTime) {
		t.Errorf("after %v: %v, want %v", progressTimeout, err, ErrNoProgressTime)
	}
	g.reset(MaxResponseHeadBytes, progressTimeout)
	if err := g.receive(1, now.Add(time.Hour)); err != nil {
		t.Errorf("after progress: %v", err)
	}
}

// Guards against a legitimate body that is cut off by the limits: the largest one,
// in chunks of one byte, in one chunk, with interim responses before it and a trailer
// after it.
func TestLegitimateBodiesAreWhole(t *testing.T) {
	large := strings.Repeat("a", DefaultMaxBodyBytes)
	responses := map[string]struct{ response, body string }{
		"largest with length": {"HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n\r\n" + large, large},
		"largest to close":    {"HTTP/1.1 200 OK\r\n\r\n" + large, large},
		"small chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 100_000) + "0\r\n\r\n", large[:100_000]},
		"largest in a chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800000\r\n" + large + "\r\n0\r\n\r\n", large},
		"large chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("20000\r\n"+large[:128<<10]+"\r\n", 64) + "0\r\n\r\n", large},
		"interim and trailer": {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nX-End: 1\r\n\r\n", "ab"},
		"empty":               {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		"no content":          {"HTTP/1.1 204 No Content\r\n\r\n", ""},
	}
	for name, r := range responses {
		ctx, cancel := context.WithTimeout(context.Background(), endlessTestTimeout)
		address := serveResponse(t, r.response)
		body, err := get(ctx, NewPool(time.Minute), address)
		if err != nil || string(body) != r.body {
			t.Errorf("%s: %d bytes, error %v; want %d bytes", name, len(body), err, len(r.body))
		}
		cancel()
	}
}

// serveResponse answers each connection with the response and closes it.
func serveResponse(t *testing.T, response string) string {
	t.Helper()
	return transporttest.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	})
}

// Guards against a truncated body that looks complete.
func TestTruncatedBodiesAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd",
		"chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcd",
		"no end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
		"trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX-End: 1",
		"bad size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nabcd\r\n0\r\n\r\n",
	} {
		body, err := get(context.Background(), NewPool(time.Minute), serveResponse(t, response))
		if err == nil {
			t.Errorf("%s: body %q without an error", name, body)
		}
	}
}

// Guards against a response in the buffer of a chunked body that is taken for the
// answer to the next request of the connection.
func TestBytesAfterChunkedBodyAreKept(t *testing.T) {
	c, server := dialPair(t)
	go func() {
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n")
	}()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseResponse(resp)
	if err := c.ReadResponseHeader(resp); err != nil {
		t.Fatal(err)
	}
	if err := c.ReadResponseBody(context.Background(), resp, DefaultMaxBodyBytes); err != nil || string(resp.Body()) != "ab" {
		t.Fatalf("body %q, %v", resp.Body(), err)
	}
	if c.Len() == 0 {
		t.Error("the bytes after the body are lost")
	}
}

// Guards against many servers with bodies that never end, which together fill the
// memory of the daemon and block sound servers.
func TestEndlessServersBesideSoundOnes(t *testing.T) {
	const servers, callsPerServer, maxProcessBytes = 16, 2, 64 << 20
	ctx, cancel := context.WithTimeout(context.Background(), endlessTestTimeout)
	defer cancel()
	pool := NewPool(time.Minute)
	names := []string{"body to close", "one header value", "chunks", "large chunk", "status line", "chunk extensions", "header lines", "trailer lines"}
	_, peak := transporttest.MeasurePeak(t)
	var calls sync.WaitGroup
	for i := range servers {
		bad := endlessResponses[names[i%len(names)]]
		endless, _ := serveEndless(t, bad.start, bad.repeated)
		sound := serveResponse(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 800\r\n\r\n"+strings.Repeat("a", 800))
		calls.Go(func() {
			for range callsPerServer {
				if _, err := get(ctx, pool, endless); err == nil {
					t.Error("an endless response was taken for complete")
				}
			}
		})
		calls.Go(func() {
			for range callsPerServer {
				if body, err := get(ctx, pool, sound); err != nil || len(body) != 800 {
					t.Errorf("a sound server's answer has %d bytes, %v", len(body), err)
				}
			}
		})
	}
	calls.Wait()
	got := peak()
	t.Logf("the process used %d MB", got>>20)
	if got > maxProcessBytes {
		t.Errorf("the process used %d MB, want at most %d", got>>20, maxProcessBytes>>20)
	}
	if ctx.Err() != nil {
		t.Error("the calls took too long")
	}
}

// Guards against a caller whose request never ends: chunk headers, a trailer, a head or
// a body. The server must close the connection and keep serving others.
func TestEndlessRequestsEndWithReset(t *testing.T) {
	const head = "POST /echo HTTP/1.1\r\nHost: h\r\n"
	requests := map[string]struct{ start, repeated string }{
		"head lines":    {head, "X-Filler: a\r\n"},
		"header value":  {head + "X-Filler: ", "a"},
		"request line":  {"POST /", "a"},
		"empty lines":   {"", "\r\n"},
		"chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"chunk spaces":  {head + "Transfer-Encoding: chunked\r\n\r\n1", " "},
		"chunk size":    {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer lines": {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: a\r\n"},
		"trailer value": {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ", "a"},
		"length":        {head + "Content-Length: 1000000000\r\n\r\n", "a"},
	}
	s, err := Listen("127.0.0.1:0", ServerOptions{MaxBodyBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	s.Router().POST("/echo", func(_ context.Context, c *app.RequestContext) { _, _ = c.Write(c.Request.Body()) })
	go func() { _ = s.Serve() }()
	ctx, cancel := context.WithTimeout(context.Background(), endlessTestTimeout)
	defer cancel()
	defer func() { _ = s.Close(ctx) }()
	for name, r := range requests {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		if err := c.SetDeadline(time.Now().Add(endlessTestTimeout)); err != nil {
			t.Fatal(err)
		}
		_, err = io.WriteString(c, r.start)
		sent := 0
		for block := strings.Repeat(r.repeated, 1+flushedBytes/len(r.repeated)); err == nil && sent < 64<<20; {
			_, err = io.WriteString(c, block)
			sent += len(block)
		}
		if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			t.Errorf("%s: the write of %d bytes ended with %v, want a reset", name, sent, err)
		}
		_ = c.Close()
		body := strings.Repeat("a", 1<<20)
		response, err := http.Post("http://"+s.Address()+"/echo", "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatalf("%s: a request after it: %v", name, err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || string(got) != body {
			t.Errorf("%s: a request after it got %d bytes, %v", name, len(got), err)
		}
		_ = response.Body.Close()
	}
}
