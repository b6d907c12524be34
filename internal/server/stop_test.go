package server

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/platform/platformhttp"
	"github.com/berylfall/berylfall/internal/standin/deployment"
)

// Guards against a planned stop that does not release the leases, so that the next
// holder has to wait until they expire.
func TestStopReleasesLeases(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	deployed := startTestDeployment(t, ctx, deployment.Spec{})
	store := platformhttp.NewClient(deployed.standins.PlatformURL())
	holder := func() string {
		object, err := store.Get(ctx, "leases/shares/local")
		if err != nil {
			return ""
		}
		return string(object.Value)
	}
	for !strings.Contains(holder(), `"holder":"local/`) {
		requireNoError(t, ctx.Err())
		time.Sleep(20 * time.Millisecond)
	}
	deployed.daemon.Stop(ctx)
	if after := holder(); !strings.Contains(after, `"holder":""`) {
		t.Errorf("lease after the stop = %s, want one without a holder", after)
	}
}
