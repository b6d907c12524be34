package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// order is an order as an engine received it.
type order struct {
	engine, holder string
	fence, version int64
	at             time.Time
	status         int
}

// engine is a stand-in of a model worker.
type engine struct {
	worker
	eventEvery time.Duration
	loadTime   time.Duration
	// dropAnswer tells whether the answer to an order that was accepted is lost.
	dropAnswer func(o order) bool
	onOrder    func(o order)

	engineMu sync.Mutex
	version  int64
	loading  bool
	accepted int64
	running  int
	waiting  int
	orders   []order
}

func startEngine(e *engine) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	e.version, e.service = 1, modelService
	if e.loadTime == 0 {
		e.loadTime = 900 * time.Millisecond
	}
	e.address, e.born, e.state, e.slots = l.Addr().String(), time.Now().UnixMilli(), "ready", 16
	if e.software == "" {
		e.software = "v1"
	}
	e.setModels()
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func() { _ = e.server.Serve(l) }()
	go e.checkIn()
	return e
}

func (e *engine) setModels() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = []map[string]any{{"name": model, "version": e.version, "adapters": []string{}}}
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.engineMu.Lock()
		body := map[string]any{
			"stage": "both", "models": []map[string]any{{"name": model, "version": e.version, "adapters": []string{}}},
			"busy": e.loading, "sequence": e.accepted, "queued": e.waiting, "active": e.running, "kvUsed": 0, "kvTotal": 86672, "handles": 0, "born": e.born,
		}
		e.engineMu.Unlock()
		reply(w, http.StatusOK, body)
	case "/api/order":
		e.handleOrder(w, r)
	default:
		e.generate(w, r)
	}
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Operation    string
		Model        string
		Version      int64
		Mode         string
		Holder       string
		FencingToken int64
		Expected     *int64
	}
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &m) != nil || m.Operation != "version" || m.Holder == "" || m.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.engineMu.Lock()
	o := order{engine: e.id, holder: m.Holder, fence: m.FencingToken, version: m.Version, at: time.Now(), status: http.StatusAccepted}
	switch {
	case e.loading || (m.Expected != nil && *m.Expected != e.accepted):
		o.status = http.StatusConflict
	case e.version == m.Version:
		o.status = http.StatusOK
	default:
		e.loading = true
		e.accepted++
	}
	e.orders = append(e.orders, o)
	e.engineMu.Unlock()
	if e.onOrder != nil {
		e.onOrder(o)
	}
	if o.status == http.StatusAccepted {
		go e.load(m.Version, m.Mode)
		if e.dropAnswer != nil && e.dropAnswer(o) {
			<-r.Context().Done()
			return
		}
	}
	w.WriteHeader(o.status)
}

// load brings the version; in the mode wait, runs finish first.
func (e *engine) load(version int64, mode string) {
	for mode == "wait" {
		e.engineMu.Lock()
		n := e.running
		e.engineMu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(e.loadTime)
	e.engineMu.Lock()
	e.version, e.loading = version, false
	e.engineMu.Unlock()
	e.setModels()
	e.register()
}

// takeSlot takes a slot for a request. A few requests wait for one; none starts while an
// order is carried out.
func (e *engine) takeSlot(r *http.Request) bool {
	const queue = 8
	isWaiting := false
	for {
		e.engineMu.Lock()
		switch {
		case e.loading, !isWaiting && e.running >= e.slots && e.waiting >= queue, r.Context().Err() != nil:
			if isWaiting {
				e.waiting--
			}
			e.engineMu.Unlock()
			return false
		case e.running < e.slots:
			if isWaiting {
				e.waiting--
			}
			e.running++
			e.engineMu.Unlock()
			return true
		case !isWaiting:
			isWaiting = true
			e.waiting++
		}
		e.engineMu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, out, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	events, _ := strconv.Atoi(out)
	h := w.Header()
	h.Set("Attempt-Id", id)
	if !e.takeSlot(r) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.engineMu.Lock()
	version := e.version
	e.engineMu.Unlock()
	defer func() {
		e.engineMu.Lock()
		e.running--
		e.engineMu.Unlock()
	}()
	e.addRun(r, body)
	h.Set("Server-Stamp", stamp(id))
	h.Set("Instance-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	e.setLeaving(h)
	h.Set("Weight-Versions", strconv.FormatInt(version, 10))
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := w.(http.Flusher)
	flush.Flush()
	for i := from + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.eventEvery):
		}
		e.engineMu.Lock()
		now := e.version
		e.engineMu.Unlock()
		line := ""
		if now != version {
			version = now
			line = fmt.Sprintf("weight-versions: %d\n", now)
		}
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s.%d\n\n", line, i, id, i); err != nil {
			return
		}
		flush.Flush()
	}
}
