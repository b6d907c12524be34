package daemonrpc

import (
	"reflect"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

// Guards against a relay's answer that loses a field on its way, or that confirms the
// asking daemon's list for a time after its question.
func TestRelayAnswerIsWhole(t *testing.T) {
	l := platform.Listing{
		Revision: 7, UpTo: -300 * time.Millisecond, Positions: []platform.Position{{Prefix: "config/", Change: 5}},
		Objects: []platform.Object{{Key: "servers/a", Version: 14, Revision: 7, Value: []byte("x")}, {Key: "servers/b", Version: 13, Revision: 6, Deleted: true}},
	}
	got, err := decodeWatchResponse(encodeWatchResponse(l, nil))
	if err != nil || !reflect.DeepEqual(got, l) {
		t.Errorf("answer %+v, %v in place of %+v", got, err, l)
	}
	l.UpTo = time.Hour
	if got, err = decodeWatchResponse(encodeWatchResponse(l, nil)); err != nil || got.UpTo != 0 {
		t.Errorf("confirmed for %v after the question, %v", got.UpTo, err)
	}
	if _, err := decodeWatchResponse(encodeWatchResponse(l, platform.ErrRelayUnavailable)); err == nil {
		t.Error("a refusal is an answer")
	}
}
