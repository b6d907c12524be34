package transporttest

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Partition makes the operating system drop everything that arrives for the connection,
// as a network partition does, and acknowledge nothing. It returns a function that ends
// the partition.
func Partition(t *testing.T, c net.Conn) (heal func()) {
	t.Helper()
	return dropArrivals(t, c.(syscall.Conn))
}

// Listen returns a listener for PartitionListener. The operating system refuses it for the
// default listener, which uses multipath TCP.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// PartitionListener makes the operating system drop all attempts to connect to the
// listener, so that opening a connection takes until the caller gives up.
func PartitionListener(t *testing.T, l net.Listener) {
	t.Helper()
	dropArrivals(t, l.(syscall.Conn))
}

func dropArrivals(t *testing.T, c syscall.Conn) (heal func()) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// A filter that keeps no byte of a packet drops it.
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	control(t, raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
	return func() {
		control(t, raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		})
	}
}

func control(t *testing.T, raw syscall.RawConn, set func(fd int) error) {
	t.Helper()
	setErr := error(nil)
	if err := raw.Control(func(fd uintptr) { setErr = set(int(fd)) }); err != nil {
		t.Fatal(err)
	}
	if setErr != nil {
		t.Fatal(setErr)
	}
}
