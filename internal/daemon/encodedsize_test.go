package daemon_test

import (
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/daemon/daemonrpc"
)

// The benchmarks of package daemon count the bytes of the actual encoding.
func init() {
	daemon.EncodedSize = func(e daemon.Envelope) int {
		n, err := daemonrpc.EncodedSize(e)
		if err != nil {
			panic(err)
		}
		return n
	}
}
