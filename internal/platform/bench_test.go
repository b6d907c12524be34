package platform

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// instantAPI answers reads at once and has no state, so that concurrent calls need
// no lock.
type instantAPI struct{ ObjectAPI }

func (instantAPI) Get(_ context.Context, key string) (Object, error) {
	return Object{Key: key, Version: 1}, nil
}

// BenchmarkStoreCalls compares a call through the store duty with the same call on
// a pool goroutine without the duty.
func BenchmarkStoreCalls(b *testing.B) {
	ctx := context.Background()
	runner, err := duty.NewRunner(1)
	if err != nil {
		b.Fatal(err)
	}
	pool, err := duty.NewPool("store", 2*defaultMaxCalls)
	if err != nil {
		b.Fatal(err)
	}
	defer pool.Release()
	budget := NewBudget(BudgetOptions{ReadsPerSecond: 1e9, WritesPerSecond: 1e9})
	store := NewStoreWithOptions(duty.SystemClock{}, instantAPI{}, pool, StoreOptions{Budget: budget})
	if err := runner.Start(store.Loop()); err != nil {
		b.Fatal(err)
	}
	defer runner.Stop(ctx)

	const baselineCalls = 1 << 16
	start := time.Now()
	for range baselineCalls {
		reply := ring.New[Result]("reply", 1)
		pool.TryGo(func() {
			o, err := instantAPI{}.Get(ctx, "k")
			reply.TryPut(Result{Object: o, Err: err})
		})
		reply.Take(ctx)
	}
	baseline := float64(time.Since(start).Nanoseconds()) / baselineCalls
	for b.Loop() {
		if r := store.Do(ctx, Op{Kind: OpGet, Key: "k"}); r.Err != nil {
			b.Fatal(r.Err)
		}
	}
	perCall := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
	b.ReportMetric(1e9/perCall, "calls/s")
	b.ReportMetric(perCall/baseline, "x-pool-call")
}

// heapClock is a manual clock with a timer heap. The cost of duty.ManualClock
// grows with the number of timers.
type heapClock struct {
	now    time.Time
	timers timerHeap
}

type heapTimer struct {
	at time.Time
	f  func()
}

type timerHeap []*heapTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(*heapTimer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (c *heapClock) Now() time.Time { return c.now }

func (c *heapClock) AfterFunc(d time.Duration, f func()) func() bool {
	t := &heapTimer{at: c.now.Add(d), f: f}
	heap.Push(&c.timers, t)
	return func() bool {
		t.f = func() {}
		return true
	}
}

func (c *heapClock) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for len(c.timers) > 0 && !c.timers[0].at.After(c.now) {
		heap.Pop(&c.timers).(*heapTimer).f()
	}
}

// instantStore answers each operation at once, so that the benchmark measures only the
// lease manager.
type instantStore struct{ versions map[string]int64 }

func (d instantStore) Submit(op Op) bool {
	if op.Kind == OpGet {
		op.Reply(Result{Err: ErrNotFound})
		return true
	}
	d.versions[op.Key]++
	op.Reply(Result{Object: Object{Key: op.Key, Version: d.versions[op.Key], Value: op.Value}})
	return true
}

// BenchmarkLeaseRenewal reports the cost of holding leases per second of virtual
// time. The slope over the number of leases is the cost of one lease.
func BenchmarkLeaseRenewal(b *testing.B) {
	for _, leases := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("leases=", leases), func(b *testing.B) {
			clock := &heapClock{now: testStart}
			l := NewLeaseManager(clock, instantStore{versions: map[string]int64{}}, "a", rand.New(rand.NewPCG(1, 2)))
			for i := range leases {
				l.Acquire(fmt.Sprint("lease-", i), LeaseOptions{})
				l.Loop().RunPending()
			}
			seconds := 0
			for b.Loop() {
				for range 10 {
					clock.advance(time.Second / 10)
					l.Loop().RunPending()
				}
				seconds++
			}
			if l.Stats().Held != int64(leases) {
				b.Fatalf("%d of %d leases held", l.Stats().Held, leases)
			}
			perLease := float64(seconds * leases)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/perLease, "ns/lease-second")
			b.ReportMetric(float64(l.Stats().Renewed)/perLease, "renewals/lease-second")
		})
	}
}
