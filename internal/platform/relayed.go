package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// relayRetry is how long a daemon asks the store itself after a relay has failed.
const relayRetry = 2 * time.Second

// RelayAsker asks another daemon for the changes after a revision. Its method blocks.
type RelayAsker interface {
	AskWatch(ctx context.Context, address string, after int64) (Listing, error)
}

// RelayedAPI is the object API with watches that go through relays while these
// answer. Everything else goes to the store.
type RelayedAPI struct {
	ObjectAPI
	clock  duty.Clock
	asker  RelayAsker
	within time.Duration
	relays func() []string
	onFail func(address string, err error)

	choice atomic.Int64 // of a relay; the next one after each failure
	direct atomic.Int64 // Unix nanoseconds until which the store is asked itself
}

// NewRelayedAPI returns the API. relays returns the addresses of the relays, or
// none if the store is to be asked itself; first says which of them comes
// first. within is the time in which a change must be known.
func NewRelayedAPI(store ObjectAPI, clock duty.Clock, asker RelayAsker, within time.Duration, relays func() []string, first int, onFail func(address string, err error)) *RelayedAPI {
	a := &RelayedAPI{ObjectAPI: store, clock: clock, asker: asker, within: within, relays: relays, onFail: onFail}
	a.choice.Store(int64(first))
	return a
}

// Watch implements ObjectAPI.
func (a *RelayedAPI) Watch(ctx context.Context, prefix string, after int64) (Listing, error) {
	relays := a.relays()
	if len(relays) == 0 || a.clock.Now().UnixNano() < a.direct.Load() {
		return a.ObjectAPI.Watch(ctx, prefix, after)
	}
	address := relays[int(a.choice.Load())%len(relays)]
	bounded, cancel := context.WithTimeout(ctx, part(a.within, relayFreshnessPart))
	defer cancel()
	listing, err := a.asker.AskWatch(bounded, address, after)
	if err == nil {
		return listing, nil
	}
	a.onFail(address, err)
	a.choice.Add(1)
	a.direct.Store(a.clock.Now().Add(relayRetry).UnixNano())
	return a.ObjectAPI.Watch(ctx, prefix, after)
}
