package hosted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/transport/transporttest"
	adapter "github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

// streamEvents is the number of events of each stream in these tests.
const streamEvents = 5

const streamHead = "HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// event returns an event as a server of the software version sends it.
func event(software string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", id, software, id)
}

// eventsFrom returns the events after the given one up to the last.
func eventsFrom(software string, after, last int) string {
	var text strings.Builder
	for id := after + 1; id <= last; id++ {
		text.WriteString(event(software, id))
	}
	return text.String()
}

// chunk encodes a chunk; that of "" is the last one.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func writeChunk(c net.Conn, text string) { _, _ = io.WriteString(c, chunk(text)) }

func endChunks(c net.Conn) { writeChunk(c, "") }

// addServer starts a raw backend server of the service and registers it. serve gets each
// request with the last event that its sender has, and its connection, which is closed
// afterwards. It returns the server's address.
func (f *fleet) addServer(t *testing.T, service, id, software string, serve func(r *http.Request, last int, c net.Conn)) (address string) {
	t.Helper()
	address = transporttest.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		last, _ := strconv.Atoi(r.Header.Get(adapter.HeaderLastEvent))
		serve(r, last, c)
	})
	if err := f.store.Put(adapter.KindServers, id, map[string]any{
		"service": service, "address": address, "zone": "a", "version": software, "slots": 4, "state": "ready",
		"models": []map[string]any{{"name": deployment.Model, "version": 1}},
	}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "server at each daemon", func() bool {
		return len(f.linesOf(t, "backend server changed", "backend_server", id)) >= len(f.daemons)
	})
	return address
}

// callerStream is the caller's side of a stream.
type callerStream struct {
	conn   net.Conn
	status int
	header http.Header
	body   *bufio.Reader
}

// openStream sends a request and reads the head of its answer.
func openStream(t *testing.T, address, prefix, id string, headers ...string) *callerStream {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	lines := append([]string{"POST " + prefix + "x HTTP/1.1", "Host: h", "Attempt-Id: " + id, "Deadline-Ms: 9000", "Content-Length: 1"}, headers...)
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return &callerStream{conn: conn, status: response.StatusCode, header: response.Header, body: bufio.NewReader(response.Body)}
}

// readEvent reads up to the end of an event.
func (s *callerStream) readEvent() (string, error) {
	var text strings.Builder
	for {
		line, err := s.body.ReadString('\n')
		text.WriteString(line)
		if err != nil || line == "\n" {
			return text.String(), err
		}
	}
}

// Guards against a stream that reaches its caller only once it is complete, and against
// events or headers that are changed on the way.
func TestStreamEventsAreForwardedAsTheyArrive(t *testing.T) {
	f, _, _ := newServingFleet(t, 1)
	received := make(chan struct{})
	const comment = ": note\nid: 2\r\ndata:  two lines\ndata: \xff\n\n"
	f.addServer(t, "advice", "advice-1", "v1", func(_ *http.Request, _ int, c net.Conn) {
		_, _ = io.WriteString(c, streamHead)
		writeChunk(c, event("v1", 1))
		<-received
		writeChunk(c, comment[:9])
		writeChunk(c, comment[9:]+event("v1", 3))
		endChunks(c)
	})
	for _, prefix := range []string{standin.StreamPrefix, standin.OnceStreamPrefix} {
		s := openStream(t, f.callers[0], prefix, "a"+prefix[1:4])
		first, err := s.readEvent()
		received <- struct{}{}
		rest, restErr := io.ReadAll(s.body)
		if err != nil || restErr != nil || first != event("v1", 1) || string(rest) != comment+event("v1", 3) {
			t.Errorf("%s: first event %q, %v, the rest %q, %v", prefix, first, err, rest, restErr)
		}
		if h := s.header; s.status != http.StatusOK || h.Get("Server-Stamp") != "st" || h.Get("Weight-Versions") != "1" || h.Get("Content-Type") != "text/event-stream" {
			t.Errorf("%s: status %d with %v", prefix, s.status, h)
		}
	}
	f.stop(t)
}

// interruptingServer sends two events and a part of the third to a new request, and the
// rest to one that resumes.
func interruptingServer(software string) func(*http.Request, int, net.Conn) {
	return func(_ *http.Request, last int, c net.Conn) {
		_, _ = io.WriteString(c, streamHead)
		if last == 0 {
			writeChunk(c, eventsFrom(software, 0, 2)+"id: 3\ndat")
			return
		}
		writeChunk(c, eventsFrom(software, last, streamEvents))
		endChunks(c)
	}
}

