package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// relayRetry is how long a daemon asks the store itself after a relay has failed.
const relayRetry = 2 * time.Second

// RelayClient asks another daemon for the changes after a revision. Its method blocks.
type RelayClient interface {
	WatchRelay(ctx context.Context, address string, after int64) (Listing, error)
}

// RelayedOptions describe the way through relays.
type RelayedOptions struct {
	Client RelayClient
	// MaxChangeDelay is the time in which a change must be known.
	MaxChangeDelay time.Duration
	// Relays returns the addresses of the relays, or none if the store is to be
	// asked itself.
	Relays func() []string
	// FirstRelay says which of the relays is asked first.
	FirstRelay int
	// OnRelayFailure is told of a relay that has not answered. It must not wait.
	OnRelayFailure func(address string, err error)
}

// RelayedAPI is the object API with watches that go through relays while these
// answer. Everything else goes to the store.
type RelayedAPI struct {
	ObjectAPI
	clock   duty.Clock
	options RelayedOptions

	choice atomic.Int64 // of a relay; the next one after each failure
	direct atomic.Int64 // Unix nanoseconds until which the store is asked itself
}

// NewRelayedAPI returns the API over the store.
func NewRelayedAPI(store ObjectAPI, clock duty.Clock, o RelayedOptions) *RelayedAPI {
	a := &RelayedAPI{ObjectAPI: store, clock: clock, options: o}
	a.choice.Store(int64(o.FirstRelay))
	return a
}

// Watch implements ObjectAPI.
func (a *RelayedAPI) Watch(ctx context.Context, prefix string, after int64) (Listing, error) {
	relays := a.options.Relays()
	if len(relays) == 0 || a.clock.Now().UnixNano() < a.direct.Load() {
		return a.ObjectAPI.Watch(ctx, prefix, after)
	}
	address := relays[int(a.choice.Load())%len(relays)]
	bounded, cancel := context.WithTimeout(ctx, part(a.options.MaxChangeDelay, relayFreshnessPart))
	defer cancel()
	listing, err := a.options.Client.WatchRelay(bounded, address, after)
	if err == nil {
		return listing, nil
	}
	a.options.OnRelayFailure(address, err)
	a.choice.Add(1)
	a.direct.Store(a.clock.Now().Add(relayRetry).UnixNano())
	return a.ObjectAPI.Watch(ctx, prefix, after)
}
