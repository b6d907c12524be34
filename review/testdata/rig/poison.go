package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = runPoison }

const (
	// crashedFor is how long a worker stays away after a crash.
	crashedFor = 3 * time.Second
	// resentEvery is the time after which the requester sends the request again.
	resentEvery = 1500 * time.Millisecond
)

// fleet is a service whose workers crash when they begin to run one request.
type fleet struct {
	g       *rig
	mu      sync.Mutex
	workers []*worker
	crashes []time.Time
	reached []run // runs of the request that crashes workers
	boots   int
}

// boot starts a worker at an address, or at a new one if it is empty. Each start has a
// new id.
func (f *fleet) boot(address, zone string) {
	f.mu.Lock()
	f.boots++
	w := &worker{id: fmt.Sprintf("i-%08x", 0x51ab00+f.boots), service: plainService, zone: zone, store: f.g.store, work: 20 * time.Millisecond, slots: 6}
	f.mu.Unlock()
	w.serve = func(out http.ResponseWriter, r *http.Request, body []byte) {
		if !strings.HasPrefix(string(body), "poison") {
			w.addRun(r, body)
			time.Sleep(w.work)
			w.answer(out, r, body)
			return
		}
		f.mu.Lock()
		f.reached = append(f.reached, run{worker: w.id, id: r.Header.Get("Attempt-Id"), at: time.Now()})
		f.crashes = append(f.crashes, time.Now())
		n := len(f.crashes)
		f.mu.Unlock()
		f.g.record.add("request %s runs at %s and crashes it (crash %d)", r.Header.Get("Attempt-Id"), w.id, n)
		w.crash()
		go func() {
			time.Sleep(crashedFor)
			f.boot(w.address, zone)
		}()
	}
	w.listenAt(address)
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
}

// listenAt starts the worker at the address; empty is a new one.
func (w *worker) listenAt(address string) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		w.store.record.add("a worker cannot listen on %s: %v", address, err)
		return
	}
	w.address, w.born, w.state, w.software = l.Addr().String(), time.Now().UnixMilli(), "ready", "v1"
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.checkIn()
}

// crash ends the worker at once: its channels break, and new ones are refused. Its entry
// stays for three check-in intervals.
func (w *worker) crash() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	_ = w.server.Close()
	go func() {
		time.Sleep(3 * workerHeartbeat)
		w.store.remove("servers", w.id)
	}()
}

func runPoison(rec *record, trouble bool) bool {
	g := newRig(rec, phcc)
	defer g.close()
	g.configure(1, nil)
	f := &fleet{g: g}
	for i := range 10 {
		f.boot("", g.zones[i%3])
	}
	for range 9 {
		g.addFront()
	}
	g.startAll()
	time.Sleep(4 * time.Second)
	body := "poison"
	if !trouble {
		body = "harmless"
	}
	sent, answers := 0, map[int]int{}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(resentEvery) {
		id := newID()
		front := g.fronts[rand.IntN(len(g.fronts))]
		a := send(front.frontend, http.MethodPost, plainPrefix+"card/17", id, nil, []byte(body), 2*time.Second)
		rec.add("sent %s at %s: %d (%v)", id, front.name, a.status, a.err)
		sent++
		answers[a.status]++
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	late := map[string]bool{}
	if len(f.crashes) >= 3 {
		const stable = 3 * time.Second
		for _, r := range f.reached {
			if r.at.After(f.crashes[2].Add(stable)) {
				late[r.id] = true
			}
		}
	}
	rec.say("sent %d times, answers %v; %d crashes; %d requests reached workers later than stableMs after the third crash", sent, answers, len(f.crashes), len(late))
	return len(late) > 3
}
