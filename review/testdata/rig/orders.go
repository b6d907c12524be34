package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

func init() { cases["orders"] = runOrders }

const (
	leaseTurn   = 3 * time.Second // leaseMs
	orderCycles = 6
	cycleLength = 13 * time.Second
)

// newJob returns a batch job of a trainer with one group, whose items are short.
func newJob(step, version int) (id string, body []byte) {
	const items, events = 4, 5
	id = newID()
	list := []object{}
	for range items {
		item := newID()
		list = append(list, object{
			"id": item, "path": batchPrefix + strconv.Itoa(step) + "/" + item, "tokens": 10 + events, "group": id + "-0",
			"headers": map[string]string{"Model": model, "Token-Count": fmt.Sprintf("10,%d", events), "Prompt-Prefix": item + ":10"},
			"body":    base64.StdEncoding.EncodeToString([]byte("prompt of " + item)),
			"scorer":  object{"id": newID(), "host": host, "path": rewardPrefix + item, "body": base64.StdEncoding.EncodeToString([]byte(item))},
		})
	}
	body, err := json.Marshal(object{"step": step, "model": model, "minVersion": max(1, version-1), "desiredCount": 1, "items": list})
	if err != nil {
		panic(err)
	}
	return id, body
}

// trainer requests its steps ahead: several of its batch jobs are open.
type trainer struct {
	g             *rig
	step, version int
}

