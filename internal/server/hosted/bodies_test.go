package hosted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	adapter "github.com/berylfall/berylfall/platform"
)

// rawRequest is a request as it was sent or as it arrived.
type rawRequest struct {
	id, method, target string
	headers            [][2]string
	body               []byte
	isChunked          bool
}

// requestGenerator draws requests that a caller may send.
type requestGenerator struct {
	*rand.Rand
	n int
}

// pick returns one of the values.
func pick[T any](g *requestGenerator, values ...T) T { return values[g.IntN(len(values))] }

func (g *requestGenerator) next(prefix string) rawRequest {
	g.n++
	r := rawRequest{id: fmt.Sprintf("r%d", g.n), method: pick(g, "GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PURGE")}
	r.target = prefix + pick(g, "", "a", "a/b/", "a//b", "a/../b", "%2e%2e/%2F", "a;v=1", "%C3%A9", "a+b%20c", "~'()!*") +
		pick(g, "", "?", "?a=1&a=2", "?q=%zz", "?x=a+b&&y", "?a=/../?", "?=;")
	r.headers = [][2]string{{"Host", "h"}, {"Attempt-Id", r.id}, {"Deadline-Ms", "9000"}}
	r.body = g.body()
	if kind := g.contentType(); kind != "" {
		r.headers = append(r.headers, [2]string{"Content-Type", kind})
	}
	for _, h := range [][2]string{{"Cookie", `a=1;b="x y"; c`}, {"User-Agent", "t/1 (x)"}, {"X-Empty", ""}, {"X-List", "a, b"}, {"Content-Encoding", "gzip"}, {"Expect", "100-continue"}} {
		if g.IntN(4) == 0 {
			r.headers = append(r.headers, h)
		}
	}
	r.isChunked = g.IntN(2) == 0
	return r
}

// contentType draws the type of a body, which need not be that of its bytes.
func (g *requestGenerator) contentType() string {
	return pick(g, "", "application/octet-stream", "application/json", "application/x-www-form-urlencoded",
		"multipart/form-data; boundary=cut", `multipart/form-data; boundary="cut"`, "multipart/form-data", "multipart/mixed; boundary=cut")
}

// body draws a body: forms of each kind, complete, broken or in an unusual order, and
// bytes that are no form.
func (g *requestGenerator) body() []byte {
	const file = "--cut\r\nContent-Disposition: form-data; name=\"photo\"; filename=\"strap.jpg\"\r\nContent-Type: image/jpeg\r\nX-Shop: 7\r\n\r\nJPEG\r\n"
	const field = "--cut\r\nContent-Disposition: form-data; name=\"note\"\r\n\r\nworn\r\n"
	switch g.IntN(7) {
	case 0:
		return nil
	case 1:
		return []byte(file + field + "--cut--\r\n")
	case 2:
		return []byte("preamble\r\n" + field + file + field + "--cut--\r\nepilogue")
	case 3:
		form := file + field
		return []byte(form[:g.IntN(len(form))])
	case 4:
		return []byte("b=2&a=1&a=%zz&c+d=%20&&=")
	case 5:
		return g.bytes(90_000)
	default:
		return g.bytes(1 + g.IntN(300))
	}
}

func (g *requestGenerator) bytes(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(g.Uint32())
	}
	return body
}

// chunks encodes the body in chunks of any sizes, without the last one.
func (g *requestGenerator) chunks(body []byte) string {
	var b strings.Builder
	for rest := body; len(rest) > 0; {
		n := min(len(rest), 1+g.IntN(1+len(body)/3))
		b.WriteString(chunk(string(rest[:n])))
		rest = rest[n:]
	}
	return b.String()
}

