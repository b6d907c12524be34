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
	orderCycles = 7
	cycleLength = 13 * time.Second
)

// newJob returns a batch job of a trainer whose items have the number of events.
func newJob(step, items, events int) (id string, body []byte) {
	id = newID()
	list := []object{}
	for i := range items {
		item := newID()
		list = append(list, object{
			"id": item, "path": batchPrefix + strconv.Itoa(step) + "/" + item, "tokens": 10 + events, "group": fmt.Sprintf("g%d", i/4),
			"headers": map[string]string{"Model": model, "Token-Count": fmt.Sprintf("10,%d", events), "Prompt-Prefix": item + ":10"},
			"body":    base64.StdEncoding.EncodeToString([]byte("prompt of " + item)),
		})
	}
	body, err := json.Marshal(object{"step": step, "model": model, "minVersion": max(1, step-1), "desiredCount": max(1, items/4), "items": list})
	if err != nil {
		panic(err)
	}
	return id, body
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

// runOrders plays cycles of one step each: a job whose items run for five seconds, and
// three versions. With the trouble the answer to the first order of the cycle at one
// engine is lost, and the machine that gave it is stopped for a planned restart.
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
	for range 4 {
		g.addFront()
	}
	g.startAll()
	stop := make(chan struct{})
	defer close(stop)
	go g.watchReadiness(stop)
	time.Sleep(6 * time.Second)
	version := 1
	nameVersion := func() {
		version++
		g.store.put("versions", model, object{"model": model, "version": version})
		rec.add("version %d is named", version)
	}
	var restarts sync.WaitGroup
	for cycle := range orderCycles {
		begin := time.Now()
		waitUntil := func(s float64) { time.Sleep(time.Until(begin.Add(time.Duration(s * float64(time.Second))))) }
		engine := engines[rand.IntN(len(engines))]
		if trouble {
			log.loseNext(engine)
		}
		id, body := newJob(version, 8, 51)
		a := send(g.pick(nil).frontend, http.MethodPost, batchPrefix+id, id, nil, body, 2*time.Second)
		rec.add("cycle %d: job %s is sent: %d (%v)", cycle+1, id, a.status, a.err)
		waitUntil(2)
		nameVersion()
		waitUntil(3.5)
		nameVersion()
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
		nameVersion()
		waitUntil(9)
		a = send(g.pick(nil).frontend, http.MethodDelete, "/api/lots/"+id, newID(), nil, nil, 2*time.Second)
		rec.add("job %s is ended: %d (%v)", id, a.status, a.err)
		waitUntil(cycleLength.Seconds())
	}
	restarts.Wait()
	n := log.turns(rec)
	rec.say("%d orders; %d times an engine got an order of one machine within leaseMs after one of another", len(log.orders), n)
	return n > 0
}
