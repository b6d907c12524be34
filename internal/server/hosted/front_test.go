package hosted

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/transport"
	adapter "github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

// testTimeout bounds the waits of a test, which usually end much earlier.
const testTimeout = 10 * time.Second

var deployment = standin.Deployment{Host: "h", Engines: "model", Plain: "desk", Streams: "advice", Model: "m", Slots: 4}

// fleet is a set of daemons that run on stand-ins of the platform.
type fleet struct {
	store   *standin.Store
	engines []*standin.Server
	plain   *standin.Server
	daemons []*frontDaemon
	callers []string
	log     *lockedBuffer
	usage   adapter.UsageSettings // of daemons that start
}

// newFleet starts n daemons, two engines and a plain server.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	runner, err := duty.NewRunner(16)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { runner.Stop(ctx) })
	f := &fleet{log: &lockedBuffer{}}
	if f.store, err = standin.StartStore("127.0.0.1:0", duty.SystemClock{}, runner); err != nil {
		t.Fatal(err)
	}
	if err := deployment.Configure(f.store, 3); err != nil {
		t.Fatal(err)
	}
	server := func(o standin.ServerOptions) *standin.Server {
		o.DataCentre, o.Slots, o.LoadTime = "a", deployment.Slots, 50*time.Millisecond
		s, err := standin.StartServer(ctx, "127.0.0.1:0", duty.SystemClock{}, runner, f.store, o)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	f.plain = server(standin.ServerOptions{ID: "desk-1", Service: "desk"})
	for i := range 2 {
		f.engines = append(f.engines, server(standin.ServerOptions{ID: fmt.Sprintf("engine-%d", i), Service: "model", Models: []string{"m"}}))
	}
	for range n {
		f.startDaemon(t, f.store.Address())
	}
	for _, d := range f.daemons {
		waitFor(t, "a configuration", d.isReady)
	}
	return f
}

// startDaemon starts a daemon that uses the store at the address.
func (f *fleet) startDaemon(t *testing.T, store string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(f.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	addresses, err := standin.FreeAddresses("127.0.0.1", 3)
	if err != nil {
		t.Fatal(err)
	}
	set := &adapter.Settings{
		Host: fmt.Sprintf("front-%d", len(f.daemons)), DataCentre: "a", PeerAddress: addresses[0], Callers: addresses[1], Readiness: addresses[2],
		Store:  adapter.StoreSettings{Address: store, WritesPerSecond: 400, ReadsPerSecond: 2000},
		Usage:  f.usage,
		Bounds: adapter.Bounds{StopGrace: 8 * time.Second, LeaseTurn: 3 * time.Second, Drain: 2 * time.Second},
	}
	d, err := StartFront(set, log.WithField("host", set.Host))
	if err != nil {
		t.Fatal(err)
	}
	f.daemons = append(f.daemons, d.(*frontDaemon))
	f.callers = append(f.callers, set.Callers)
}

// restartAll ends all daemons at the same time, as a loss does, and starts them again at
// their addresses.
func (f *fleet) restartAll(t *testing.T) {
	t.Helper()
	ended, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, d := range f.daemons {
		for _, s := range []*transport.Server{d.callers, d.readiness} {
			if err := s.Close(ended); err != nil {
				t.Fatal(err)
			}
		}
		d.runner.Stop(ended)
		d.peers.Close()
		d.releasePools()
	}
	for i, d := range f.daemons {
		again, err := StartFront(d.hostSettings, d.log)
		if err != nil {
			t.Fatal(err)
		}
		f.daemons[i] = again.(*frontDaemon)
	}
	for _, d := range f.daemons {
		waitFor(t, "a configuration", d.isReady)
	}
}

// newServingFleet starts a fleet and a client, and waits until plain requests of the
// client are served. The context bounds the test.
func newServingFleet(t *testing.T, n int) (*fleet, context.Context, *standin.Client) {
	t.Helper()
	f := newFleet(t, n)
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	t.Cleanup(cancel)
	c := f.client()
	f.awaitServed(ctx, t, c)
	return f, ctx, c
}

func (f *fleet) client() *standin.Client { return standin.NewClient(deployment, f.callers) }

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("no %s within %v", what, testTimeout)
}