// encode returns the bytes of the request, with its body in chunks of any sizes or with
// a length.
func (r *rawRequest) encode(g *requestGenerator) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", r.method, r.target)
	for _, h := range r.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if !r.isChunked {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
		return b.Bytes()
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	b.WriteString(g.chunks(r.body))
	b.WriteString("0\r\n")
	if g.IntN(2) == 0 {
		b.WriteString("X-Sum: 1\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// changeAt returns how the request that arrived differs from the one that was sent, or "".
func (r *rawRequest) changeAt(arrived *http.Request, body []byte) string {
	switch {
	case arrived.Method != r.method:
		return "method " + arrived.Method
	case arrived.RequestURI != r.target:
		return "target " + arrived.RequestURI
	case !bytes.Equal(body, r.body):
		return fmt.Sprintf("body of %d bytes: %.300q", len(body), body)
	}
	sent := http.Header{}
	for _, h := range r.headers {
		sent.Add(h[0], h[1])
	}
	for _, name := range []string{"Content-Type", "Content-Encoding", "Cookie", "User-Agent", "X-Empty", "X-List"} {
		if got, want := strings.Join(arrived.Header.Values(name), "|"), strings.Join(sent.Values(name), "|"); got != want {
			return fmt.Sprintf("header %s: %q", name, got)
		}
	}
	return ""
}

// recordingServer is a raw backend server that keeps the requests that arrive, and answers
// with the bytes of answer.
type recordingServer struct {
	mu     sync.Mutex
	bodies map[string][]byte
	heads  map[string]*http.Request
	answer func(id string) string
}

func newRecordingServer(answer func(id string) string) *recordingServer {
	return &recordingServer{bodies: map[string][]byte{}, heads: map[string]*http.Request{}, answer: answer}
}

// serve records the request and answers it.
func (s *recordingServer) serve(r *http.Request, _ int, c net.Conn) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(adapter.HeaderAttempt)
	s.mu.Lock()
	s.bodies[id], s.heads[id] = body, r
	s.mu.Unlock()
	_, _ = io.WriteString(c, s.answer(id))
}

func (s *recordingServer) find(id string) (*http.Request, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heads[id], s.bodies[id]
}

// Services and routes of the tests of this file; rawPrefixes has a prefix of each type of
// route for callers.
const (
	rawService  = "raw"
	rawEngines  = "raw-model"
	rawJobs     = "/raw-jobs/"
	rawMaxBytes = 8 << 20
)

var rawPrefixes = map[string]string{"/raw-safe/": "safe", "/raw-once/": "unsafe", "/raw-stream/": "stream", "/raw-resumable/": "resumable"}

// newRawFleet starts two daemons whose routes lead to raw servers of rawService and
// rawEngines.
func newRawFleet(t *testing.T, server, engine *recordingServer) *fleet {
	t.Helper()
	f, _, _ := newServingFleet(t, 2)
	f.configureRaw(t, 4, rawMaxBytes)
	for _, d := range f.daemons {
		waitFor(t, "configuration", func() bool { return d.routes.Current().Version == 4 })
	}
	f.addServer(t, rawService, "raw-1", "1", server.serve)
	f.addServer(t, rawEngines, "raw-2", "1", engine.serve)
	return f
}

// configureRaw writes a configuration with the routes to the raw servers.
func (f *fleet) configureRaw(t *testing.T, version, maxBodyBytes int) {
	t.Helper()
	routes := []map[string]any{{"name": "jobs", "host": "h", "pathPrefix": rawJobs, "type": "rollout", "service": rawEngines, "maxAttempts": 3, "maxQueueS": 30}}
	for prefix, kind := range rawPrefixes {
		route := map[string]any{"name": kind, "host": "h", "pathPrefix": prefix, "type": kind, "timeoutMs": 9000, "service": rawService, "maxAttempts": 2}
		if kind == "resumable" {
			route["type"], route["resumable"] = "stream", true
		}
		routes = append(routes, route)
	}
	if err := f.store.Put(adapter.KindConfig, "main", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"maxBodyBytes": maxBodyBytes, "maxHeaderBytes": 32 << 10},
		"services": []map[string]any{
			{"name": rawService},
			{"name": rawEngines, "engine": map[string]any{"slots": 4, "models": []map[string]any{{"name": "m"}}}},
		},
	}); err != nil {
		t.Fatal(err)
	}
}

// allowBodies allows bodies up to the size.
func (f *fleet) allowBodies(t *testing.T, maxBodyBytes int) {
	t.Helper()
	f.configureRaw(t, 5, maxBodyBytes)
	for _, d := range f.daemons {
		waitFor(t, "configuration", func() bool { return d.routes.Current().Version == 5 })
	}
}

// removeServer removes the entry of a server.
func (f *fleet) removeServer(t *testing.T, id string) {
	t.Helper()
	if err := f.store.Remove(t.Context(), adapter.KindServers, id); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "removal of the server", func() bool {
		return len(f.linesOf(t, "backend server removed", "backend_server", id)) >= len(f.daemons)
	})
}

// exchangeRaw sends the bytes and returns the final answer with its body.
func exchangeRaw(t *testing.T, address, method string, request []byte) (status int, header http.Header, body []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	// The daemon may answer and close the connection before it has read everything.
	_, _ = conn.Write(request)
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("%.300q: %v", request, err)
		}
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			t.Errorf("%.300q: body: %v", request, err)
		}
		if response.StatusCode >= http.StatusOK {
			return response.StatusCode, response.Header, body
		}
	}
}

