package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is what a worker saw of a request that it began to run.
type run struct {
	worker, id, method, target string
	header                     http.Header
	body                       []byte
	at                         time.Time
}

// worker is a stand-in of a plain worker.
type worker struct {
	id, service, zone, address string
	store                      *store
	server                     *http.Server
	born                       int64
	slots                      int
	software                   string
	work                       time.Duration
	models                     []map[string]any
	// serve replaces the usual answer; nil keeps it.
	serve func(w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	runs     []run
	sequence int64
	stopped  bool
	state    string
}

const workerHeartbeat = 1200 * time.Millisecond

func startWorker(w *worker) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	w.address, w.born, w.state = l.Addr().String(), time.Now().UnixMilli(), "ready"
	if w.slots == 0 {
		w.slots = 16
	}
	if w.software == "" {
		w.software = "v1"
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.checkIn()
	return w
}

// checkIn writes the worker's entry at its start and then each heartbeat, at a time that
// differs between workers.
func (w *worker) checkIn() {
	w.register()
	time.Sleep(time.Duration(rand.Int64N(int64(workerHeartbeat))))
	for {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		w.register()
		time.Sleep(workerHeartbeat)
	}
}

func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.software, "slots": w.slots, "state": w.state,
		"coldRemainingMs": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.models != nil {
		entry["stage"], entry["models"] = "both", w.models
	}
	w.store.put("servers", w.id, entry)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if e := r.Header.Get("Expect-Instance"); e != "" && e != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.serve != nil {
		w.serve(out, r, body)
		return
	}
	w.addRun(r, body)
	time.Sleep(w.work)
	w.answer(out, r, bytes.ToUpper(body))
}

func (w *worker) addRun(r *http.Request, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{worker: w.id, id: r.Header.Get("Attempt-Id"), method: r.Method, target: r.RequestURI, header: r.Header.Clone(), body: body, at: time.Now()})
}

func (w *worker) answer(out http.ResponseWriter, r *http.Request, body []byte) {
	h := out.Header()
	h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	h.Set("Server-Stamp", stamp(r.Header.Get("Attempt-Id")))
	h.Set("Instance-Load", fmt.Sprintf("1,0,%d", w.slots))
	w.setLeaving(h)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	out.WriteHeader(http.StatusOK)
	_, _ = out.Write(body)
}

// setLeaving marks an answer of a worker that leaves.
func (w *worker) setLeaving(h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "draining" {
		h.Set("Server-Leaving", "1")
	}
}

func stamp(id string) string { return "stamp." + id }

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run{}, w.runs...)
}
