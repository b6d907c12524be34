package duty

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/ring"
)

const waitLimit = 30 * time.Second

// Guards against a duty that misses an entry put between its last look and its wait.
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

// Guards against timers that fire out of order or more than once, which would
// make tests with a manual clock differ from run to run.
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
	loop.Step()
	if len(fired) != 3 || fired[0] != 1 || fired[1] != 2 || fired[2] != 3 {
		t.Errorf("fired = %v, want [1 2 3]", fired)
	}
}

// Guards against a question that waits for ever when the duty is overloaded.
func TestAskRefusesWhenFull(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	asks := NewAskRing[int, int]("asks", 1)
	if _, err := asks.Ask(ctx, 1); err == nil {
		t.Error("a question whose context has ended was answered")
	}
	if _, err := asks.Ask(ctx, 2); err == nil || asks.Stats().Refused != 1 {
		t.Errorf("error = %v, refused = %d, want a refusal", err, asks.Stats().Refused)
	}
}

// Guards against a stop that drops events already accepted.
func TestStopHandlesWaitingEvents(t *testing.T) {
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
		t.Errorf("handled %d events, want 100", handled)
	}
}

// BenchmarkRoundTrip measures a question to a duty and its answer back, with
// the duty on a goroutine and on a locked operating system thread. The
// baseline is the same exchange over two bare Go channels.
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
	loop := New("bench", SystemClock{}).With(o)
	asks := NewAskRing[int, int]("asks", 16)
	OnAsk(loop, asks, func(a Ask[int, int]) { a.Reply(a.Query) })
	if err := runner.Start(loop); err != nil {
		b.Fatal(err)
	}
	for i := range b.N {
		if _, err := asks.Ask(ctx, i); err != nil {
			b.Fatal(err)
		}
	}
	runner.Stop(ctx)
}

// BenchmarkChain measures the hand-off through four duties in a row, the
// longest path of a request, with many requests at once.
func BenchmarkChain(b *testing.B) {
	b.Run("goroutine", func(b *testing.B) { chain(b, Options{}) })
	b.Run("locked-thread", func(b *testing.B) { chain(b, Options{LockThread: true}) })
}

func chain(b *testing.B, o Options) {
	b.ReportAllocs()
	const links = 4
	ctx := context.Background()
	runner, err := NewRunner(links)
	if err != nil {
		b.Fatal(err)
	}
	out := ring.New[int]("out", 1024)
	next := out
	for range links {
		loop := New("link", SystemClock{}).With(o)
		in := ring.New[int]("in", 1024)
		following := next
		On(loop, in, func(v int) { following.TryPut(v) })
		if err := runner.Start(loop); err != nil {
			b.Fatal(err)
		}
		next = in
	}
	const window = 512
	sent, received := 0, 0
	for received < b.N {
		for sent < b.N && sent-received < window {
			next.TryPut(sent)
			sent++
		}
		if _, ok := out.Take(ctx); ok {
			received++
		}
	}
	runner.Stop(ctx)
}
