package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedObject is one object of the stand-in of the platform's store.
type storedObject struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storedEvent struct {
	kind     string
	revision int64
	Object   storedObject `json:"object"`
	Deleted  bool         `json:"deleted"`
}

const (
	listPageSize  = 500
	storeLatency  = 4 * time.Millisecond
	maxEvents     = 100000
	maxWatchWait  = 30 * time.Second
	watchPollTime = 5 * time.Millisecond
)

// storeDoor is the store as one machine reaches it.
type storeDoor struct {
	store *store
	mu    sync.Mutex
	from  time.Time // of the last silence
	until time.Time
	lost  []string // calls that got no answer
}

// openDoor returns an address of the store for one machine.
func (s *store) openDoor(ip string) (*storeDoor, string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, "", err
	}
	d := &storeDoor{store: s}
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(l) }()
	return d, l.Addr().String(), nil
}

// beSilent makes the store silent to the machine: a call that arrives meanwhile gets no
// answer, and its channel returns nothing further. Calls that have waited since before, such
// as watches, are answered when it is over.
func (d *storeDoor) beSilent(from time.Time, length time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.from, d.until, d.lost = from, from.Add(length), nil
}

// silentFor returns how long the store is still silent to the machine.
func (d *storeDoor) silentFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Before(d.from) {
		return 0
	}
	return d.until.Sub(now)
}

func (d *storeDoor) lostCalls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string{}, d.lost...)
}

func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.silentFor() > 0 {
		d.mu.Lock()
		d.lost = append(d.lost, r.Method+" "+r.URL.RequestURI())
		d.mu.Unlock()
		<-r.Context().Done()
		return
	}
	held := &heldAnswer{header: http.Header{}}
	d.store.ServeHTTP(held, r)
	time.Sleep(d.silentFor())
	if held.status == 0 {
		return // the machine has left
	}
	for name, values := range held.header {
		w.Header()[name] = values
	}
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body)
}

// heldAnswer is an answer before it is known whether it is lost.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (h *heldAnswer) Header() http.Header { return h.header }
func (h *heldAnswer) WriteHeader(s int)   { h.status = s }
func (h *heldAnswer) Write(b []byte) (int, error) {
	h.body = append(h.body, b...)
	return len(b), nil
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It
// loses nothing, answers linearizably and keeps its history.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]storedObject
	events   []storedEvent
	revision int64
	address  string
	record   *record
	server   *http.Server
}

func startStore(rec *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{objects: map[string]map[string]storedObject{}, revision: 1, record: rec, address: l.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes the spec of an object without a condition, as the operator, a worker or a
// trainer does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec = raw
	s.apply(kind, o, false)
}

// remove deletes an object if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.apply(kind, o, true)
	}
}

// get returns the spec of an object; nil if there is none.
func (s *store) get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// apply runs under mu.
func (s *store) apply(kind string, o storedObject, deleted bool) storedObject {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.events = append(s.events, storedEvent{kind: kind, revision: s.revision, Object: o, Deleted: deleted})
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	kind, name, _ := strings.Cut(rest, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, q.Get("after"))
	default:
		s.write(w, r, kind, name, isStatus, body)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > listPageSize
	names = names[:min(len(names), listPageSize)]
	items := []storedObject{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("watch"), 10, 64)
	wait := maxWatchWait
	if ms, err := strconv.Atoi(q.Get("waitMs")); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	until := time.Now().Add(wait)
	for {
		events := []storedEvent{}
		s.mu.Lock()
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(e storedEvent, t int64) int { return int(e.revision - t) })
		for _, e := range s.events[first:] {
			if e.kind == kind {
				events = append(events, e)
			}
		}
		revision := s.revision
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(until) {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(watchPollTime):
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool, body []byte) {
	var sent storedObject
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	condition := sent.Metadata.Revision
	if n, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		condition = n
	}
	s.mu.Lock()
	before, exists := s.objects[kind][name]
	status, out := http.StatusOK, before
	switch {
	case r.Method == http.MethodPost && exists, exists && condition != 0 && condition != before.Metadata.Revision:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		out = s.apply(kind, before, true)
	default:
		next := before
		next.Metadata.Name = name
		if isStatus {
			next.Status = sent.Status
		} else {
			next.Spec = sent.Spec
		}
		out = s.apply(kind, next, false)
	}
	s.mu.Unlock()
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	reply(w, status, out)
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
