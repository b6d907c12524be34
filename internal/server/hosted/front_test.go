package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	adapter "github.com/berylfall/berylfall/platform"
)

// patience bounds the waits of a test; events end them sooner.
const patience = 30 * time.Second

type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// objectStore is a stand-in of the platform's store.
type objectStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]object // by kind/name
	changed  chan struct{}     // closed at each change
}

func newObjectStore() *objectStore {
	return &objectStore{revision: 1, objects: map[string]object{}, changed: make(chan struct{})}
}

func (s *objectStore) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	var o object
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, json.RawMessage(spec)
	s.objects[kind+"/"+name] = o
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *objectStore) get(key string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		o, ok := s.get(kind + "/" + name)
		reply(w, ok, o)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		items := s.since(kind, 0, r.URL.Query().Get("after"))
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "storeRevision": s.revision})
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, ok bool, o object) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *objectStore) since(kind string, revision int64, after string) []object {
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Revision > revision && o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	return items
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	revision, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	for {
		s.mu.Lock()
		items, changed, now := s.since(kind, revision, ""), s.changed, s.revision
		s.mu.Unlock()
		if len(items) > 0 {
			events := []map[string]any{}
			for _, o := range items {
				events = append(events, map[string]any{"object": o, "deleted": false})
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": now})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *objectStore) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	before, exists := s.get(kind + "/" + name)
	conflict := exists && (r.Method == http.MethodPost || (o.Metadata.Revision != 0 && o.Metadata.Revision != before.Metadata.Revision))
	if conflict {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.put(kind, name, string(o.Spec))
	after, _ := s.get(kind + "/" + name)
	_ = json.NewEncoder(w).Encode(after)
}

// serve answers as an engine on /gen/ and as a plain service elsewhere.
func serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	if !strings.HasPrefix(r.URL.Path, "/gen/") {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "answer to %s", body)
		return
	}
	w.Header().Set("Weight-Versions", "1")
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i, id, i)
		w.(http.Flusher).Flush()
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startFronts starts daemons over one store with one server of two services.
func startFronts(t *testing.T, n int) (daemons []*frontDaemon, callers []string) {
	t.Helper()
	store := newObjectStore()
	server := httptest.NewServer(http.HandlerFunc(serve))
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		storeServer.CloseClientConnections()
	})
	address := strings.TrimPrefix(server.URL, "http://")
	store.put("config", "main", `{"version":3,"routes":[{"name":"p","host":"h","pathPrefix":"/plain/","type":"safe","timeoutMs":5000,"service":"desk","maxAttempts":2},
	 {"name":"g","host":"h","pathPrefix":"/gen/","type":"rollout","service":"model","maxAttempts":3,"maxQueueS":30}],
	 "services":[{"name":"desk"},{"name":"model","engine":{"slots":4,"models":[{"name":"m"}]}}],"limits":{"maxBodyBytes":100000}}`)
	store.put("servers", "i-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":4,"state":"ready"}`, address))
	store.put("servers", "i-2", fmt.Sprintf(`{"service":"model","address":%q,"zone":"a","slots":4,"state":"ready","models":[{"name":"m","version":1}]}`, address))
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range n {
		set := &adapter.Settings{
			Host: fmt.Sprintf("front-%d", i), DataCentre: "a", PeerAddress: freeAddress(t), Callers: freeAddress(t), Readiness: freeAddress(t),
			Store:  adapter.StoreSettings{Address: strings.TrimPrefix(storeServer.URL, "http://"), WritesPerSecond: 400, ReadsPerSecond: 2000},
			Bounds: adapter.Bounds{StopGrace: 8 * time.Second, LeaseTurn: 3 * time.Second, Drain: 2 * time.Second},
		}
		d, err := buildFront(set, logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		daemons = append(daemons, d.(*frontDaemon))
		callers = append(callers, set.Callers)
	}
	for _, d := range daemons {
		waitFor(t, "a configuration", d.isReady)
	}
	return daemons, callers
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("no %s within %v", what, patience)
}

// send makes one request and returns its status and body.
func send(t *testing.T, method, address, path, id, body string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// Guards against a path from a caller or trainer to a server and back that
// breaks anywhere between the adapter and the duties.
func TestFrontServesRequestsAndJobs(t *testing.T) {
	daemons, callers := startFronts(t, 2)
	waitFor(t, "answer", func() bool {
		status, body := send(t, http.MethodPost, callers[0], "/plain/1", "a1", "x")
		return status == http.StatusOK && body == "answer to x"
	})
	if status, _ := send(t, http.MethodPost, callers[0], "/none/", "a2", "x"); status != http.StatusNotFound {
		t.Errorf("a path without a route: %d", status)
	}
	if status, _ := send(t, http.MethodPost, callers[0], "/gen/j", "j0", "{"); status != http.StatusBadRequest {
		t.Errorf("a malformed job: %d", status)
	}
	if status, _ := send(t, http.MethodPost, callers[0], "/plain/1", "a3", strings.Repeat("x", 200000)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body over the limit: %d", status)
	}
	job := `{"step":0,"model":"m","minVersion":1,"desiredCount":1,"items":[{"id":"i1","path":"/gen/1","headers":{},"body":"eA==","group":"g","scorer":{"id":"s1","host":"h","path":"/plain/s","body":"eQ=="}}]}`
	if status, body := send(t, http.MethodPost, callers[0], "/gen/j", "j1", job); status != http.StatusAccepted {
		t.Fatalf("job: %d %s", status, body)
	}
	want := `"results":[{"id":"i1","state":"done","text":"i1.1\ni1.2\ni1.3","versions":[1],"score":"stamp-s1"}]`
	for _, address := range callers {
		waitFor(t, "result at "+address, func() bool {
			status, body := send(t, http.MethodGet, address, "/api/lots/j1?after=0", "r", "")
			return status == http.StatusOK && strings.Contains(body, want)
		})
	}
	if status, body := send(t, http.MethodGet, callers[1], "/api/items/j1?id=i1", "r", ""); status != http.StatusOK || body != "x" {
		t.Errorf("body of an item: %d %q", status, body)
	}
	if status, _ := send(t, http.MethodDelete, callers[1], "/api/lots/j1", "r", ""); status != http.StatusOK {
		t.Errorf("end: %d", status)
	}
	if status, _ := send(t, http.MethodGet, callers[1], "/api/lots/none?after=0", "r", ""); status != http.StatusNotFound {
		t.Errorf("an unknown job: %d", status)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	for _, d := range daemons {
		d.stopping.Store(true)
		if d.isReady() {
			t.Error("a daemon that stops is ready")
		}
		d.runner.Stop(ctx)
	}
}
