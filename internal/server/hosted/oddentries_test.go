package hosted

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	adapter "github.com/berylfall/berylfall/platform"
)

// oddSpecs are specs of entries by another writer, as bytes in the store's answers.
func oddSpecs() []string {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	server := func(field string) string {
		return `{"service":"desk","zone":"a","state":"ready","slots":4,"address":"127.0.0.1:9",` + field + `}`
	}
	return []string{
		nested, server(`"x":` + nested), server(`"slots":99999999999999999999`), server(`"slots":9000000000000000000`), server(`"slots":-5`), server(`"slots":1e400`),
		server(`"address":"127.0.0.1:99999"`), server(`"address":"localhost:9"`), server(`"state":"lost"`), server(`"zone":""`), server("\"x\":\"\x00\xff\""),
		`null`, `"text"`, `7`, `nope`, `{"address":"127.0.0.1:9"}`, `{"writeToken":"t","value":` + nested + `}`, `{"writeToken":"t","value":{"address":"127.0.0.1:99999"}}`,
		`{"writeToken":"t","value":null}`, `{"model":"m","version":900}`, `{"version":900,"routes":[]}`, `"` + strings.Repeat("a", 300<<10) + `"`,
	}
}

// oddStore passes calls on to a store, and adds odd entries to each list and watch.
type oddStore struct {
	address string
	entries []string

	mu      sync.Mutex
	lists   map[string]int // by path
	watches map[string]int
}