// Guards against a caller's stream with events of servers of two software versions, with
// a part of an event, or that ends although another server can continue it.
func TestInterruptedStreamContinuesOnItsSoftwareVersion(t *testing.T) {
	f, _, _ := newServingFleet(t, 1)
	for i := range 4 {
		software := fmt.Sprint("v", 1+i%2)
		f.addServer(t, "advice", fmt.Sprint("advice-", i), software, interruptingServer(software))
	}
	for i := range 12 {
		s := openStream(t, f.callers[0], standin.StreamPrefix, fmt.Sprint("s", i))
		body, err := io.ReadAll(s.body)
		if text := string(body); err != nil || (text != eventsFrom("v1", 0, streamEvents) && text != eventsFrom("v2", 0, streamEvents)) {
			t.Errorf("stream %d: %q, %v", i, body, err)
		}
	}
	f.stop(t)
}

// Guards against the answer of another server in the middle of a stream, and against an
// interrupted stream that looks complete: what the next server answers is no event.
func TestAnswerOfNextServerIsNotJoinedToStream(t *testing.T) {
	answers := map[string]string{
		"failure":            "HTTP/1.1 500 Oops\r\nServer-Stamp: st\r\nContent-Length: 5\r\n\r\nerror",
		"not found":          "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nerror",
		"refusal":            "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nerror",
		"success, no events": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror",
		"no length":          "HTTP/1.1 500 Oops\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: error\n\n",
		"cut off head":       "HTTP/1.1 200 OK\r\nContent-Type: text/event-st",
		"head without end":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
		"no answer":          "",
		"bytes":              "id: 3\ndata: error\n\n",
		"gap":                streamHead + chunk("id: 4\ndata: error\n\n") + chunk(""),
		"repeated event":     streamHead + chunk("id: 2\ndata: error\n\n") + chunk(""),
	}
	f, _, _ := newServingFleet(t, 1)
	for i := range 3 {
		f.addServer(t, "advice", fmt.Sprint("advice-", i), "v1", func(r *http.Request, last int, c net.Conn) {
			if last > 0 {
				_, _ = io.WriteString(c, answers[strings.ReplaceAll(r.Header.Get("Attempt-Id"), "-", " ")])
				return
			}
			interruptingServer("v1")(r, 0, c)
		})
	}
	for name := range answers {
		s := openStream(t, f.callers[0], standin.StreamPrefix, strings.ReplaceAll(name, " ", "-"))
		body, err := io.ReadAll(s.body)
		if !errors.Is(err, io.ErrUnexpectedEOF) || string(body) != eventsFrom("v1", 0, 2) {
			t.Errorf("%s: the caller got %q, %v", name, body, err)
		}
	}
	f.stop(t)
}

// Guards against a stream that may not be resumed and is sent to a second server, or that
// looks complete when it breaks off.
func TestInterruptedStreamThatMayNotResumeEndsIncomplete(t *testing.T) {
	f, _, _ := newServingFleet(t, 1)
	var requests atomic.Int64
	for i := range 2 {
		f.addServer(t, "advice", fmt.Sprint("advice-", i), "v1", func(_ *http.Request, last int, c net.Conn) {
			requests.Add(1)
			interruptingServer("v1")(nil, last, c)
		})
	}
	s := openStream(t, f.callers[0], standin.OnceStreamPrefix, "s")
	body, err := io.ReadAll(s.body)
	if !errors.Is(err, io.ErrUnexpectedEOF) || string(body) != eventsFrom("v1", 0, 2) || requests.Load() != 1 {
		t.Errorf("the caller got %q, %v after %d requests", body, err, requests.Load())
	}
	f.stop(t)
}

// addUnfinishedServers adds servers of two software versions that send one event of a new
// stream and then nothing, and the rest to a request that resumes it.
func (f *fleet) addUnfinishedServers(t *testing.T) {
	t.Helper()
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	for i := range 4 {
		software := fmt.Sprint("v", 1+i%2)
		f.addServer(t, "advice", fmt.Sprint("advice-", i), software, func(_ *http.Request, last int, c net.Conn) {
			if last > 0 {
				interruptingServer(software)(nil, last, c)
				return
			}
			_, _ = io.WriteString(c, streamHead)
			writeChunk(c, event(software, 1))
			<-hold
		})
	}
}

