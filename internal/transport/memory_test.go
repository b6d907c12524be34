package transport

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// memorySamplePeriod is the interval at which the memory of the process is read.
const memorySamplePeriod = time.Millisecond

// measurePeak reads the memory that the Go runtime holds until the returned
// function is called, which returns the largest value in bytes.
func measurePeak(ctx context.Context) func() uint64 {
	debug.FreeOSMemory()
	ctx, stop := context.WithCancel(ctx)
	peaks := make(chan uint64)
	go func() {
		peak := processBytes()
		ticker := time.NewTicker(memorySamplePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				peak = max(peak, processBytes())
			case <-ctx.Done():
				peaks <- peak
				return
			}
		}
	}()
	return func() uint64 {
		stop()
		return <-peaks
	}
}

// processBytes returns the memory of the process without what was returned to the
// operating system.
func processBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
