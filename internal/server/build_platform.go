package server

import (
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

func (b *builder) buildPlatform() error {
	var err error
	b.platformClient, err = platformhttp.NewClient(b.settings.PlatformURL, transport.ClientOptions{})
	if err != nil {
		return err
	}
	b.storePool, err = b.pool("store", b.settings.StoreCalls)
	if err != nil {
		return err
	}
	b.store = platform.NewStore(b.clock, b.platformClient, b.storePool)
	return b.start(b.store.Loop())
}
