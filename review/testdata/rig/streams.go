package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
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
	// retryAfter is what the last refusal named.
	retryAfter time.Duration
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
		seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		s.retryAfter = time.Duration(seconds * float64(time.Second))
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
	mu    sync.Mutex
	cuts  share // cuts after which a requester took its stream up
	first share // of these, the first of each stream
	ever  share // streams that were taken up, and those that went on at least once
	from  time.Time
	until time.Time
	news  []newStream
}

// share is a number of streams and how many of them went on.
type share struct{ taken, wentOn int }

func (s *share) add(wentOn bool) {
	s.taken++
	if wentOn {
		s.wentOn++
	}
}

func (s share) value() float64 { return float64(s.wentOn) / float64(max(1, s.taken)) }

// newStream is the outcome of a stream that began anew.
type newStream struct {
	at    time.Time
	began bool
}

const (
	longStreams      = 72
	longStreamEvents = 120 // of 250 ms each
	maxTakeUps       = 3   // requester attempts after each cut
	takeUpDelay      = 300 * time.Millisecond
)

// follow begins a stream at a front and takes it up again at others until it is complete
// or three attempts in a row fail. It waits as long as refusals name.
func (s *streamRequester) follow(f *front, counts *streamCounts) {
	id := newID()
	status, got, complete := s.attempt(f, id)
	s.g.record.add("stream %s begun at %s as %s: status %d, %d events, complete %v", s.name, f.name, id, status, got, complete)
	cuts, wentOnce := 0, false
	for !complete {
		counted, went := false, false
		first := time.Now()
		for try := 0; try < maxTakeUps && !went; {
			time.Sleep(max(takeUpDelay, s.retryAfter))
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
		if counted {
			cuts++
			wentOnce = wentOnce || went
			counts.addCut(cuts == 1, went, first)
		}
		if !went {
			s.g.record.add("stream %s is given up after event %d of %d", s.name, s.last, s.events)
			break
		}
	}
	if cuts > 0 {
		counts.addStream(wentOnce)
	}
}

func (c *streamCounts) addCut(isFirst, went bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts.add(went)
	if isFirst {
		c.first.add(went)
	}
	if c.from.IsZero() || at.Before(c.from) {
		c.from = at
	}
	if at.After(c.until) {
		c.until = at
	}
}

func (c *streamCounts) addStream(went bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ever.add(went)
}

// newStreams returns how many new streams were sent while streams were taken up, and how
// many of them began.
func (c *streamCounts) newStreams() (sent, began int) {
	for _, n := range c.news {
		if n.at.Before(c.from) || n.at.After(c.until) {
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
			if got == 0 && !f.inTouch(time.Now()) {
				return // its front was killed meanwhile
			}
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

// herdKill kills the processes of several fronts at once.
func (g *rig) herdKill(fronts []*front, restarts *sync.WaitGroup) {
	for _, f := range fronts {
		g.record.add("SIGKILL %s", f.name)
		restarts.Add(1)
		go func() {
			defer restarts.Done()
			if err := f.restart(true); err != nil {
				g.record.add("%s does not start: %v", f.name, err)
			}
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
	var long, restarts sync.WaitGroup
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
		// Four of the nine fronts, and eight seconds later the other five.
		order := rand.Perm(len(g.fronts))
		var herd []*front
		for _, k := range order {
			herd = append(herd, g.fronts[k])
		}
		time.Sleep(time.Until(begin.Add(5 * time.Second)))
		g.herdKill(herd[:4], &restarts)
		time.Sleep(time.Until(begin.Add(13 * time.Second)))
		g.herdKill(herd[4:], &restarts)
	}
	long.Wait()
	restarts.Wait()
	close(done)
	<-news
	sent, began := counts.newStreams()
	rec.say("taken up at fronts in touch and gone on: after cuts %d of %d, after the first cut of a stream %d of %d, streams ever %d of %d; new streams meanwhile: %d of %d began",
		counts.cuts.wentOn, counts.cuts.taken, counts.first.wentOn, counts.first.taken, counts.ever.wentOn, counts.ever.taken, began, sent)
	if counts.ever.taken < 12 || sent == 0 {
		return false
	}
	// The rule is broken only if it is by each way of counting.
	goesOn := max(counts.cuts.value(), counts.first.value(), counts.ever.value())
	return goesOn < float64(began)/float64(sent)/2
}
