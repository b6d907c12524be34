package server

import (
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

// Calls beside those of the store duty.
const (
	// watchCalls is the room in the pool for watches and polls, abandoned ones
	// included.
	watchCalls = 8
	// waitingWatches is how many watches the platform may count as waiting. A
	// replaced watch counts until the platform notices that its reader is gone.
	waitingWatches = 4
)

func (b *builder) buildPlatform() error {
	var err error
	b.platformClient, err = platformhttp.NewClient(b.settings.PlatformURL, transport.ClientOptions{})
	if err != nil {
		return err
	}
	b.storePool, err = b.pool("store", b.settings.StoreCalls+watchCalls)
	if err != nil {
		return err
	}
	b.store = platform.NewStoreWith(b.clock, b.platformClient, b.storePool, platform.StoreOptions{
		Budget:     platform.NewBudget(platform.BudgetOptions{WaitingWatches: waitingWatches}),
		Concurrent: b.settings.StoreCalls,
		Random:     b.random(),
	})
	return b.start(b.store.Loop())
}
