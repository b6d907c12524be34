package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["memory"] = runMemory }

// maxBodyBytes is the limit that the config names.
const maxBodyBytes = 33554432

// limitMemory kills the process of a front that uses more than its memory, as the platform
// does, and starts it again. It returns when stop is closed.
func (g *rig) limitMemory(f *front, ends *int, mu *sync.Mutex, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		rss, _ := f.memory()
		if rss <= float64(f.site.frontMemoryMB) {
			continue
		}
		g.record.add("%s uses %.0f MB of %d and is killed", f.name, rss, f.site.frontMemoryMB)
		mu.Lock()
		*ends++
		mu.Unlock()
		if err := f.restart(true); err != nil {
			g.record.add("%s does not start: %v", f.name, err)
			return
		}
	}
}

func runMemory(rec *record, trouble bool) bool {
	g := newRig(rec, kartvel)
	defer g.close()
	g.configure(1, nil)
	for i := range 10 {
		w := &worker{id: fmt.Sprintf("i-%08x", i+1), service: plainService, zone: g.zones[i%4], store: g.store}
		w.serve = func(out http.ResponseWriter, r *http.Request, body []byte) {
			time.Sleep(20 * time.Millisecond)
			w.answer(out, r, []byte(strconv.Itoa(len(body))))
		}
		startWorker(w)
	}
	for range 3 {
		g.addFront()
	}
	g.startAll()
	time.Sleep(3 * time.Second)
	size := maxBodyBytes
	if !trouble {
		size = 3600
	}
	body := bytes.Repeat([]byte("a"), size)
	var mu sync.Mutex
	ends := make([]int, len(g.fronts))
	stop := make(chan struct{})
	var limits sync.WaitGroup
	for i, f := range g.fronts {
		limits.Add(1)
		go func() {
			defer limits.Done()
			g.limitMemory(f, &ends[i], &mu, stop)
		}()
	}
	var requesters sync.WaitGroup
	until := time.Now().Add(30 * time.Second)
	for _, f := range g.fronts {
		requesters.Add(1)
		go func() {
			defer requesters.Done()
			for time.Now().Before(until) {
				id := newID()
				a := send(f.frontend, http.MethodPost, plainPrefix+"card", id, nil, body, 2*time.Second)
				rec.add("sent %s with %d bytes at %s: %d (%v)", id, len(body), f.name, a.status, a.err)
				time.Sleep(time.Second)
			}
		}()
	}
	requesters.Wait()
	close(stop)
	limits.Wait()
	often := 0
	for i, f := range g.fronts {
		_, peak := f.memory()
		rec.say("%s was killed %d times; its newest process used %.0f MB at its peak", f.name, ends[i], peak)
		if ends[i] >= 3 {
			often++
		}
	}
	return often >= 2
}
