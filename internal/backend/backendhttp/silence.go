package backendhttp

import (
	"fmt"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/transport"
)

// maxSilentPeriods is how many silence bounds a repeatable plain call waits
// for a server that answers on a fresh connection. Whether the server is slow
// or the connection is dead cannot be told apart, and another run does no
// harm. A call that must not be repeated waits for its deadline.
const maxSilentPeriods = 3

// lateGrace is the wait for bytes that left the server before it reported its
// position, so that a slow stream is not taken for a silent one.
const lateGrace = 500 * time.Millisecond

// checkStream decides on a stream without a byte for the silence bound: nil
// keeps waiting.
func (c *Client) checkStream(s *stream, connection *transport.Conn) error {
	if err := s.attempt.Context.Err(); err != nil {
		return err
	}
	status, known, err := c.status(s.attempt.Context, s.attempt.Address, s.attempt.Call.Request.ID)
	switch {
	case err != nil:
		return fmt.Errorf("%w, and a fresh connection failed: %w", errSilent, err)
	case !known:
		return errUnknown
	case status.Position == s.next && status.State != StateDone:
		return nil
	case s.behind && s.behindAt == s.next:
		return errBehind
	}
	s.behind, s.behindAt = true, s.next
	connection.Patience = lateGrace
	return nil
}

// checkCall decides on a plain call without a byte for the silence bound.
func (c *Client) checkCall(a backend.Attempt, periods int) error {
	if err := a.Context.Err(); err != nil {
		return err
	}
	p := c.probe(a.Context, a.Address)
	switch {
	case p.err != nil:
		return fmt.Errorf("%w, and a fresh connection failed: %w", errSilent, p.err)
	case p.crashed(a.Incarnation):
		return errRestarted
	case a.Call.Request.Repeatable && periods >= maxSilentPeriods:
		return errSilent
	}
	return nil
}