// Guards against a daemon that parses, normalises or completes a request on its way to
// the backend server: what the server runs is then not what the caller sent.
func TestRequestsReachServersUnchanged(t *testing.T) {
	const seed = 1
	server := newRecordingServer(func(string) string {
		return "HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
	})
	f := newRawFleet(t, server, server)
	g := &requestGenerator{Rand: rand.New(rand.NewPCG(seed, seed))}
	prefixes := slices.Sorted(maps.Keys(rawPrefixes))
	for i := range 400 {
		r := g.next(prefixes[i%len(prefixes)])
		status, _, _ := exchangeRaw(t, f.callers[i/len(prefixes)%2], r.method, r.encode(g))
		arrived, body := server.find(r.id)
		if status != http.StatusOK || arrived == nil {
			t.Errorf("seed %d: %s %s, headers %v, %d bytes, chunks %v: status %d", seed, r.method, r.target, r.headers, len(r.body), r.isChunked, status)
			continue
		}
		if change := r.changeAt(arrived, body); change != "" {
			t.Errorf("seed %d: %s %s, headers %v, chunks %v, body %.300q: server got %s", seed, r.method, r.target, r.headers, r.isChunked, r.body, change)
		}
	}
}

// rawAnswer is an answer of a raw server.
type rawAnswer struct {
	status    int
	headers   [][2]string
	body      []byte
	isChunked bool
}

func (g *requestGenerator) answer(method string) rawAnswer {
	a := rawAnswer{status: pick(g, 200, 201, 202, 204, 206, 301, 304, 400, 404, 409, 418, 422, 451), isChunked: g.IntN(2) == 0}
	a.headers = [][2]string{{"Server-Stamp", fmt.Sprintf("st%d", g.n)}, {"Connection", "close"}}
	if kind := g.contentType(); kind != "" {
		a.headers = append(a.headers, [2]string{"Content-Type", kind})
	}
	for _, h := range [][2]string{{"Set-Cookie", "a=1; Path=/; HttpOnly"}, {"Set-Cookie", "b=2"}, {"Vary", "a"}, {"Vary", "b"}, {"X-Empty", ""}, {"Etag", `"x"`}, {"Location", "/a b?c"}, {"Server", "raw/1"}} {
		if g.IntN(3) > 0 {
			a.headers = append(a.headers, h)
		}
	}
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		a.body = g.body()
	}
	if method == http.MethodHead {
		a.isChunked = false
	}
	return a
}

func (a *rawAnswer) encode(g *requestGenerator, method string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d Reason\r\n", a.status)
	for _, h := range a.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		b.WriteString("\r\n")
	case method == http.MethodHead:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	case a.isChunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		b.WriteString(g.chunks(a.body))
		b.WriteString("0\r\n\r\n")
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	}
	return b.String()
}

// Guards against a daemon that changes a backend server's answer on its way to the
// caller, or waits for a body where the method or the status has none.
func TestAnswersReachCallersUnchanged(t *testing.T) {
	const seed = 2
	g := &requestGenerator{Rand: rand.New(rand.NewPCG(seed, seed))}
	var encoded string
	server := newRecordingServer(func(string) string { return encoded })
	f := newRawFleet(t, server, server)
	for i := range 300 {
		r := g.next(pick(g, "/raw-safe/", "/raw-once/"))
		r.method = pick(g, "GET", "POST", "HEAD")
		answer := g.answer(r.method)
		encoded = answer.encode(g, r.method)
		status, header, body := exchangeRaw(t, f.callers[i%2], r.method, r.encode(g))
		want := answer.body
		if r.method == http.MethodHead {
			want = nil
		}
		if status != answer.status || !bytes.Equal(body, want) {
			t.Errorf("seed %d: answer %.300q to %s reaches the caller as status %d, body %.300q", seed, encoded, r.method, status, body)
		}
		sent := http.Header{}
		for _, h := range answer.headers {
			sent.Add(h[0], h[1])
		}
		for _, name := range []string{"Server-Stamp", "Content-Type", "Set-Cookie", "Vary", "X-Empty", "Etag", "Location"} {
			if got, want := strings.Join(header.Values(name), "|"), strings.Join(sent.Values(name), "|"); got != want {
				t.Errorf("seed %d: answer %.300q reaches the caller with header %s: %q", seed, encoded, name, got)
			}
		}
	}
}

