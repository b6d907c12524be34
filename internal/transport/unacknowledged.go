package transport

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DefaultAckTimeout is a bound for Conn.AckTimeout. The operating system of the peer
// acknowledges within a round trip, also for a process that is slow or stopped, and a
// lost packet is sent again after 0.2 and 0.6 s.
const DefaultAckTimeout = time.Second

// looksPerAckTimeout is the number of looks at the send queue after which a request is
// given up. With one look, a host that was suspended would give up requests whose
// acknowledgements have just arrived.
const looksPerAckTimeout = 2

// ErrUnacknowledged ends a request of which the peer acknowledges no further byte: the
// network path to it is broken. The connection must be reset. Otherwise the operating
// system delivers the request when the path is whole again, which may be seconds later.
var ErrUnacknowledged = errors.New("transport: the peer does not acknowledge the request, the path to it is broken")

// ackWatch follows whether the bytes of a request reach the operating system of the peer.
type ackWatch struct {
	interval     time.Duration // between two looks; 0 is no further look
	acknowledged int           // bytes at the last look; -1 before the first
}

// startAckWatch begins to watch a request of which no byte has been written.
func (c *Conn) startAckWatch() {
	c.acks = ackWatch{interval: c.AckTimeout / looksPerAckTimeout, acknowledged: -1}
}

// operate calls operation with a time after which it must end with
// os.ErrDeadlineExceeded, and again until it ends otherwise or the timeout has passed. In
// between it looks at the send queue and returns ErrUnacknowledged if the path to the
// peer is broken.
func (c *Conn) operate(timeout time.Duration, operation func(limit time.Duration) error) error {
	for c.acks.interval > 0 && timeout > c.acks.interval {
		limit := c.acks.interval
		err := operation(limit)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		timeout -= limit
		if c.isPathBroken() {
			c.fatalErr = ErrUnacknowledged
			return c.fatalErr
		}
	}
	return operation(timeout)
}

// isPathBroken looks at the send queue. It reports whether the peer has acknowledged none
// of the bytes in it since the last look, although it had room for them. There is no
// further look once the queue is empty or if the operating system does not report it.
func (c *Conn) isPathBroken() bool {
	queue, err := c.readSendQueue()
	if err != nil || queue.unacknowledged == 0 {
		c.acks.interval = 0
		return false
	}
	acknowledged := c.BytesWritten - queue.unacknowledged
	isStuck := acknowledged == c.acks.acknowledged
	c.acks.acknowledged = acknowledged
	return isStuck && !queue.isPeerFull
}

// hasUnacknowledged reports whether the peer has not acknowledged all bytes. It is false if
// the operating system does not report them.
func (c *Conn) hasUnacknowledged() bool {
	queue, err := c.readSendQueue()
	return err == nil && queue.unacknowledged > 0
}

// sendQueue is the state of the bytes that the operating system holds for the peer.
type sendQueue struct {
	unacknowledged int // bytes, with those not sent yet
	// isPeerFull reports that the peer has answered since bytes were last sent, so it
	// has no room for those that it does not acknowledge.
	isPeerFull bool
}

// errNoSendQueue is the error for a connection that is no socket.
var errNoSendQueue = errors.New("transport: the connection has no send queue")

func (c *Conn) readSendQueue() (q sendQueue, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return q, errNoSendQueue
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return q, err
	}
	controlErr := raw.Control(func(fd uintptr) { q, err = readSendQueue(int(fd)) })
	return q, errors.Join(controlErr, err)
}

func readSendQueue(fd int) (q sendQueue, err error) {
	if q.unacknowledged, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ); err != nil || q.unacknowledged == 0 {
		return q, err
	}
	if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
		// Systems that do not report these times leave them 0.
		q.isPeerFull = info.Last_data_sent > 0 && info.Last_ack_recv <= info.Last_data_sent
	}
	return q, nil
}
