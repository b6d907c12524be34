package hosted

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
)

// Guards against a renamed field or key of a daemon's entry, after which daemons
// of two builds don't find each other. testdata/daemon.json is the value that a
// running daemon of an earlier build stored under daemons/front-0.
func TestRecordedDaemonEntry(t *testing.T) {
	const address = "127.0.0.1:36600" // in the recorded entry
	value, err := os.ReadFile(filepath.Join("testdata", "daemon.json"))
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t, 1)
	defer f.stop(t)
	store, own := adapter.NewStore(f.store.Address()), f.daemons[0]
	put := platform.Write{Key: "daemons/front-9", Value: value, IfVersion: platform.Absent, Token: "recorded"}
	if _, err := store.Put(t.Context(), put); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "address of the recorded entry", func() bool { return slices.Contains(own.peers.Addresses(), address) })
	want := strings.ReplaceAll(string(value), address, own.hostSettings.PeerAddress)
	var written platform.Object
	waitFor(t, "entry of the daemon", func() bool {
		written, err = store.Get(t.Context(), "daemons/front-0")
		return err == nil
	})
	if string(written.Value) != want {
		t.Errorf("the entry is written as %s, want %s", written.Value, want)
	}
}
