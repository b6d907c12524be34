package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/sync/semaphore"
)

const (
	// unreservedBodyBytes is the size up to which the body of a request needs no share of
	// the memory for bodies.
	unreservedBodyBytes = 16 << 10
	// chunkedStepBytes is the size up to which the memory for a chunked body grows step by
	// step. A larger one gets the memory of the largest body.
	chunkedStepBytes = 1 << 20
	// collectedBodyBytes is the size from which on the garbage of earlier bodies is collected
	// before a body is read. The runtime collects when the heap has grown by a share, which
	// may be too late for the memory of the process.
	collectedBodyBytes = 4 << 20
	// maxBodyMemoryWait bounds the wait for memory. Callers that may come again should do
	// so soon, and a caller whose request is not read for a second gives it up.
	maxBodyMemoryWait = 300 * time.Millisecond
)

// ErrNoBodyMemory means that the bodies in progress take all the memory that there is for
// them. Nothing of the request has been passed on.
var ErrNoBodyMemory = errors.New("transport: no memory is left for the body of the request")

// BodyMemory bounds the memory for the bodies of the requests of a server. It is safe for
// concurrent use.
type BodyMemory struct {
	total int64
	left  *semaphore.Weighted
}

// NewBodyMemory returns a memory of the size in bytes.
func NewBodyMemory(total int) *BodyMemory {
	return &BodyMemory{total: int64(total), left: semaphore.NewWeighted(int64(total))}
}

// BodyReservation is the share of one request. One goroutine uses it.
type BodyReservation struct {
	memory *BodyMemory
	size   int64
}

// Reserve returns a reservation without a size.
func (m *BodyMemory) Reserve() *BodyReservation { return &BodyReservation{memory: m} }

// Grow extends the reservation, to the whole memory at most: a request that needs all of it
// runs alone. It waits for other requests for maxBodyMemoryWait.
func (r *BodyReservation) Grow(ctx context.Context, bytes int64) error {
	bytes = min(bytes, r.memory.total-r.size)
	ctx, cancel := context.WithTimeout(ctx, maxBodyMemoryWait)
	defer cancel()
	if r.memory.left.Acquire(ctx, bytes) != nil {
		return ErrNoBodyMemory
	}
	r.size += bytes
	if bytes >= collectedBodyBytes {
		runtime.GC()
	}
	return nil
}

// Release returns the memory. The body must not be used any more.
func (r *BodyReservation) Release() {
	r.memory.left.Release(r.size)
	r.size = 0
}

// ReadBody reads the body of a request to a server with ServerOptions.StreamBodies, within
// the reservation. Afterwards c.Request.Body returns a slice of its own, which outlives the
// request, and the context of the request ends when its caller closes the connection, until
// stop is called. A body over limit bytes is ErrBodyTooLarge. After an error the rest of the
// body is unread.
func ReadBody(ctx context.Context, c *app.RequestContext, r *BodyReservation, limit int) (stop func(), err error) {
	if !c.Request.IsBodyStream() {
		return func() {}, nil
	}
	body, err := readStream(ctx, c.Request.BodyStream(), r, c.Request.Header.ContentLength(), limit)
	if err != nil {
		return func() {}, err
	}
	c.Request.SetBodyRaw(body)
	return senseClose(c), nil
}

func readStream(ctx context.Context, in io.Reader, r *BodyReservation, length, limit int) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d of at most %d bytes", ErrBodyTooLarge, length, limit)
	}
	if length < 0 {
		return readChunked(ctx, in, r, limit)
	}
	if length > unreservedBodyBytes {
		if err := r.Grow(ctx, int64(length)); err != nil {
			return nil, err
		}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, fmt.Errorf("read the body of a request: %w", err)
	}
	return body, nil
}

// readChunked reads a body of unknown length.
func readChunked(ctx context.Context, in io.Reader, r *BodyReservation, limit int) ([]byte, error) {
	body := make([]byte, 0, unreservedBodyBytes)
	for {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, fmt.Errorf("%w: over %d bytes", ErrBodyTooLarge, limit)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("read the body of a request: %w", err)
		}
		if len(body) == cap(body) {
			larger := chunkedCapacity(cap(body), limit)
			if err := r.Grow(ctx, int64(larger-cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, larger), body...)
		}
	}
}

// chunkedCapacity returns the next capacity of a chunked body. One byte over the limit shows
// that a body is too large.
func chunkedCapacity(now, limit int) int {
	if now < chunkedStepBytes {
		return min(4*now, limit+1)
	}
	return limit + 1
}

// senseClose ends the context of the request when its caller closes the connection. The HTTP
// library does that by itself only for requests without a stream.
func senseClose(c *app.RequestContext) (stop func()) {
	connection, ok := c.GetConn().(interface {
		DetectConnectionClose()
		AbortBlockingRead()
	})
	if !ok {
		return func() {}
	}
	connection.DetectConnectionClose()
	return connection.AbortBlockingRead
}
