package transport

import (
	"net"
	"sync"
	"time"
)

// requestTimeout bounds the time from the first to the last byte of a request.
const requestTimeout = 60 * time.Second

// guardedListener returns connections on which a request is bounded as a whole. The
// HTTP library bounds the head and the body of a request, but neither the headers of
// its chunks nor its trailer.
type guardedListener struct {
	net.Listener
	maxRequestBytes int
}

// Accept waits for the next connection.
func (l guardedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	guarded := &guardedConn{Conn: c, maxRequestBytes: l.maxRequestBytes}
	guarded.guard.reset(l.maxRequestBytes, requestTimeout)
	return guarded, nil
}

// guardedConn is the server's side of a connection. The HTTP library reads it while a
// handler writes, to notice that the caller leaves.
type guardedConn struct {
	net.Conn
	maxRequestBytes int
	mu              sync.Mutex
	guard           progressGuard // under mu
}

// Read closes the connection with a reset if the request has too many bytes or takes
// too long.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if guardErr := c.receive(n); guardErr != nil {
		resetConnection(c.Conn)
		return 0, guardErr
	}
	return n, err
}

func (c *guardedConn) receive(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.receive(n, time.Now())
}

// Write sends a part of a response, which ends the request.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.guard.reset(c.maxRequestBytes, requestTimeout)
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// resetConnection closes the connection and discards data that the peer has not
// received.
func resetConnection(c net.Conn) {
	discardOnClose(c)
	_ = c.Close()
}

// discardOnClose makes the close of the connection a reset, which discards data that
// the peer has not received. After a plain close the operating system keeps
// retransmitting, so a request abandoned during a network partition could still be
// delivered seconds later, when the partition has healed.
func discardOnClose(c net.Conn) {
	if socket, ok := c.(*net.TCPConn); ok {
		// An error means that the socket has already been closed.
		_ = socket.SetLinger(0)
	}
}
