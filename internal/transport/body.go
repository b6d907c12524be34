package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/cloudwego/hertz/pkg/protocol"
	hertzresp "github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"golang.org/x/sync/semaphore"
)

// Bounds of the bodies that are read as a whole.
const (
	// MaxProbeBodyBytes bounds the body of a report, a health check or an error.
	MaxProbeBodyBytes = 1 << 20
	// MaxListingBytes bounds the body of a call that returns many objects at once.
	MaxListingBytes = 64 << 20
	// smallBodyBytes is the size up to which a body needs no share of the budget
	// for large bodies.
	smallBodyBytes = 64 << 10
	// firstPartBytes and maxPartBytes are the capacities of the first and the
	// largest part of a body.
	firstPartBytes = 4 << 10
	maxPartBytes   = 256 << 10
	// maxChunkReadBytes bounds one read of a chunked body. The library fills the whole
	// part before it returns, and the guard counts what arrives until then: it must be
	// well below MaxResponseHeadBytes.
	maxChunkReadBytes = 16 << 10
)

// Special content lengths of the HTTP library.
const (
	chunkedLength        = -1
	untilConnectionClose = -2
)

// ReadResponseHeader reads the status line and the header fields of the response
// and skips interim responses.
func (c *Conn) ReadResponseHeader(resp *protocol.Response) error {
	c.guard.reset(MaxResponseHeadBytes, progressTimeout)
	for {
		if err := hertzresp.ReadHeaders(resp, c); err != nil {
			return c.headError(err)
		}
		const firstFinalStatus = 200
		if resp.StatusCode() >= firstFinalStatus {
			// A response without a Content-Type has none.
			resp.Header.SetNoDefaultContentType(true)
			c.guard.reset(MaxResponseHeadBytes, progressTimeout)
			return nil
		}
		resp.Header.Reset()
	}
}

// headError returns the connection's fatal error, which the HTTP library does not wrap,
// or the library's without the received bytes that it quotes in full.
func (c *Conn) headError(err error) error {
	if c.fatalErr != nil {
		return c.fatalErr
	}
	const maxShown = 200 // bytes
	if text := err.Error(); len(text) > maxShown {
		return fmt.Errorf("%s ... (%d bytes)", text[:maxShown], len(text))
	}
	return err
}

// ReadResponseBody reads the whole body of the response. A body over maxBytes is
// ErrBodyTooLarge. It waits while the pool's connections read other large bodies,
// until ctx ends.
func (c *Conn) ReadResponseBody(ctx context.Context, resp *protocol.Response, maxBytes int) error {
	if resp.MustSkipBody() {
		return nil
	}
	length := resp.Header.ContentLength()
	if length > maxBytes {
		return fmt.Errorf("%w: %d of at most %d bytes", ErrBodyTooLarge, length, maxBytes)
	}
	body, err := c.readBody(ctx, c.newBodyReader(length), length, maxBytes)
	if err != nil {
		return err
	}
	resp.SetBodyRaw(body)
	return nil
}

// readBody reads until the end of the body. Memory is allocated as bytes arrive,
// not by the length that the server announces.
func (c *Conn) readBody(ctx context.Context, r io.Reader, length, maxBytes int) ([]byte, error) {
	var body bodyParts
	isReserved := false
	for {
		if body.size >= smallBodyBytes && !isReserved {
			reserved := reservation(length, maxBytes)
			if err := c.reserveBody(ctx, reserved); err != nil {
				return nil, err
			}
			defer c.releaseBody(reserved)
			isReserved = true
		}
		n, err := body.readFrom(r)
		if body.size > maxBytes {
			return nil, fmt.Errorf("%w: over %d bytes", ErrBodyTooLarge, maxBytes)
		}
		if n > 0 {
			c.guard.reset(MaxResponseHeadBytes, progressTimeout)
		}
		if errors.Is(err, io.EOF) {
			return body.join(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyParts is a body while it is read. It is not copied as it grows, so that a body
// that is rejected in the end leaves little garbage.
type bodyParts struct {
	full [][]byte
	last []byte
	size int // bytes in all parts
}

// readFrom appends the bytes of one read.
func (b *bodyParts) readFrom(r io.Reader) (int, error) {
	if len(b.last) == cap(b.last) {
		if len(b.last) > 0 {
			b.full = append(b.full, b.last)
		}
		b.last = make([]byte, 0, min(max(firstPartBytes, b.size), maxPartBytes))
	}
	n, err := r.Read(b.last[len(b.last):cap(b.last)])
	b.last = b.last[:len(b.last)+n]
	b.size += n
	return n, err
}

// join returns the whole body.
func (b *bodyParts) join() []byte {
	if len(b.full) == 0 {
		return b.last
	}
	return bytes.Join(append(b.full, b.last), nil)
}

// reservation returns the share of the budget that a large body needs: its length,
// or the maximum if the length is unknown.
func reservation(length, maxBytes int) int64 {
	if length >= 0 {
		return int64(length)
	}
	return int64(maxBytes)
}

func (c *Conn) reserveBody(ctx context.Context, n int64) error {
	if c.largeBodies == nil {
		return nil
	}
	return c.largeBodies.Acquire(ctx, n)
}

func (c *Conn) releaseBody(n int64) {
	if c.largeBodies != nil {
		c.largeBodies.Release(n)
	}
}

// newLargeBodies returns the budget of a pool's large bodies in bytes. Bodies that
// do not fit wait, so that servers whose bodies never end do not fill the memory.
func newLargeBodies(bytes int) *semaphore.Weighted { return semaphore.NewWeighted(int64(bytes)) }

// StreamResponseBody makes the body readable as it arrives. The reader of the stream
// calls MarkEvent after each event; without it, the stream ends with an error after
// MaxEventBytes.
func (c *Conn) StreamResponseBody(resp *protocol.Response) {
	length := resp.Header.ContentLength()
	c.guard.reset(MaxEventBytes, progressTimeout)
	resp.SetBodyStream(c.newBodyReader(length), length)
}

// MarkEvent records that an event of a stream is complete.
func (c *Conn) MarkEvent() { c.guard.reset(MaxEventBytes, progressTimeout) }

// newBodyReader returns a reader of the body of the given length.
func (c *Conn) newBodyReader(length int) io.Reader {
	switch length {
	case chunkedLength:
		buffered := bufio.NewReader(c)
		return &chunkedBody{conn: c, buffered: buffered, chunks: httputil.NewChunkedReader(buffered)}
	case untilConnectionClose:
		return c
	default:
		return &sizedBody{reader: c, left: length}
	}
}

// sizedBody reads a body of known length. A connection that ends earlier is
// io.ErrUnexpectedEOF.
type sizedBody struct {
	reader io.Reader
	left   int
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a chunked body and its trailer, which it discards.
type chunkedBody struct {
	conn     *Conn
	buffered *bufio.Reader
	chunks   io.Reader
	isEnded  bool
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.isEnded {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p[:min(len(p), maxChunkReadBytes)])
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.isEnded = true
	b.conn.unread(b.buffered)
	return n, io.EOF
}

// skipTrailer reads up to the empty line that ends the body. The guard of the
// connection bounds the trailer.
func (b *chunkedBody) skipTrailer() error {
	for {
		line, err := b.buffered.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return ErrNoProgressBytes
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}

// unread returns the bytes that the reader of a body has buffered beyond its end.
func (c *Conn) unread(r *bufio.Reader) {
	extra, _ := r.Peek(r.Buffered())
	if len(extra) > 0 {
		c.buffer, c.start = append(bytes.Clone(extra), c.buffer[c.start:]...), 0
	}
}
