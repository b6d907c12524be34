package transport

import (
	"errors"
	"time"
)

const (
	// MaxResponseHeadBytes bounds the status line and the header fields of one
	// response, together with the interim responses before it.
	MaxResponseHeadBytes = 64 << 10
	// MaxEventBytes bounds what a server may send on a stream until an event is
	// complete: its lines, comments, empty lines and chunk headers.
	MaxEventBytes = 256 << 10
	// progressTimeout bounds the time over which a peer may send bytes that
	// complete neither a head nor an event nor a part of a body.
	progressTimeout = 5 * time.Second
)

// Errors of a peer that sends bytes without completing a message. The connection must
// be closed, since its next bytes belong to no message.
var (
	ErrNoProgressBytes = errors.New("transport: the peer sent too many bytes that complete no head, event, body or request")
	ErrNoProgressTime  = errors.New("transport: the peer sent bytes for too long that complete no head, event, body or request")
	ErrBodyTooLarge    = errors.New("transport: the body of the response is too large")
)

// IsEndless reports whether err ended a response that had no end within its limits.
func IsEndless(err error) bool {
	return errors.Is(err, ErrNoProgressBytes) || errors.Is(err, ErrNoProgressTime) || errors.Is(err, ErrBodyTooLarge)
}

// progressGuard bounds the bytes that a peer sends, and the time that it takes,
// between two points of progress of a message. Without it, a peer whose head, line
// or chunk header never ends fills the memory of this process.
type progressGuard struct {
	maxBytes int
	timeout  time.Duration
	received int       // bytes since the last progress
	since    time.Time // arrival of the first of these bytes
}

// reset records progress and sets the limits until the next.
func (g *progressGuard) reset(maxBytes int, timeout time.Duration) {
	*g = progressGuard{maxBytes: maxBytes, timeout: timeout}
}

// receive counts bytes that have arrived. A guard that was never reset has no limit.
func (g *progressGuard) receive(n int, now time.Time) error {
	if g.maxBytes == 0 || n == 0 {
		return nil
	}
	if g.received == 0 {
		g.since = now
	}
	g.received += n
	switch {
	case g.received > g.maxBytes:
		return ErrNoProgressBytes
	case now.Sub(g.since) > g.timeout:
		return ErrNoProgressTime
	}
	return nil
}