func newOddStore(t *testing.T, store string) (*oddStore, string) {
	t.Helper()
	s := &oddStore{address: store, lists: map[string]int{}, watches: map[string]int{}}
	for i, spec := range oddSpecs() {
		s.entries = append(s.entries, fmt.Sprintf(`{"metadata":{"name":"odd-%d","revision":1},"spec":%s}`, i, spec))
	}
	s.entries = append(s.entries, `null`, `{"spec":{}}`, `{"metadata":{"name":"odd","revision":-1},"spec":{}}`, `{"metadata":{"name":7,"revision":1},"spec":{}}`)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

// ServeHTTP implements http.Handler.
func (s *oddStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.address+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	isKind := strings.Count(r.URL.Path, "/") == strings.Count(adapter.PathObjects, "/")
	if response.StatusCode == http.StatusOK && r.Method == http.MethodGet && isKind {
		body = []byte(s.addOdd(r, string(body)))
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
}

func (s *oddStore) addOdd(r *http.Request, body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.URL.Query().Has("watch") {
		s.lists[r.URL.Path]++
		odd := strings.Join(s.entries, ",")
		if rest, found := strings.CutPrefix(body, `{"items":[`); found {
			return `{"items":[` + odd + "," + rest
		}
		return `{"items":[` + odd + `],` + strings.TrimPrefix(body, "{")
	}
	s.watches[r.URL.Path]++
	rest, found := strings.CutPrefix(body, `{"events":[`)
	if !found {
		return body
	}
	var events strings.Builder
	for _, e := range s.entries {
		events.WriteString(`{"object":` + e + `,"deleted":false},` + e + ",")
	}
	return `{"events":[` + events.String() + rest
}

func (s *oddStore) counts(kind string) (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[adapter.PathObjects+kind], s.watches[adapter.PathObjects+kind]
}

// Guards against odd entries of another writer that end a daemon, that end its lists and
// watches of the good ones beside them, that are taken for servers, daemons or versions,
// or that are logged and read again and again.
func TestOddEntriesBesideGoodOnes(t *testing.T) {
	f := newFleet(t, 0)
	odd, address := newOddStore(t, f.store.Address())
	f.startDaemon(t, address)
	d := f.daemons[0]
	waitFor(t, "a configuration", d.isReady)
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	t.Cleanup(cancel)
	f.awaitServed(ctx, t, f.client())

	kinds := []string{adapter.KindServers, adapter.KindConfig, kindDaemons}
	const maxReads = 20 // of a kind, far below those of a loop
	for round := range 2 {
		// Changes of good entries arrive.
		id, version := fmt.Sprintf("desk-new-%d", round), int64(10+round)
		if err := f.store.Put(adapter.KindServers, id, map[string]any{"service": "other", "address": "127.0.0.1:9", "zone": "a", "slots": 4, "state": "ready"}); err != nil {
			t.Fatal(err)
		}
		if err := deployment.Configure(f.store, version); err != nil {
			t.Fatal(err)
		}
		peer := fmt.Sprintf("127.0.0.1:%d", 10+round)
		entry := map[string]any{"writeToken": "t", "value": map[string]any{"address": peer}}
		if err := f.store.Put(kindDaemons, "front-new-"+peer, entry); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the new server", func() bool { return len(f.linesOf(t, "backend server changed", "backend_server", id)) == 1 })
		waitFor(t, "the new configuration", func() bool { return d.routes.Current().Version == version })
		waitFor(t, "the new daemon", func() bool { return slices.Contains(d.peerList.otherAddresses(), peer) })
		before := map[string]int{}
		for _, kind := range kinds {
			lists, watches := odd.counts(kind)
			if lists > maxReads || watches > maxReads {
				t.Errorf("%s: %d lists and %d watches", kind, lists, watches)
			}
			before[kind] = lists
		}
		for _, w := range d.watchers {
			w.Relist()
		}
		for _, kind := range kinds {
			waitFor(t, "another list of "+kind, func() bool { lists, _ := odd.counts(kind); return lists > before[kind] })
		}
	}
	if others := d.peerList.otherAddresses(); len(others) != 2 {
		t.Errorf("daemons %v, want 2", others)
	}
	for i := range oddSpecs() {
		object := fmt.Sprintf("servers/odd-%d", i)
		if n := len(f.linesOf(t, "entry of a backend server cannot be decoded", "object", object)); n != 1 {
			t.Errorf("%s is logged %d times", object, n)
		}
	}
	if f.log.has(`"backend_server":"odd`) {
		t.Error("an odd entry is taken for a server")
	}
	var metrics strings.Builder
	if err := d.writeMetrics(&metrics); err != nil || !strings.Contains(metrics.String(), fmt.Sprintf("berylfall_undecodable_entries_total{kind=\"servers\"} %d\n", len(oddSpecs())+2)) {
		t.Errorf("metrics %s, %v", metrics.String(), err)
	}
	f.stop(t)
}

// Guards against a daemon that the others lose, or that only some of them know, because
// another writer has replaced its entry.
func TestDaemonRepairsItsEntry(t *testing.T) {
	f := newFleet(t, 2)
	first, second := f.daemons[0], f.daemons[1]
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	t.Cleanup(cancel)
	key, address := kindDaemons+"/"+first.hostSettings.Host, first.hostSettings.PeerAddress
	knows := func() bool { return slices.Contains(second.peerList.otherAddresses(), address) }
	waitFor(t, "the other daemon", knows)
	for _, spec := range []any{7, map[string]any{"writeToken": "t", "value": map[string]any{"address": "127.0.0.1:99999"}}} {
		before, err := first.storeClient.Get(ctx, key)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.store.Put(kindDaemons, first.hostSettings.Host, spec); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the daemon's own entry in the store", func() bool {
			o, err := first.storeClient.Get(ctx, key)
			return err == nil && o.Version > before.Version && strings.Contains(string(o.Value), address)
		})
		waitFor(t, "the other daemon", knows)
	}
	f.stop(t)
}

// Guards against the log of an odd entry with each change of its other fields, and
// against one whose new fault is not logged.
func TestOddEntryIsReportedWhenItsFaultChanges(t *testing.T) {
	var entries oddEntries
	entries.remove("servers/a")
	steps := []struct {
		key, fault string
		isNew      bool
	}{{"servers/a", "x", true}, {"servers/a", "x", false}, {"servers/b", "x", true}, {"servers/a", "y", true}, {"servers/a", "x", true}}
	for i, s := range steps {
		if got := entries.add(s.key, s.fault); got != s.isNew {
			t.Errorf("step %d: reported %v", i, got)
		}
	}
	entries.remove("servers/a")
	if !entries.add("servers/a", "x") || entries.add("servers/b", "x") {
		t.Error("an entry that was good in between is not reported again")
	}
}
