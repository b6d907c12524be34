package usage_test

import (
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/usage"
)

// Guards against totals that are taken for held although their receiver had no room for them:
// they are sent again only when the counts of their window change.
func TestTotalsWithoutRoomAreSentAgain(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	h.isFull = true
	h.count("a", 1)
	w.run(time.Second)
	h.isFull = false
	w.run(length)
	if len(h.received) == 0 {
		t.Error("the totals were not sent again")
	}
}

// Guards against a request that is not counted because another customer used its ID.
func TestRequestsOfTwoCustomersMayHaveOneID(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	for _, customer := range []core.CustomerID{"a", "b", "a"} {
		h.counts.Record(usage.Begun{Request: "r", Customer: customer, SentAt: w.clock.Now()})
	}
	w.run(time.Second)
	if len(h.received) == 0 {
		t.Fatal("no totals were sent")
	}
	if counts := h.received[len(h.received)-1].Counts; counts["a"] != 1 || counts["b"] != 1 {
		t.Errorf("counts %v", counts)
	}
}
