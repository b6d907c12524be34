package server

import (
	"context"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/caller/callerhttp"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/standin/deployment"
	"github.com/berylfall/berylfall/internal/standin/weightstore"
	"github.com/berylfall/berylfall/internal/transport"
)

// Guards against a published version that does not reach every engine, and against
// answers labelled with the ordered version instead of the one that generated the
// tokens.
func TestPublishedVersionReachesEveryEngine(t *testing.T) {
	checkPublishedVersionReachesEveryEngine(t, duty.NewBootClock())
}

// Guards against reports of engines that count as outdated, so that no version is rolled
// out, after the wall clock was stepped back: reports are timed by the system clock, and
// orders by the clock of the lease.
func TestPublishedVersionReachesEveryEngineAfterAStepOfTheWallClock(t *testing.T) {
	checkPublishedVersionReachesEveryEngine(t, steppedClock{duty.NewBootClock(), -wallClockStep})
}

func checkPublishedVersionReachesEveryEngine(t *testing.T, leaseClock duty.Clock) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	runner, err := duty.NewRunner(4)
	requireNoError(t, err)
	defer runner.Stop(ctx)
	store, err := weightstore.Start("127.0.0.1:0", duty.SystemClock{}, runner)
	requireNoError(t, err)
	bed := startTestDeploymentWithLeaseClock(t, ctx, leaseClock, deployment.Spec{Engines: []deployment.EngineSpec{{
		Name: "wear", Count: 4, Service: "wear-model", Kind: "gpu", Model: "wear", Version: 3,
		Slots: 8, TokenTime: time.Millisecond, ChecksFence: true, DataCentres: []string{"local"},
	}}}, "--weights-url", store.URL())
	store.Publish(ctx, "wear", 4)
	const inARow = 20 // consecutive answers by version 4, enough to reach all four engines
	for seen := 0; seen < inARow; {
		var answer callerhttp.CompletionResponse
		err := transport.DoJSON(ctx, bed.client, transport.Exchange{
			Method: "POST", URL: "http://" + bed.daemon.CallerAddress() + "/v1/completions",
			Headers: map[string]string{transport.HeaderCustomer: testCustomer},
			Body:    callerhttp.CompletionRequest{Model: "wear", Prompt: "strap", MaxTokens: 3},
		}, &answer)
		requireNoError(t, ctx.Err())
		if err != nil || answer.VersionSpans[0].Version != 4 {
			seen = 0
			time.Sleep(20 * time.Millisecond)
			continue
		}
		seen++
	}
}