// Guards against a job whose items reach an engine changed, whose item bodies come back
// changed, or whose results have another text than the engine generated, through the
// daemon that owns the job and through another one.
func TestItemsAndResultsAreUnchanged(t *testing.T) {
	const seed = 3
	const items = 12
	g := &requestGenerator{Rand: rand.New(rand.NewPCG(seed, seed))}
	texts := map[string]string{}
	engine := newRecordingServer(func(id string) string {
		return "HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: " + texts[id] + "\n\n"
	})
	server := newRecordingServer(func(string) string {
		return "HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	})
	f := newRawFleet(t, server, engine)
	requests, rewards := map[string]rawRequest{}, map[string][]byte{}
	var list []map[string]any
	for range items {
		r := g.next(rawJobs)
		reward := g.body()
		r.method = http.MethodPost
		requests[r.id], rewards["w"+r.id] = r, reward
		texts[r.id] = pick(g, "plain", `"quoted" \ <b>&amp;`, "é ☃ \u2028", "tab\tin", "")
		headers := map[string]string{"Model": "m", "Token-Count": "1,1"}
		for _, h := range r.headers {
			if h[0] == "Content-Type" || h[0] == "Cookie" {
				headers[h[0]] = h[1]
			}
		}
		list = append(list, map[string]any{
			"id": r.id, "path": r.target, "headers": headers, "body": r.body, "tokens": 2, "group": "g",
			"scorer": map[string]any{"id": "w" + r.id, "host": "h", "path": "/raw-safe/w", "body": reward},
		})
	}
	ctx, client := t.Context(), f.client()
	job := map[string]any{"step": 0, "model": "m", "minVersion": 1, "desiredCount": 1, "items": list}
	if a, err := client.Send(ctx, http.MethodPost, rawJobs+"j", "j", job); err != nil || a.Status != http.StatusAccepted {
		t.Fatalf("submission: status %d, %v", a.Status, err)
	}
	for id, r := range requests {
		for range f.daemons {
			a, err := client.Send(ctx, http.MethodGet, adapter.PathBodies+"j?id="+id, "b", nil)
			isListed := err == nil && a.Status == http.StatusNotFound
			if err != nil || (!isListed && !bytes.Equal(a.Body, r.body)) {
				t.Errorf("body of %s: %v, status %d, %d bytes in place of %d", id, err, a.Status, len(a.Body), len(r.body))
			}
		}
	}
	for range f.daemons {
		results, err := client.ReadAll(ctx, "j")
		if err != nil || len(results) != items {
			t.Fatalf("%d results, %v", len(results), err)
		}
		for _, result := range results {
			if result.State != "done" || result.Text != texts[result.ID] {
				t.Errorf("seed %d: result %+v in place of %q", seed, result, texts[result.ID])
			}
		}
	}
	for id, r := range requests {
		arrived, body := engine.find(id)
		if arrived == nil || arrived.Method != http.MethodPost || arrived.RequestURI != r.target || !bytes.Equal(body, r.body) {
			t.Errorf("seed %d: item %+.300v reached the engine as %+.300v with body %.300q", seed, r, arrived, body)
		}
		reward, body := server.find("w" + id)
		if reward == nil || !bytes.Equal(body, rewards["w"+id]) {
			t.Errorf("seed %d: reward call of %s has body %.300q in place of %.300q", seed, id, body, rewards["w"+id])
		}
	}
}

// Guards against a daemon that does not notice that its caller has left, for requests with
// each kind of body: their servers would work on in vain.
func TestRequestEndsWhenItsCallerLeaves(t *testing.T) {
	ended := make(chan string, 8)
	f, _, _ := newServingFleet(t, 1)
	f.configureRaw(t, 4, rawMaxBytes)
	f.addServer(t, rawService, "raw-1", "1", func(r *http.Request, _ int, c net.Conn) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = c.Read(make([]byte, 1)) // until the daemon closes the connection
		ended <- r.Header.Get(adapter.HeaderAttempt)
	})
	large := strings.Repeat("x", 100_000)
	for id, framing := range map[string]string{
		"none": "\r\n", "empty": "Content-Length: 0\r\n\r\n", "small": "Content-Length: 1\r\n\r\nx",
		"large": "Content-Length: 100000\r\n\r\n" + large, "chunked": "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", f.callers[0])
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "POST /raw-once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: "+id+"\r\nDeadline-Ms: 30000\r\n"+framing); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond) // until the server has the request
		_ = conn.Close()
		select {
		case got := <-ended:
			if got != id {
				t.Errorf("request %s ended in place of %s", got, id)
			}
		case <-time.After(testTimeout / 2):
			t.Errorf("request with body %s: the server works on after its caller has left", id)
		}
	}
	f.stop(t)
}
