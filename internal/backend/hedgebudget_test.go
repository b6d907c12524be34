package backend

import (
	"testing"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against forwarded requests that never earn a hedge because each of many customers
// has a budget of its own, and against contracts that share one.
func TestForwardedRequestsShareOneHedgeBudget(t *testing.T) {
	for _, forward := range []*core.ForwardedMessage{nil, {}} {
		budget := newHedgeBudget()
		for i := range 40 {
			budget.creditFirstAttempt(&core.Request{Customer: core.CustomerID(rune('a' + i)), HedgeShare: maxHedgeShare, Forward: forward})
		}
		if got := budget.allows(&core.Request{Customer: "a", Forward: forward}, 0); got != (forward != nil) {
			t.Errorf("forwarded %v: allowed %v", forward != nil, got)
		}
	}
}
