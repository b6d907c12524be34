package hosted

import (
	"net/http"
	"testing"
)

// Guards against a request that is forwarded just before the process exits, so that
// its answer is cut off.
func TestClosingDaemonPassesNothingOn(t *testing.T) {
	f, ctx, c := newServingFleet(t, 1)
	before, err := f.plain.Runs(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.daemons[0].isClosing.Store(true)
	a, err := c.Plain(ctx, "last", []byte("x"))
	if err != nil || a.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d, %v", a.Status, err)
	}
	after, err := f.plain.Runs(ctx)
	if err != nil || len(after) != len(before) {
		t.Errorf("%d requests were passed on, %v", len(after)-len(before), err)
	}
	f.stop(t)
}
