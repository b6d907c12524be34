package daemonrpc

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/trainer/batch"
)

var testSuspects = backend.SuspectReport{
	Crashes:         []backend.CrashReport{{CrashID: backend.CrashID{Server: "s", Run: "s@1"}, Daemon: "d", InFlight: []uint64{1, 1 << 63}, Accepted: 2}},
	Suspects:        []backend.SuspectRequest{{Fingerprint: 3, CrashesAlone: 1, Remaining: time.Minute}},
	ConfirmedCauses: []backend.ConfirmedCause{{Fingerprint: 4, Remaining: time.Second}},
}

// Guards against a field of a suspect, a crash or a cause that is lost between two daemons,
// and against a crash that cannot be attributed to a daemon.
func TestSuspectMessagesAreWhole(t *testing.T) {
	var received backend.SuspectReport
	s := PeerServer{handlers: PeerHandlers{
		HandleEngineNotifications: func([]backend.ModelStatus) {},
		HandleOwnerNotifications:  func([]batch.Ownership) {},
		HandleSuspects:            func(r backend.SuspectReport) { received = r },
		HandleSuspectQuestion:     func(context.Context) (backend.SuspectReport, error) { return testSuspects, nil },
	}}
	sent := testSuspects
	sent.Crashes = append([]backend.CrashReport{{CrashID: backend.CrashID{Server: "s"}}, {Daemon: "d"}}, sent.Crashes...)
	if _, err := s.handleRequest(encodeNotifications(Notifications{Suspects: sent})); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(received, testSuspects) {
		t.Errorf("received %+v", received)
	}
	answer, err := s.handleRequest(&Question{Kind: &Question_Suspects{Suspects: &SuspectQuestion{}}})
	if err != nil || !reflect.DeepEqual(decodeSuspects(answer.GetSuspects()), testSuspects) {
		t.Errorf("answer %v, %v", answer, err)
	}
}
