package daemonrpc

import (
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
)

// contractSnapshot returns a store snapshot with one contract of the given
// version.
func contractSnapshot(version int64) platform.Snapshot {
	value := []byte(`{"customer":"prairie","limits":{"concurrency":4}}`)
	o := platform.Object{Key: daemon.ContractPrefix + "prairie", Version: version, Revision: version, Value: value}
	return platform.Snapshot{Objects: []platform.Object{o}, Revision: version, Full: true}
}
