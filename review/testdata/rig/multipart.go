package main

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

func init() { cases["multipart"] = runMultipart }

func runMultipart(rec *record, trouble bool) bool {
	g := newRig(rec, phcc)
	defer g.close()
	g.configure(1, nil)
	var workers []*worker
	for i := range 3 {
		workers = append(workers, startWorker(&worker{id: fmt.Sprintf("i-%08x", i+1), service: plainService, zone: g.zones[i], store: g.store, work: 20 * time.Millisecond}))
	}
	for range 2 {
		g.addFront()
	}
	g.startAll()
	time.Sleep(2 * time.Second)
	kind := "multipart/form-data; boundary=cut"
	if !trouble {
		kind = "application/octet-stream"
	}
	body := []byte("--cut\r\nContent-Disposition: form-data; name=\"photo\"; filename=\"strap.jpg\"\r\nContent-Type: image/jpeg\r\nX-Shop: 7\r\n\r\nJPEGBYTES\r\n--cut\r\nContent-Disposition: form-data; name=\"note\"\r\n\r\nworn at the buckle\r\n--cut--\r\n")
	sent := map[string][]byte{}
	for i := range 20 {
		id := newID()
		prefix := plainPrefix
		if i%2 == 1 {
			prefix = oncePrefix
		}
		sent[id] = body
		a := send(g.fronts[i%2].frontend, "POST", prefix+"card", id, map[string]string{"Content-Type": kind}, body, 2*time.Second)
		rec.add("sent %s POST %scard %d bytes, answered %d, %d bytes, err %v", id, prefix, len(body), a.status, len(a.body), a.err)
	}
	changed := 0
	for _, w := range workers {
		for _, r := range w.allRuns() {
			rec.add("run at %s: %s %s %s, %d bytes", r.worker, r.id, r.method, r.target, len(r.body))
			if !bytes.Equal(r.body, sent[r.id]) {
				changed++
				rec.add("UNASKED: the body of %s is not the requester's: %q", r.id, strings.ToValidUTF8(string(r.body), "?"))
			}
		}
	}
	rec.say("%d of %d requests ran with another body than the requester's", changed, len(sent))
	return changed > 0
}
