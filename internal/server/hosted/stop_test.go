package hosted

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/berylfall/berylfall/platform/standin"
)

// Guards against a request that is forwarded just before the process exits, so that
// its answer is cut off.
func TestClosingDaemonPassesNothingOn(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	before, err := f.plain.Runs(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.daemons[0].isClosing.Store(true)
	a, err := c.Plain(ctx, "last", []byte("x"))
	if err != nil || a.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d, %v", a.Status, err)
	}
	after, err := f.plain.Runs(ctx)
	if err != nil || len(after) != len(before) {
		t.Errorf("%d requests were passed on, %v", len(after)-len(before), err)
	}
	f.stop(t)
}

// Guards against a request that is passed on late in a planned stop and cut at its end,
// and against one in progress at the end whose connection is closed without an answer.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	const grace, lateAt = 6 * time.Second, 3400 * time.Millisecond
	f, _, _ := newServingFleet(t, 1)
	received := make(chan string, 8)
	f.addServer(t, "advice", "advice-0", "v1", func(r *http.Request, _ int, c net.Conn) {
		id := r.Header.Get("Attempt-Id")
		received <- id
		if id == "long" {
			time.Sleep(lateAt + 400*time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
			return
		}
		_, _ = c.Read(make([]byte, 1)) // until the daemon ends the request
	})
	statuses := map[string]chan int{}
	send := func(id string, after time.Duration) {
		status := make(chan int, 1)
		statuses[id] = status
		time.AfterFunc(after, func() {
			status <- sendRaw(t, f.callers[0], "POST "+standin.OnceStreamPrefix+"x HTTP/1.1\r\nHost: h\r\nAttempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n", false)
		})
	}
	send("long", 0)
	send("unanswered", 0)
	for range 2 {
		<-received
	}
	send("late", lateAt)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	f.daemons[0].Stop(ctx)
	for id, want := range map[string]int{"long": http.StatusOK, "late": http.StatusServiceUnavailable, "unanswered": http.StatusBadGateway} {
		if got := <-statuses[id]; got != want {
			t.Errorf("request %q got status %d, want %d", id, got, want)
		}
	}
	if len(received) > 0 {
		t.Errorf("request %q was passed on", <-received)
	}
}
