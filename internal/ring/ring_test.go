package ring

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// waitLimit ends a test that hangs; the awaited events take microseconds.
const waitLimit = 30 * time.Second

// Guards against entries that are lost, duplicated or reordered when many writers
// share a small ring.
func TestPutWaitKeepsEveryEntryInOrder(t *testing.T) {
	const writers, perWriter = 16, 2000
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	r := New[[2]int]("test", 3)
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := range perWriter {
				if !r.PutWait(ctx, [2]int{w, i}) {
					t.Errorf("writer %d: entry %d was not added", w, i)
					return
				}
			}
		})
	}
	next := make([]int, writers)
	for range writers * perWriter {
		v, ok := r.Take(ctx)
		if !ok {
			t.Fatal("Take returned no entry before the time limit")
		}
		if v[1] != next[v[0]] {
			t.Fatalf("writer %d: got entry %d, want %d", v[0], v[1], next[v[0]])
		}
		next[v[0]]++
	}
	group.Wait()
}

// Guards against a full ring that accepts an entry beyond its capacity.
func TestTryPutRejectsWhenFull(t *testing.T) {
	r := New[int]("test", 2)
	for i, want := range []bool{true, true, false} {
		if got := r.TryPut(i); got != want {
			t.Errorf("TryPut %d = %v, want %v", i, got, want)
		}
	}
	if s := r.Stats(); s.Refused != 1 || s.Depth != 2 || s.Peak != 2 {
		t.Errorf("stats = %+v, want 1 refused, depth 2, peak 2", s)
	}
}

// Guards against a full ring that keeps a stale value in place of a newer one.
func TestPutLatestDropsTheOldest(t *testing.T) {
	r := New[int]("test", 2)
	for i := range 5 {
		r.PutLatest(i)
	}
	for _, want := range []int{3, 4} {
		if got, ok := r.TryTake(); !ok || got != want {
			t.Errorf("TryTake = %d, %v, want %d", got, ok, want)
		}
	}
	if s := r.Stats(); s.Dropped != 3 {
		t.Errorf("dropped = %d, want 3", s.Dropped)
	}
}

// Guards against a writer that blocks forever on a ring that nobody reads,
// although its context ends or the ring is closed.
func TestPutWaitEnds(t *testing.T) {
	for _, cause := range []string{"context", "close"} {
		t.Run(cause, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			r := New[int]("test", 1)
			r.TryPut(0)
			var group sync.WaitGroup
			for range 4 {
				group.Go(func() {
					if r.PutWait(ctx, 1) {
						t.Error("PutWait added an entry to a full ring")
					}
				})
			}
			if cause == "context" {
				cancel()
			} else {
				r.Close()
			}
			group.Wait()
			if cause == "close" && ctx.Err() != nil {
				t.Error("the writers blocked until the context ended; Close did not wake them")
			}
		})
	}
}

// Guards against entries that are lost at Close.
func TestTakeDrainsAClosedRing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	r := New[int]("test", 4)
	r.TryPut(1)
	r.Close()
	if v, ok := r.Take(ctx); !ok || v != 1 {
		t.Errorf("Take = %d, %v, want 1", v, ok)
	}
	if _, ok := r.Take(ctx); ok {
		t.Error("Take returned an entry from an empty closed ring")
	}
	if r.TryPut(2) {
		t.Error("TryPut added to a closed ring")
	}
}

// BenchmarkHandOff compares a ring with the baseline, a Go channel of the same
// capacity, for one writer and one reader.
func BenchmarkHandOff(b *testing.B) {
	for _, capacity := range []int{1, 64, 4096} {
		b.Run(fmt.Sprintf("channel/capacity=%d", capacity), func(b *testing.B) { handOffChannel(b, capacity) })
		b.Run(fmt.Sprintf("ring/capacity=%d", capacity), func(b *testing.B) { handOffRing(b, capacity) })
	}
}

func handOffChannel(b *testing.B, capacity int) {
	b.ReportAllocs()
	c := make(chan int, capacity)
	done := make(chan struct{})
	go func() {
		for range c {
		}
		close(done)
	}()
	for i := range b.N {
		c <- i
	}
	close(c)
	<-done
}

func handOffRing(b *testing.B, capacity int) {
	b.ReportAllocs()
	ctx := context.Background()
	r := New[int]("bench", capacity)
	done := make(chan struct{})
	go func() {
		for {
			if _, ok := r.Take(ctx); !ok {
				close(done)
				return
			}
		}
	}()
	for i := range b.N {
		r.PutWait(ctx, i)
	}
	r.Close()
	<-done
}
