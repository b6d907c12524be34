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
	raw, err := c.(syscall.Conn).SyscallConn()
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
