package hosted

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

// storeBed is a store duty on the stand-in of the platform's store.
type storeBed struct {
	store *standin.Store
	duty  *platform.Store
	calls atomic.Int64 // of the store
}

func newStoreBed(t *testing.T, o platform.StoreOptions, hasSlowLink bool) *storeBed {
	t.Helper()
	runner, err := duty.NewRunner(dutyCapacity)
	if err != nil {
		t.Fatal(err)
	}
	pool, err := duty.NewPool("store", storePoolSize)
	if err != nil {
		t.Fatal(err)
	}
	b := &storeBed{}
	if b.store, err = standin.StartStore("127.0.0.1:0", duty.SystemClock{}, runner); err != nil {
		t.Fatal(err)
	}
	address := b.store.Address()
	if hasSlowLink {
		address = startSlowLink(t, address)
	}
	client := adapter.NewStore(address)
	client.OnCall(func(adapter.StoreCall) { b.calls.Add(1) })
	b.duty = platform.NewStoreWithOptions(duty.SystemClock{}, client, pool, o)
	if err := runner.Start(b.duty.Loop()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		runner.Stop(ctx)
		pool.Release()
	})
	return b
}

// Guards against a created object that the read after a lost answer does not find, which
// makes the duty write and read without a pause until it gives up.
func TestLostAnswerToACreateIsFoundByReadingBack(t *testing.T) {
	b := newStoreBed(t, platform.StoreOptions{CallTimeout: 100 * time.Millisecond}, false)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := b.store.SetFaults(ctx, standin.StoreFaults{LoseAnswers: true}); err != nil {
		t.Fatal(err)
	}
	r := b.duty.Do(ctx, platform.Op{Kind: platform.OpPut, Key: "daemons/front-1", Value: json.RawMessage(`{}`), IfVersion: platform.Absent})
	if r.Err != nil {
		t.Errorf("outcome of the create: %v", r.Err)
	}
	if n := b.calls.Load(); n > 3 {
		t.Errorf("%d calls of the store for one create", n)
	}
}
