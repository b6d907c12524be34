package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["streams"] = runStreams }

// streamRequester begins a stream and takes it up again when its channel breaks.
type streamRequester struct {
	g      *rig
	name   string
	events int
	first  string // attempt that brought the first event
	last   int    // newest event
}

// attempt opens a channel to a front and reads the stream until its end. got is the number
// of events of this attempt.
func (s *streamRequester) attempt(f *front, id string) (status, got int, complete bool) {
	c, err := net.DialTimeout("tcp", f.frontend, time.Second)
	if err != nil {
		return 0, 0, false
	}
	defer c.Close()
	text := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 60000\r\nModel: %s\r\nToken-Count: 10,%d\r\nPrompt-Prefix: %s:10\r\nContent-Length: 2\r\n", streamPrefix, s.name, host, id, model, s.events, s.name)
	if s.last > 0 {
		text += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.first)
	}
	if _, err := c.Write([]byte(text + "\r\nhi")); err != nil {
		return 0, 0, false
	}
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, false
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return r.StatusCode, 0, false
	}
	lines := bufio.NewReader(r.Body)
	for {
		_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
		line, err := lines.ReadString('\n')
		if err != nil {
			return r.StatusCode, got, err.Error() == "EOF" && s.last == s.events
		}
		if n, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			at, _ := strconv.Atoi(n)
			if at != s.last+1 {
				s.g.record.add("ORDER: %s got event %d after %d", s.name, at, s.last)
			}
			s.last = at
			got++
			if s.first == "" {
				s.first = id
			}
		}
	}
}

// streamCounts counts streams that were taken up again, and new ones, at fronts in touch.
type streamCounts struct {
	mu            sync.Mutex
	taken, wentOn int // cuts after which a requester took its stream up, and those after which it went on
	firstTake     time.Time
	lastTake      time.Time
	news          []newStream
}

// newStream is the outcome of a stream that began anew.
type newStream struct {
	at    time.Time
	began bool
}

const (
	longStreams      = 90
	longStreamEvents = 160 // of 250 ms each
	maxTakeUps       = 3   // requester attempts after each cut
	takeUpDelay      = 300 * time.Millisecond
)

// follow begins a stream at a front and takes it up again at others until it is complete
// or three attempts in a row fail.
func (s *streamRequester) follow(f *front, counts *streamCounts) {
	id := newID()
	status, got, complete := s.attempt(f, id)
	s.g.record.add("stream %s begun at %s as %s: status %d, %d events, complete %v", s.name, f.name, id, status, got, complete)
	for !complete {
		counted, went := false, false
		first := time.Now()
		for try := 0; try < maxTakeUps && !went; {
			time.Sleep(takeUpDelay)
			f = s.g.pick(f)
			touched := f.inTouch(time.Now())
			before := s.last
			id = newID()
			status, got, complete = s.attempt(f, id)
			went = got > 0 || complete
			s.g.record.add("stream %s taken up after event %d at %s (in touch %v) as %s, resumes %s: status %d, %d events, complete %v", s.name, before, f.name, touched, id, s.first, status, got, complete)
			if status == 0 {
				// The front could not be reached or closed the channel.
				continue
			}
			try++
			counted = counted || touched
		}
		counts.add(counted, went, first)
		if !went {
			s.g.record.add("stream %s is given up after event %d of %d", s.name, s.last, s.events)
			return
		}
	}
}

func (c *streamCounts) add(counted, went bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !counted {
		return
	}
	c.taken++
	if went {
		c.wentOn++
	}
	if c.firstTake.IsZero() || at.Before(c.firstTake) {
		c.firstTake = at
	}
	if at.After(c.lastTake) {
		c.lastTake = at
	}
}

// newStreams returns how many new streams were sent while streams were taken up, and how
// many of them began.
func (c *streamCounts) newStreams() (sent, began int) {
	for _, n := range c.news {
		if n.at.Before(c.firstTake) || n.at.After(c.lastTake) {
			continue
		}
		sent++
		if n.began {
			began++
		}
	}
	return sent, began
}

// beginNewStreams sends a short stream each 250 ms until done is closed.
func (g *rig) beginNewStreams(done <-chan struct{}, counts *streamCounts) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(250 * time.Millisecond):
		}
		f := g.pick(nil)
		if !f.inTouch(time.Now()) {
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			s := &streamRequester{g: g, name: fmt.Sprintf("%x", 0xd0000+i), events: 2}
			at := time.Now()
			status, got, _ := s.attempt(f, newID())
			if got == 0 {
				g.record.add("new stream at %s did not begin: status %d", f.name, status)
			}
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.news = append(counts.news, newStream{at: at, began: got > 0})
		}()
	}
}

// roll restarts the fronts in turn, as the platform does at a planned stop.
func (g *rig) roll(fronts []*front, gap time.Duration, restarts *sync.WaitGroup) {
	for i, f := range fronts {
		if i > 0 {
			time.Sleep(gap)
		}
		g.record.add("SIGTERM %s", f.name)
		restarts.Add(1)
		go func() {
			defer restarts.Done()
			if err := f.restart(false); err != nil {
				g.record.add("%s does not start: %v", f.name, err)
				return
			}
			g.record.add("%s is started again", f.name)
		}()
	}
}

func runStreams(rec *record, trouble bool) bool {
	g := newRig(rec, phcc)
	defer g.close()
	g.configure(1, nil)
	for i := range 8 {
		startEngine(&engine{worker: worker{id: fmt.Sprintf("i-%08x", i+1), zone: g.zones[i%3], store: g.store}, eventEvery: 250 * time.Millisecond})
	}
	for range 9 {
		g.addFront()
	}
	g.startAll()
	stop := make(chan struct{})
	defer close(stop)
	go g.watchReadiness(stop)
	time.Sleep(4 * time.Second)
	counts := &streamCounts{}
	var long, rolls, restarts sync.WaitGroup
	begin := time.Now()
	for i := range longStreams {
		long.Add(1)
		go func() {
			defer long.Done()
			s := &streamRequester{g: g, name: fmt.Sprintf("%x", 0xc000+i), events: longStreamEvents}
			s.follow(g.fronts[i%len(g.fronts)], counts)
		}()
	}
	done, news := make(chan struct{}), make(chan struct{})
	go func() {
		g.beginNewStreams(done, counts)
		close(news)
	}()
	if trouble {
		// The two rolling restarts of the site's day trouble-2.
		rolls.Add(2)
		go func() {
			defer rolls.Done()
			time.Sleep(time.Until(begin.Add(time.Second)))
			g.roll(g.fronts, 2*time.Second, &restarts)
		}()
		go func() {
			defer rolls.Done()
			time.Sleep(time.Until(begin.Add(22600 * time.Millisecond)))
			g.roll(g.fronts[:4], 1100*time.Millisecond, &restarts)
		}()
	}
	long.Wait()
	rolls.Wait()
	restarts.Wait()
	close(done)
	<-news
	sent, began := counts.newStreams()
	rec.say("streams taken up again at fronts in touch: %d, of which %d went on; new streams meanwhile: %d, of which %d began", counts.taken, counts.wentOn, sent, began)
	if counts.taken < 12 || sent == 0 {
		return false
	}
	goesOn, begins := float64(counts.wentOn)/float64(counts.taken), float64(began)/float64(sent)
	return goesOn < begins/2
}