// awaitServed waits until a plain request gets the complete answer.
func (f *fleet) awaitServed(ctx context.Context, t *testing.T, c *standin.Client) {
	t.Helper()
	n := 0
	waitFor(t, "answer", func() bool {
		n++
		id := fmt.Sprintf("first-%d", n)
		a, err := c.Plain(ctx, id, []byte("x"))
		return err == nil && a.Status == http.StatusOK && string(a.Body) == "answer to x" && a.Signature == standin.Signature(id)
	})
}

// Guards against a fault anywhere between the adapter, the duties and the backend
// servers, for requests of callers and jobs of trainers.
func TestFrontServesRequestsAndJobs(t *testing.T) {
	f, ctx, c := newServingFleet(t, 2)
	job := standin.JobSpec{ID: "j1", MinVersion: 1, Groups: 2, GroupSize: 2, Events: 5}
	if err := c.Submit(ctx, job); err != nil {
		t.Fatal(err)
	}
	results, err := c.ReadAll(ctx, "j1")
	if err != nil {
		t.Fatal(err)
	}
	checkResults(t, job, results)
	again, err := c.ReadAll(ctx, "j1") // at the other daemon
	if err != nil || !reflect.DeepEqual(again, results) {
		t.Errorf("another read gives %v, %v in place of %v", again, err, results)
	}
	if err := c.End(ctx, "j1"); err != nil {
		t.Error(err)
	}
	if a, err := c.Send(ctx, http.MethodGet, "/api/lots/none?after=0", "r", nil); err != nil || a.Status != http.StatusNotFound {
		t.Errorf("an unknown job: %d, %v", a.Status, err)
	}
	f.stop(t)
}

func (f *fleet) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	for _, d := range f.daemons {
		d.isStopping.Store(true)
		if d.isReady() {
			t.Error("a daemon that stops is ready")
		}
		d.runner.Stop(ctx)
	}
}

// checkResults fails unless each item of the job has exactly one result with the
// complete text.
func checkResults(t *testing.T, job standin.JobSpec, results []standin.Result) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] || r.State != "done" || r.Text != standin.Text(r.ID, job.Events) || r.Score != standin.Signature("r-"+r.ID) {
			t.Errorf("result %+v", r)
		}
		seen[r.ID] = true
	}
	for _, id := range job.Items() {
		if !seen[id] {
			t.Errorf("item %s has no result", id)
		}
	}
}

// Guards against a named version that does not reach the engines, and against
// items that run under an older one than their job allows.
func TestFrontBringsNamedVersions(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	if err := deployment.PublishVersion(f.store, 2); err != nil {
		t.Fatal(err)
	}
	job := standin.JobSpec{ID: "j2", Step: 2, MinVersion: 2, Groups: 1, GroupSize: 4, Events: 3}
	if err := c.Submit(ctx, job); err != nil {
		t.Fatal(err)
	}
	results, err := c.ReadAll(ctx, "j2")
	if err != nil {
		t.Fatal(err)
	}
	checkResults(t, job, results)
	for _, r := range results {
		if !reflect.DeepEqual(r.Versions, []core.Version{2}) {
			t.Errorf("versions %v of a result that needs version 2", r.Versions)
		}
	}
	f.stop(t)
}