// Guards against a caller that takes its stream up again through another daemon and gets
// the rest from a server of another software version, or no rest at all.
func TestStreamIsResumedThroughAnotherDaemon(t *testing.T) {
	f, _, _ := newServingFleet(t, 3)
	f.addUnfinishedServers(t)
	for i := range 12 {
		id := fmt.Sprint("s", i)
		begun := openStream(t, f.callers[i%3], standin.StreamPrefix, id)
		first, err := begun.readEvent()
		if err != nil {
			t.Fatal(err)
		}
		_ = begun.conn.Close()
		resumed := openStream(t, f.callers[(i+1)%3], standin.StreamPrefix, id+"-again", "Resumes: "+id, "Last-Event-Id: 1")
		rest, err := io.ReadAll(resumed.body)
		if text := first + string(rest); err != nil || (text != eventsFrom("v1", 0, streamEvents) && text != eventsFrom("v2", 0, streamEvents)) {
			t.Errorf("stream %d: status %d, %q, %v", i, resumed.status, text, err)
		}
	}
	for headers, status := range map[string]int{
		"Resumes: unknown\r\nLast-Event-Id: 1": http.StatusServiceUnavailable,
		"Last-Event-Id: 1":                     http.StatusServiceUnavailable,
		"Resumes: s0\r\nLast-Event-Id: one":    http.StatusBadRequest,
	} {
		if s := openStream(t, f.callers[0], standin.StreamPrefix, "refused", headers); s.status != status {
			t.Errorf("%q: status %d, want %d", headers, s.status, status)
		}
	}
	f.stop(t)
}

// Guards against streams that cannot be taken up again after all daemons were stopped or
// lost: what they knew of the streams must outlive them.
func TestStreamIsResumedAfterAllDaemonsRestarted(t *testing.T) {
	f, _, _ := newServingFleet(t, 3)
	f.addUnfinishedServers(t)
	first := map[string]string{}
	for i := range 12 {
		id := fmt.Sprint("s", i)
		begun := openStream(t, f.callers[i%3], standin.StreamPrefix, id)
		event, err := begun.readEvent()
		if err != nil {
			t.Fatal(err)
		}
		first[id] = event
		_ = begun.conn.Close()
	}
	time.Sleep(2 * time.Second) // longer than a daemon waits before it saves
	f.restartAll(t)
	for i := range 12 {
		id := fmt.Sprint("s", i)
		resumed := openStream(t, f.callers[(i+1)%3], standin.StreamPrefix, id+"-again", "Resumes: "+id, "Last-Event-Id: 1")
		rest, err := io.ReadAll(resumed.body)
		if text := first[id] + string(rest); err != nil || (text != eventsFrom("v1", 0, streamEvents) && text != eventsFrom("v2", 0, streamEvents)) {
			t.Errorf("stream %d: status %d, %q, %v", i, resumed.status, text, err)
		}
	}
	f.stop(t)
}

// Guards against a stream whose recorded origin is a server that sent only a comment before
// it broke off, while another version sent the events, and against events without an ID
// that come twice because the stream is begun anew.
func TestOriginIsTheServerOfTheFirstEvent(t *testing.T) {
	f, _, _ := newServingFleet(t, 2)
	const comment = ": queued\n\n"
	for i := range 4 {
		software := fmt.Sprint("v", 1+i%2)
		f.addServer(t, "advice", fmt.Sprint("advice-", i), software, func(r *http.Request, last int, c net.Conn) {
			_, _ = io.WriteString(c, streamHead)
			switch {
			case last > 0:
				writeChunk(c, eventsFrom(software, last, streamEvents))
				endChunks(c)
			case software == "v1" && r.Header.Get("Comment") != "":
				writeChunk(c, comment)
			case software == "v1":
				writeChunk(c, "data: without ID\n\n")
			default:
				writeChunk(c, comment+eventsFrom(software, 0, streamEvents))
				endChunks(c)
			}
		})
	}
	for i := range 8 {
		id := fmt.Sprint("s", i)
		s := openStream(t, f.callers[0], standin.StreamPrefix, id, []string{"Other: 1", "Comment: 1"}[i%2])
		body, err := io.ReadAll(s.body)
		if err != nil || string(body) != comment+eventsFrom("v2", 0, streamEvents) {
			t.Errorf("stream %d: %q, %v", i, body, err)
		}
		resumed := openStream(t, f.callers[1], standin.StreamPrefix, id+"-again", "Resumes: "+id, "Last-Event-Id: 2")
		if rest, err := io.ReadAll(resumed.body); err != nil || string(rest) != eventsFrom("v2", 2, streamEvents) {
			t.Errorf("stream %d goes on with %q, %v", i, rest, err)
		}
	}
	f.stop(t)
}
