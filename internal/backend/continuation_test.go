package backend

import (
	"context"
	"fmt"
	"testing"

	"github.com/berylfall/berylfall/internal/core"
)

// runTwoReleases sets the software version of each second server to "v2" and of the
// others to "v1".
func (b *dispatchHarness) runTwoReleases() {
	for i := range b.servers {
		b.servers[i].Description.Software = core.SoftwareVersion(fmt.Sprint("v", 1+i%2))
	}
	b.publish()
}

// breakAfterEvent returns an exchange whose attempts bring one event and break, and
// are complete from the given attempt of a request on.
func breakAfterEvent(complete int) func(Attempt) AttemptEnd {
	return func(a Attempt) AttemptEnd {
		if a.Number >= complete {
			return completed(a)
		}
		end := broken(a)
		end.Tokens = []int32{int32(len(a.Resume.Tokens) + 1)}
		return end
	}
}

// Guards against a stream with events of servers of two software versions.
func TestStreamContinuesOnlyOnItsSoftwareVersion(t *testing.T) {
	const calls, attemptsPerCall = 40, 3
	b := newDispatchHarness(t, 8, breakAfterEvent(attemptsPerCall))
	b.runTwoReleases()
	for range calls {
		b.submit(context.Background(), 0, true)
		b.runPending()
	}
	b.advance(5 * maxBackOff)
	if len(b.attempts) != calls*attemptsPerCall {
		t.Errorf("%d attempts, want %d", len(b.attempts), calls*attemptsPerCall)
	}
	crossed, first := 0, map[core.RequestID]core.SoftwareVersion{}
	for _, a := range b.attempts {
		id := a.Call.Request.ID
		if a.Number == 1 {
			first[id] = a.Software
		}
		if a.Software != first[id] {
			crossed++
		}
	}
	if crossed > 0 {
		t.Errorf("%d of %d further attempts went to a server of another software version", crossed, calls*(attemptsPerCall-1))
	}
}