// Guards against malformed input that crashes a daemon, is forwarded to a server, or
// is not answered with the right status.
func TestFrontRefusesMalformedInput(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	before, err := f.plain.Runs(ctx)
	if err != nil {
		t.Fatal(err)
	}
	item := `{"id":"a","path":"/batch/1","body":"eA=="}`
	cases := []struct {
		what, path string
		body       []byte
		status     int
	}{
		{"a path without a route", "/none/", nil, http.StatusNotFound},
		{"a body over the limit", "/plain/1", make([]byte, 100_001), http.StatusRequestEntityTooLarge},
		{"broken JSON", "/batch/j", []byte(`{"items":[`), http.StatusBadRequest},
		{"JSON of another type", "/batch/j", []byte(`[1,2]`), http.StatusBadRequest},
		{"an item without id", "/batch/j", []byte(`{"items":[{"path":"/batch/1"}]}`), http.StatusBadRequest},
		{"an item listed twice", "/batch/j", []byte(`{"items":[` + item + "," + item + `]}`), http.StatusBadRequest},
		{"an item with a request in its path", "/batch/j", []byte(`{"items":[{"id":"a","path":"/batch/1 HTTP/1.1\r\nAttempt-Id: smuggled\r\n\r\nGET /batch/2","body":"eA=="}]}`), http.StatusBadRequest},
		{"an item without a path", "/batch/j", []byte(`{"items":[{"id":"a","body":"eA=="}]}`), http.StatusBadRequest},
		{"a reward call with a space in its path", "/batch/j", []byte(`{"items":[{"id":"a","path":"/batch/1","scorer":{"id":"r","host":"h","path":"/plain/ r"}}]}`), http.StatusBadRequest},
		{"a body that is no base64", "/batch/j", []byte(`{"items":[{"id":"a","body":"%"}]}`), http.StatusBadRequest},
	}
	for _, test := range cases {
		a, err := c.Send(ctx, http.MethodPost, test.path, "bad", test.body)
		if err != nil || a.Status != test.status {
			t.Errorf("%s: status %d, %v", test.what, a.Status, err)
		}
	}
	padding := strings.Repeat("x", 20<<10)
	if status := sendRaw(t, f.callers[0], "POST /plain/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: padded\r\nBig: "+padding+"\r\nContent-Length: 0\r\n\r\n", false); status != http.StatusOK {
		t.Errorf("headers within the limit: status %d", status)
	}
	if status := sendRaw(t, f.callers[0], "POST /plain/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: bad\r\nBig: "+padding+padding+"\r\nContent-Length: 0\r\n\r\n", false); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("headers over the limit: status %d", status)
	}
	raw := []struct{ what, text string }{
		{"a header over the limit", "POST /plain/1 HTTP/1.1\r\nHost: h\r\nBig: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 0\r\n\r\n"},
		{"a length and chunks at once", "POST /plain/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: smuggled\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /plain/2 HTTP/1.1\r\nHost: h\r\nAttempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n"},
		{"two lengths", "POST /plain/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: smuggled\r\nContent-Length: 0\r\nContent-Length: 46\r\n\r\nPOST /plain/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		{"chunks broken off", "POST /plain/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: smuggled\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nshort"},
		{"a body broken off", "POST /plain/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: smuggled\r\nContent-Length: 10\r\n\r\nshort"},
		{"bytes that are no request", "\x00\x01\x02\r\n\r\n"},
	}
	for _, test := range raw {
		if status := sendRaw(t, f.callers[0], test.text, true); status/100 == 2 {
			t.Errorf("%s: status %d", test.what, status)
		}
	}
	runs, err := f.plain.Runs(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, run := range runs[len(before):] {
		if run.Request == "padded" {
			continue
		}
		t.Errorf("malformed input reached a server as request %q", run.Request)
	}
	f.awaitServed(ctx, t, c)
	f.stop(t)
}

// sendRaw sends bytes and returns the status of the first answer, or 0 if there is
// none. breakOff closes the sending side after the bytes.
func sendRaw(t *testing.T, address, text string, breakOff bool) int {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	// The daemon may close the connection before it has read everything.
	_, _ = io.WriteString(conn, text)
	if breakOff {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// Guards against a malformed entry or object by another writer that crashes a daemon
// or replaces a valid one.
func TestFrontIgnoresForeignObjects(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	for kind, specs := range map[string][]any{
		adapter.KindServers:  {7, "text", []int{1}, nil, map[string]any{"service": "desk"}, map[string]any{"service": "desk", "address": 5, "state": "ready"}, map[string]any{"service": "desk", "address": "127.0.0.1:1", "state": "lost"}},
		adapter.KindVersions: {7, map[string]any{"model": "m", "version": "two"}, map[string]any{"version": 9}},
		adapter.KindConfig:   {"text", map[string]any{"version": "four"}},
		kindDaemons:          {7, map[string]any{"value": map[string]any{"address": 5}}},
	} {
		for i, spec := range specs {
			if err := f.store.Put(kind, fmt.Sprintf("foreign-%d", i), spec); err != nil {
				t.Fatal(err)
			}
		}
	}
	// The configuration's own object, overwritten by bytes that are no configuration.
	if err := f.store.Put(adapter.KindConfig, "main", "text"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "log of the entries", func() bool {
		return f.log.has("entry of a backend server cannot be decoded") && f.log.has("configuration cannot be decoded")
	})
	f.awaitServed(ctx, t, c)
	f.stop(t)
}
