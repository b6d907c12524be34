package server

import (
	"context"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/standin/deployment"
	"github.com/berylfall/berylfall/internal/transport"
)

// wallClockStep is longer than the validity of a grant and the age at which a report is
// ignored.
const wallClockStep = 15 * time.Second

// steppedClock is a boot clock after a step of the wall clock, by which it then differs
// from the system clock.
type steppedClock struct {
	*duty.BootClock
	step time.Duration
}

func (c steppedClock) Now() time.Time { return c.BootClock.Now().Add(-c.step) }

// Guards against a lease that operators see as expired, or as valid for too long, after a step
// of the wall clock.
func TestStatusOfALeaseShowsTheWallClock(t *testing.T) {
	const left = 3 * time.Second
	now := time.Unix(1e9, 0)
	leaseNow := now.Add(-wallClockStep)
	shown := leaseStatus(platform.Lease{Name: "l", Fence: 1, Deadline: leaseNow.Add(left)}, leaseNow, now).Until
	if !shown.Equal(now.Add(left)) {
		t.Errorf("a lease that ends in %v is shown to end in %v", left, shown.Sub(now))
	}
}

// Guards against grants of limits that admission takes as expired after the wall clock was
// stepped forward: a limit of one call at a time needs a grant.
func TestGrantsAreUsedAfterAStepOfTheWallClock(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	bed := startTestDeploymentWithLeaseClock(t, ctx, steppedClock{duty.NewBootClock(), wallClockStep}, deployment.Spec{
		Plains: []deployment.PlainSpec{{Name: "desk", Count: 1, Service: "card-desk", Kind: "cpu", Operations: []string{"lookup"}}},
	})
	contract := testContract()
	contract.Limits = core.Limits{Concurrency: 1}
	bed.applyContract(t, ctx, contract)
	waitUntilServing(t, ctx, bed.client, transport.Exchange{
		Method: "POST", URL: "http://" + bed.daemon.CallerAddress() + "/v1/services/card-desk/lookup",
		Headers: map[string]string{transport.HeaderCustomer: testCustomer}, Body: map[string]string{"card": "7"},
	})
}
