package caller

import (
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against daemons that together exceed a limit because each of them uses the
// whole of it before it has a share, and against demand that is not reported, so that
// no grant follows.
func TestSharedLimitNeedsAShare(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCustomerState(true, func() time.Time { return now }, now)
	c.setContract(&core.Contract{Limits: core.Limits{RequestsPerSecond: 100}}, now)
	if _, _, ok := c.limits.admit(10, now); ok {
		t.Error("a request was admitted without a share")
	}
	used := c.takeDemand()
	if used[LimitRequests] != 2 || used[LimitTokens] != 0 || used[LimitConcurrency] != 0 {
		t.Errorf("usage = %v, want 2 requests a second and no other limit", used)
	}
	if used := c.takeDemand(); used[LimitRequests] != 0 {
		t.Errorf("usage of an idle period = %v, want none", used)
	}
	c.limits.setShare(LimitRequests, 10, time.Time{}, now)
	now = now.Add(time.Second) // the bucket starts empty
	admitted := 0
	for range 100 {
		if _, _, ok := c.limits.admit(10, now); ok {
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("admitted %d requests after a second with a share of 10 a second, want 10", admitted)
	}
}
