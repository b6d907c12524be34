package server

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/duty"
)

// recordedDescription is the value in testdata/description.json, which a test of
// an earlier build wrote with that build's encoding.
var recordedDescription = backend.Description{
	Kind: "vend", Service: "wear-model", Incarnation: "run-7", Role: backend.RolePrefill,
	Models:        []backend.ModelDescription{{Name: "wear", Version: 3, Adapters: []string{"winter", "summer"}, Loading: true}},
	ContextTokens: 4096, Operations: []string{"book", "slots"}, ChecksFence: true, Slots: 6,
}

// Guards against a renamed field of a backend server's description, after which
// a daemon uses no server that one of another build polls. The fields have no
// tags, so their names in Go are the names in the messages.
func TestRecordedDescription(t *testing.T) {
	value, err := os.ReadFile(filepath.Join("testdata", "description.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got := receiveDescription(t, value); !reflect.DeepEqual(got, recordedDescription) {
		t.Errorf("the description is read as %+v, want %+v", got, recordedDescription)
	}
	sent := toPeerReport(backend.ServerReport{Server: "engine-0", Description: recordedDescription}, time.Unix(1e9, 0))
	if string(sent.Description) != string(value) {
		t.Errorf("the description is written as\n%s, want\n%s", sent.Description, value)
	}
}

// receiveDescription returns the description that the table of backend servers
// has after another daemon's report.
func receiveDescription(t *testing.T, value []byte) backend.Description {
	t.Helper()
	pool, err := duty.NewPool("test", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	clock := duty.NewManualClock(time.Unix(1e9, 0))
	var servers []backend.Server
	poller := backend.NewPoller(clock, nil, nil, pool, func(s []backend.Server) { servers = s })
	poller.SetAssignments(func(core.ServerID) bool { return false })
	poller.Loop().RunPending()
	poller.SetServers([]backend.Server{{ID: "engine-0"}})
	poller.Loop().RunPending()
	clock.Advance(time.Millisecond)
	b := &builder{clock: clock, poller: poller}
	b.addPeerReports([]daemon.PeerReport{{LocalReport: daemon.LocalReport{Server: "engine-0", MeasuredAt: clock.Now(), Description: value}}})
	poller.Loop().RunPending()
	clock.Advance(time.Second)
	poller.Loop().RunPending()
	if len(servers) != 1 {
		t.Fatalf("%d described servers, want 1", len(servers))
	}
	return servers[0].Description
}
