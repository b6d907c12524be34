// Package transporttest serves raw connections to tests of clients. It decides nothing
// and has no duty.
package transporttest

import (
	"net"
	"testing"

	"github.com/berylfall/berylfall/internal/duty"
)

// maxConnections is the number of connections that a listener serves at once. Any
// further ones are closed.
const maxConnections = 1024

// Serve calls serve for each connection to a listener, and closes the connection
// afterwards. It returns the listener's address.
func Serve(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	pool, err := duty.NewPool("test connections", 1+maxConnections)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	pool.TryGo(func() { acceptAll(l, pool, serve) })
	return l.Addr().String()
}

func acceptAll(l net.Listener, pool *duty.Pool, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		started := pool.TryGo(func() {
			defer func() { _ = c.Close() }()
			serve(c)
		})
		if !started {
			_ = c.Close()
		}
	}
}
