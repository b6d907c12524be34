package transporttest

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// memorySamplePeriod is the interval at which the memory of the process is read.
const memorySamplePeriod = time.Millisecond

// MeasurePeak returns the memory that the Go runtime holds, in bytes, and reads it until the
// returned function is called, which returns the largest value.
func MeasurePeak(t *testing.T) (before uint64, peak func() uint64) {
	t.Helper()
	pool, err := duty.NewPool("memory", 1)
	if err != nil {
		t.Fatal(err)
	}
	debug.FreeOSMemory()
	before = processBytes()
	var largest atomic.Uint64
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	t.Cleanup(pool.Release)
	pool.TryGo(func() {
		for duty.Sleep(ctx, memorySamplePeriod) == nil {
			largest.Store(max(largest.Load(), processBytes()))
		}
	})
	return before, func() uint64 {
		stop()
		return max(largest.Load(), processBytes())
	}
}

// processBytes returns the memory of the process without what was returned to the
// operating system.
func processBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
