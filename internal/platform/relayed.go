package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// directAfterFailure is how long watches go to the store itself after a relay has
// failed.
const directAfterFailure = 2 * time.Second

// RelayClient requests the changes after a revision from another daemon. Its
// method blocks.
type RelayClient interface {
	WatchRelay(ctx context.Context, address string, after int64) (Listing, error)
}

// RelayedOptions are the settings of a RelayedAPI. All are required except
// FirstRelay and OnPosition.
type RelayedOptions struct {
	Client RelayClient
	// MaxChangeDelay is the time within which a change must be received.
	MaxChangeDelay time.Duration
	// Relays returns the addresses of the relays. Without any, watches go to the
	// store itself.
	Relays func() []string
	// FirstRelay is the index of the relay that is used first.
	FirstRelay int
	// OnPosition is called with each position in the answer of a relay. It must not block;
	// nil ignores them.
	OnPosition func(Position)
	// OnRelayFailure is called for a relay that has failed. It must not block.
	OnRelayFailure func(address string, err error)
}

// RelayedAPI is the object API with watches that go to relays while these answer.
// All other calls go to the store. It is safe for concurrent use.
type RelayedAPI struct {
	ObjectAPI
	clock   duty.Clock
	options RelayedOptions

	relayIndex  atomic.Int64 // of the relay in use; the next one after each failure
	directUntil atomic.Int64 // Unix nanoseconds until which watches go to the store
}

// NewRelayedAPI returns the API on top of the store.
func NewRelayedAPI(store ObjectAPI, clock duty.Clock, o RelayedOptions) *RelayedAPI {
	a := &RelayedAPI{ObjectAPI: store, clock: clock, options: o}
	a.relayIndex.Store(int64(o.FirstRelay))
	return a
}

// Watch waits for changes like ObjectAPI.Watch. When a relay fails, the store
// answers in its place.
func (a *RelayedAPI) Watch(ctx context.Context, prefix string, after int64) (Listing, error) {
	relays := a.options.Relays()
	if len(relays) == 0 || a.clock.Now().UnixNano() < a.directUntil.Load() {
		return a.ObjectAPI.Watch(ctx, prefix, after)
	}
	address := relays[int(a.relayIndex.Load())%len(relays)]
	relayCtx, cancel := context.WithTimeout(ctx, shareOf(a.options.MaxChangeDelay, relayCallShare))
	defer cancel()
	listing, err := a.options.Client.WatchRelay(relayCtx, address, after)
	if err == nil {
		a.reportPositions(listing)
		return listing, nil
	}
	a.options.OnRelayFailure(address, err)
	a.relayIndex.Add(1)
	a.directUntil.Store(a.clock.Now().Add(directAfterFailure).UnixNano())
	return a.ObjectAPI.Watch(ctx, prefix, after)
}

func (a *RelayedAPI) reportPositions(l Listing) {
	if a.options.OnPosition == nil {
		return
	}
	for _, p := range l.Positions {
		a.options.OnPosition(p)
	}
}