// submit submits the job of the next step and returns its id.
func (t *trainer) submit() string {
	id, body := newJob(t.step, t.version)
	t.step++
	for range 4 {
		a := send(t.g.pick(nil).frontend, http.MethodPost, batchPrefix+id, id, nil, body, 2*time.Second)
		t.g.record.add("step %d, job %s is sent: %d (%v)", t.step-1, id, a.status, a.err)
		if a.status == http.StatusAccepted {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id
}

// finish reads the group of the job twice a second, at most until the time limit, and ends
// the job.
func (t *trainer) finish(id string, limit time.Time) {
	var results struct {
		Total   int
		Results []struct{ State string }
	}
	for {
		a := send(t.g.pick(nil).frontend, http.MethodGet, "/api/lots/"+id+"?after=0", newID(), map[string]string{"Wait-Ms": "1000"}, nil, 2*time.Second)
		if a.status == http.StatusOK && json.Unmarshal(a.body, &results) == nil && len(results.Results) == results.Total || time.Now().After(limit) {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	a := send(t.g.pick(nil).frontend, http.MethodDelete, "/api/lots/"+id, newID(), nil, nil, 2*time.Second)
	t.g.record.add("job %s is ended with %d of %d results read: %d (%v)", id, len(results.Results), results.Total, a.status, a.err)
}

// name names the next version, once the training is over.
func (t *trainer) name() {
	t.version++
	t.g.store.put("versions", model, object{"model": model, "version": t.version})
	t.g.record.add("version %d is named", t.version)
}

// orderLog holds the orders of all engines.
type orderLog struct {
	mu     sync.Mutex
	orders []order
	// loses is the engine whose next order gets no answer; empty is none.
	loses string
}

func (l *orderLog) add(o order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

// losesAnswer reports whether the answer to the order is to be lost: that of the first one
// to the chosen engine.
func (l *orderLog) losesAnswer(o order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loses != o.engine {
		return false
	}
	l.loses = ""
	return true
}

func (l *orderLog) loseNext(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loses = engine
}

// holder returns the machine that gave the engine its last order.
func (l *orderLog) holder(engine string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range slices.Backward(l.orders) {
		if o.engine == engine {
			return o.holder
		}
	}
	return ""
}

// turns returns how often an engine got an order of one machine within leaseMs after one
// of another.
func (l *orderLog) turns(rec *record) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	byEngine := map[string][]order{}
	for _, o := range l.orders {
		byEngine[o.engine] = append(byEngine[o.engine], o)
	}
	n := 0
	for engine, list := range byEngine {
		sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
		for i := 1; i < len(list); i++ {
			before, after := list[i-1], list[i]
			gap := after.at.Sub(before.at)
			if before.holder == after.holder || gap >= leaseTurn {
				continue
			}
			n++
			rec.add("ONE: %s got version %d of %s (fence %d) %.3f s after version %d of %s (fence %d)",
				engine, after.version, after.holder, after.fence, gap.Seconds(), before.version, before.holder, before.fence)
		}
	}
	return n
}

// leases returns who holds the leases for orders by the objects in the store.
func (g *rig) leases() string {
	text := ""
	for _, name := range []string{"orders-0", "orders-1"} {
		var o struct {
			Value struct {
				Holder string
				Fence  int64
			}
		}
		_ = json.Unmarshal(g.store.get("leases", name), &o)
		text += fmt.Sprintf(" %s=%q/%d", name, o.Value.Holder, o.Value.Fence)
	}
	return text
}

// runOrders plays cycles of three steps that the trainer requests ahead, beside streams of
// requesters that run for five seconds. With the trouble the answer to the first order of
// the cycle at one engine is lost, and the machine that gave it is stopped for a planned
// restart.
func runOrders(rec *record, trouble bool) bool {
	g := newRig(rec, phcc)
	defer g.close()
	g.configure(1, object{"singleVersion": true})
	log := &orderLog{}
	engines := []string{"i-7f3a91c2", "i-02d9e6b5"}
	for i, id := range engines {
		startEngine(&engine{
			worker: worker{id: id, zone: g.zones[i], store: g.store}, eventEvery: 100 * time.Millisecond,
			onOrder: func(o order) {
				rec.add("order at %s by %s, fence %d, version %d: %d; leases in the store:%s", o.engine, o.holder, o.fence, o.version, o.status, g.leases())
				log.add(o)
			},
			dropAnswer: func(o order) bool {
				lost := log.losesAnswer(o)
				if lost {
					rec.add("%s carries out version %d and does not answer", o.engine, o.version)
				}
				return lost
			},
		})
	}
	for i := range 2 {
		startWorker(&worker{id: fmt.Sprintf("i-%08x", 0x4400+i), service: plainService, zone: g.zones[i], store: g.store, work: 20 * time.Millisecond})
	}
	for range 4 {
		g.addFront()
	}
	g.startAll()
	stop := make(chan struct{})
	defer close(stop)
	go g.watchReadiness(stop)
	time.Sleep(6 * time.Second)
	t := &trainer{g: g, version: 1}
	var restarts, streams sync.WaitGroup
	for cycle := range orderCycles {
		begin := time.Now()
		waitUntil := func(s float64) { time.Sleep(time.Until(begin.Add(time.Duration(s * float64(time.Second))))) }
		engine := engines[rand.IntN(len(engines))]
		if trouble {
			log.loseNext(engine)
		}
		rec.add("cycle %d", cycle+1)
		for i := range 8 {
			streams.Add(1)
			go func() {
				defer streams.Done()
				s := &streamRequester{g: g, name: fmt.Sprintf("%x", 0xe0000+cycle*8+i), events: 51}
				status, got, complete := s.attempt(g.pick(nil), newID())
				rec.add("stream %s: status %d, %d events, complete %v", s.name, status, got, complete)
			}()
		}
		var jobs []string
		for range 3 {
			jobs = append(jobs, t.submit())
		}
		// The trainer ends a step, trains, names the version, and goes on with the next step.
		t.finish(jobs[0], begin.Add(1500*time.Millisecond))
		waitUntil(2)
		t.name()
		t.finish(jobs[1], begin.Add(3*time.Second))
		waitUntil(3.5)
		t.name()
		t.finish(jobs[2], begin.Add(4*time.Second))
		waitUntil(4.6)
		if trouble {
			holder := log.holder(engine)
			for _, f := range g.fronts {
				if f.name == holder {
					g.roll([]*front{f}, 0, &restarts)
				}
			}
		}
		waitUntil(6.5)
		t.name()
		waitUntil(cycleLength.Seconds())
	}
	streams.Wait()
	restarts.Wait()
	n := log.turns(rec)
	rec.say("%d orders; %d times an engine got an order of one machine within leaseMs after one of another", len(log.orders), n)
	return n > 0
}
