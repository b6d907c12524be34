package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silence"] = runSilence }

const (
	silenceLength  = 400 * time.Millisecond
	silentMachines = 3 // of nine
	silenceRounds  = 6
	roundLength    = 14 * time.Second
	replaced       = 4                       // workers of ten that are replaced after each silence
	replaceGap     = time.Second             // between two of them
	drainTime      = 2 * time.Second         // drainMs
	stableTime     = 3 * time.Second         // stableMs
	leavesAfter    = 3200 * time.Millisecond // from the end of the silence until the first worker leaves
	servesOn       = 8 * time.Second         // of a worker that leaves
)

// sentRequest is where and when a requester sent a request.
type sentRequest struct {
	front string
	at    time.Time
}

// sentLog holds the requests of all requesters.
type sentLog struct {
	mu   sync.Mutex
	byID map[string]sentRequest
}

// press sends about one request a second to the front until stop is closed.
func (l *sentLog) press(f *front, stop <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(600+rand.IntN(800)) * time.Millisecond):
		}
		running.Add(1)
		go func() {
			defer running.Done()
			id := newID()
			l.mu.Lock()
			l.byID[id] = sentRequest{front: f.name, at: time.Now()}
			l.mu.Unlock()
			send(f.frontend, http.MethodPost, plainPrefix+"card/"+id, id, nil, []byte(id), time.Second)
		}()
	}
}

func (l *sentLog) find(id string) sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// leave reports that the worker drains. It serves on for a while, and then its entry is
// removed and it ends. The time is that of the store's acknowledgement.
func (w *worker) leave(servesOn time.Duration) time.Time {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.register()
	ackedAt := time.Now()
	go func() {
		time.Sleep(servesOn)
		w.mu.Lock()
		w.stopped = true
		w.mu.Unlock()
		w.store.remove("servers", w.id)
		_ = w.server.Close()
	}()
	return ackedAt
}

// departure is a worker that leaves, with the time of the store's acknowledgement.
type departure struct {
	worker  *worker
	ackedAt time.Time
}

// runSilence plays rounds in which the store is silent to three of nine fronts for 0.4 s,
// and four seconds later the first of four workers is replaced.
func runSilence(rec *record, trouble bool) bool {
	g := newRig(rec, phcc)
	defer g.close()
	g.configure(1, nil)
	boots := 0
	boot := func() *worker {
		boots++
		return startWorker(&worker{id: fmt.Sprintf("i-%08x", 0x9a100+boots), service: plainService, zone: g.zones[boots%3], store: g.store, slots: 6, work: 10 * time.Millisecond})
	}
	var workers []*worker
	for range 10 {
		workers = append(workers, boot())
	}
	for i := range 8 {
		startEngine(&engine{worker: worker{id: fmt.Sprintf("i-%08x", 0x7b300+i), zone: g.zones[i%3], store: g.store}})
	}
	var doors []*storeDoor
	for range 9 {
		f := g.addFront()
		door, address, err := g.store.openDoor(f.ip)
		if err != nil {
			cannotRun(err)
		}
		f.storeAddress = address
		doors = append(doors, door)
	}
	g.startAll()
	time.Sleep(4 * time.Second)
	log := &sentLog{byID: map[string]sentRequest{}}
	stop := make(chan struct{})
	var requesters sync.WaitGroup
	for _, f := range g.fronts {
		requesters.Add(1)
		go func() {
			defer requesters.Done()
			log.press(f, stop)
		}()
	}
	total, fronts := 0, map[string]bool{}
	for range silenceRounds {
		begin := time.Now()
		silent := rand.Perm(len(g.fronts))[:silentMachines]
		for _, k := range silent {
			if trouble {
				doors[k].beSilent(begin, silenceLength)
				rec.add("the store is silent to %s for %.1f s", g.fronts[k].name, silenceLength.Seconds())
			}
		}
		quietEnd := begin.Add(silenceLength)
		time.Sleep(time.Until(quietEnd.Add(leavesAfter)))
		if trouble {
			for _, k := range silent {
				rec.add("calls of %s without an answer: %q", g.fronts[k].name, doors[k].lostCalls())
			}
		}
		var gone []departure
		for range replaced {
			d := departure{worker: workers[0]}
			workers = append(workers[1:], boot())
			d.ackedAt = d.worker.leave(servesOn)
			rec.add("%s reports draining", d.worker.id)
			gone = append(gone, d)
			time.Sleep(replaceGap)
		}
		time.Sleep(time.Until(begin.Add(roundLength)))
		for _, d := range gone {
			for _, r := range d.worker.allRuns() {
				s := log.find(r.id)
				rec.add("run at %s of %s, sent to %s", r.worker, r.id, s.front)
				if r.at.After(d.ackedAt.Add(drainTime)) && s.at.After(quietEnd.Add(stableTime)) {
					total++
					fronts[s.front] = true
					rec.add("DRAIN: %s, sent to %s, reached %s %.3f s after it reported draining", r.id, s.front, r.worker, r.at.Sub(d.ackedAt).Seconds())
				}
			}
		}
	}
	close(stop)
	requesters.Wait()
	rec.say("%d requests, sent on by %d fronts in touch, reached workers later than drainMs after they had reported draining", total, len(fronts))
	return total > 0
}
