package backendhttp

import (
	"fmt"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// maxIdlePeriods is the number of idle timeouts for which a repeatable plain
// call waits for a server that answers on a new connection. A slow server
// cannot be distinguished from a dead connection, and repeating the call is
// safe. A call that must not be repeated waits until its deadline.
const maxIdlePeriods = 3

// inTransitGrace is the wait for events that left the server before it reported
// its position, so that a slow stream is not treated as a dead one.
const inTransitGrace = 500 * time.Millisecond

// checkIdleStream examines a stream on which no byte arrived for the idle
// timeout. It returns nil to keep waiting.
func (c *Client) checkIdleStream(s *stream, connection *transport.Conn) error {
	if err := core.ContextCause(s.attempt.Context); err != nil {
		return err
	}
	status, known, err := c.requestStatus(s.attempt.Context, s.attempt.Address, s.attempt.Call.Request.ID)
	switch {
	case err != nil:
		return fmt.Errorf("%w, and a new connection failed: %w", errConnectionIdle, err)
	case !known:
		return errUnknownRequest
	case status.Position == s.nextPosition && status.State != StateDone:
		return nil
	case s.isServerAhead && s.serverAheadAt == s.nextPosition:
		return errServerAhead
	}
	s.isServerAhead, s.serverAheadAt = true, s.nextPosition
	connection.NextReadTimeout = inTransitGrace
	return nil
}

// checkIdleCall examines a plain call for which no byte arrived for the idle
// timeout. It returns nil to keep waiting.
func (c *Client) checkIdleCall(a backend.Attempt, periods int) error {
	if err := core.ContextCause(a.Context); err != nil {
		return err
	}
	p := c.probe(a.Context, a.Address)
	switch {
	case p.err != nil:
		return fmt.Errorf("%w, and a new connection failed: %w", errConnectionIdle, p.err)
	case p.hasCrashed(a.Incarnation):
		return errServerRestarted
	case a.Call.Request.Repeatable && periods >= maxIdlePeriods:
		return errConnectionIdle
	}
	return nil
}
