package duty

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/ring"
)

const waitLimit = 30 * time.Second

// Guards against a loop that misses an entry put after it has checked its rings
// and before it blocks.
func TestLoopHandlesEveryEntry(t *testing.T) {
	const writers, perWriter = 8, 5000
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	runner, err := NewRunner(2)
	if err != nil {
		t.Fatal(err)
	}
	loop := New("test", SystemClock{})
	in := ring.New[int]("in", 16)
	done := ring.New[int]("done", 1)
	sum := 0
	On(loop, in, func(v int) {
		sum += v
		if sum == writers*perWriter {
			done.TryPut(sum)
		}
	})
	if err := runner.Start(loop); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range perWriter {
				in.PutWait(ctx, 1)
			}
		})
	}
	group.Wait()
	if _, ok := done.Take(ctx); !ok {
		t.Fatal("the loop did not handle every entry")
	}
	runner.Stop(ctx)
}

// Guards against timers that fire out of order, more than once or after they were
// cancelled. Tests with a manual clock would then differ from run to run.
func TestManualClockFiresInOrder(t *testing.T) {
	clock := NewManualClock(time.Unix(0, 0))
	loop := New("test", clock)
	var fired []int
	for _, i := range []int{3, 1, 2} {
		loop.After(time.Duration(i)*time.Second, func() { fired = append(fired, i) })
	}
	stop := loop.After(time.Second, func() { fired = append(fired, 9) })
	stop()
	clock.Advance(10 * time.Second)
	loop.RunPending()
	if len(fired) != 3 || fired[0] != 1 || fired[1] != 2 || fired[2] != 3 {
		t.Errorf("fired = %v, want [1 2 3]", fired)
	}
}

// Guards against a query that blocks forever when the duty is overloaded.
func TestQueryFailsWhenRingIsFull(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	queries := NewQueryRing[int, int]("queries", 1)
	if _, err := queries.Do(ctx, 1); err == nil {
		t.Error("a query whose context had ended got a reply")
	}
	if _, err := queries.Do(ctx, 2); err == nil || queries.Stats().Refused != 1 {
		t.Errorf("error = %v, refused = %d, want an error and 1 refused entry", err, queries.Stats().Refused)
	}
}

// Guards against a stop that loses entries already accepted.
func TestStopHandlesWaitingEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	runner, err := NewRunner(1)
	if err != nil {
		t.Fatal(err)
	}
	loop := New("test", SystemClock{})
	in := ring.New[int]("in", 100)
	handled := 0
	On(loop, in, func(int) { handled++ })
	for i := range 100 {
		in.TryPut(i)
	}
	if err := runner.Start(loop); err != nil {
		t.Fatal(err)
	}
	runner.Stop(ctx)
	if handled != 100 {
		t.Errorf("handled %d entries, want 100", handled)
	}
}

// BenchmarkRoundTrip measures a query to a duty and its reply, with the duty on a
// goroutine and on a locked operating system thread. The baseline is the same
// exchange over two Go channels.
func BenchmarkRoundTrip(b *testing.B) {
	b.Run("channels", roundTripChannels)
	b.Run("goroutine", func(b *testing.B) { roundTripDuty(b, Options{}) })
	b.Run("locked-thread", func(b *testing.B) { roundTripDuty(b, Options{LockThread: true}) })
}

func roundTripChannels(b *testing.B) {
	b.ReportAllocs()
	in, out := make(chan int, 1), make(chan int, 1)
	go func() {
		for v := range in {
			out <- v
		}
	}()
	for i := range b.N {
		in <- i
		<-out
	}
	close(in)
}

func roundTripDuty(b *testing.B, o Options) {
	b.ReportAllocs()
	ctx := context.Background()
	runner, err := NewRunner(1)
	if err != nil {
		b.Fatal(err)
	}
	loop := New("bench", SystemClock{}).WithOptions(o)
	queries := NewQueryRing[int, int]("queries", 16)
	OnQuery(loop, queries, func(q Query[int, int]) { q.Reply(q.Params) })
	if err := runner.Start(loop); err != nil {
		b.Fatal(err)
	}
	for i := range b.N {
		if _, err := queries.Do(ctx, i); err != nil {
			b.Fatal(err)
		}
	}
	runner.Stop(ctx)
}

// BenchmarkChain measures the path through four duties in a row, the longest path
// of a request, with many requests in flight.
func BenchmarkChain(b *testing.B) {
	b.Run("goroutine", func(b *testing.B) { benchmarkChain(b, Options{}) })
	b.Run("locked-thread", func(b *testing.B) { benchmarkChain(b, Options{LockThread: true}) })
}

func benchmarkChain(b *testing.B, o Options) {
	b.ReportAllocs()
	const duties = 4
	ctx := context.Background()
	runner, err := NewRunner(duties)
	if err != nil {
		b.Fatal(err)
	}
	out := ring.New[int]("out", 1024)
	next := out
	for range duties {
		loop := New("link", SystemClock{}).WithOptions(o)
		in := ring.New[int]("in", 1024)
		successor := next
		On(loop, in, func(v int) { successor.TryPut(v) })
		if err := runner.Start(loop); err != nil {
			b.Fatal(err)
		}
		next = in
	}
	const maxInFlight = 512
	sent, received := 0, 0
	for received < b.N {
		for sent < b.N && sent-received < maxInFlight {
			next.TryPut(sent)
			sent++
		}
		if _, ok := out.Take(ctx); ok {
			received++
		}
	}
	runner.Stop(ctx)
}
