package hosted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/transport/transporttest"
)

// sendLarge sends a body of the size, in chunks or with a length, and returns the status. It
// holds only a small part of the body.
func sendLarge(address, id string, size int, isChunked bool) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(3 * testTimeout)); err != nil {
		return 0, err
	}
	head := fmt.Sprintf("POST /raw-safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 9000\r\n", id)
	part := bytes.Repeat([]byte("x"), 64<<10)
	if isChunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		part = append(append([]byte(fmt.Sprintf("%x\r\n", len(part))), part...), "\r\n"...)
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, err
	}
	// The daemon may answer before it has read the body.
	for range size / (64 << 10) {
		if _, err := conn.Write(part); err != nil {
			break
		}
	}
	if isChunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// Guards against large bodies that fill the memory of a daemon, which then ends together
// with all other requests: each allowed body must be served, or refused as not run.
func TestLargeBodiesDoNotFillTheMemory(t *testing.T) {
	const (
		size       = 32 << 20
		requesters = 6
		mostBytes  = 100 << 20 // beside what the process uses without requests
	)
	var received atomic.Int64
	server := newRecordingServer(nil)
	f := newRawFleet(t, server, server)
	f.addServer(t, rawService, "large", "1", func(r *http.Request, _ int, c net.Conn) {
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != size {
			t.Errorf("the server got %d bytes, %v", n, err)
			return
		}
		received.Add(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nServer-Stamp: st\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	})
	f.removeServer(t, "raw-1")
	f.allowBodies(t, size)
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(80 << 20))
	before, peak := transporttest.MeasurePeak(t)
	ctx := t.Context()
	var running sync.WaitGroup
	served := atomic.Int64{}
	for i := range requesters {
		running.Add(1)
		go func() {
			defer running.Done()
			for attempt := 0; ctx.Err() == nil && attempt < 100; attempt++ {
				status, err := sendLarge(f.callers[0], fmt.Sprintf("large-%d-%d", i, attempt), size, i%2 == 1)
				if err == nil && status == http.StatusOK {
					served.Add(1)
					return
				}
				if err == nil && status != http.StatusServiceUnavailable {
					t.Errorf("status %d", status)
				}
				_ = duty.Sleep(ctx, 200*time.Millisecond)
			}
		}()
	}
	running.Wait()
	most := peak()
	if served.Load() != requesters {
		t.Errorf("%d of %d requests were served", served.Load(), requesters)
	}
	t.Logf("%d MB before, at most %d MB with %d bodies of %d MB", before>>20, most>>20, requesters, size>>20)
	if most > before+mostBytes {
		t.Errorf("the process used %d MB more than without requests, want at most %d MB", (most-before)>>20, mostBytes>>20)
	}
}
