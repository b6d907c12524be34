package server

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/standin/deployment"
	"github.com/berylfall/berylfall/internal/transport"
)

// testDeployment is a daemon with stand-ins of its peers and one contract in force.
type testDeployment struct {
	standins *deployment.Deployment
	daemon   *Server
	client   *client.Client
}

const testCustomer = "prairie"

func startTestDeployment(tb testing.TB, ctx context.Context, spec deployment.Spec, flags ...string) *testDeployment {
	tb.Helper()
	return startTestDeploymentWithLeaseClock(tb, ctx, duty.NewBootClock(), spec, flags...)
}

func startTestDeploymentWithLeaseClock(tb testing.TB, ctx context.Context, leaseClock duty.Clock, spec deployment.Spec, flags ...string) *testDeployment {
	tb.Helper()
	standins, err := deployment.Start(ctx, spec)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { standins.Stop(context.Background()) })
	set, err := settings.Parse(append(flags,
		"--drain-grace", "0s", "--platform-url", standins.PlatformURL(), "--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
	))
	if err != nil {
		tb.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := start(set, log, leaseClock)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { d.Stop(context.Background()) })
	c, err := transport.NewClient(transport.ClientOptions{})
	if err != nil {
		tb.Fatal(err)
	}
	bed := &testDeployment{standins: standins, daemon: d, client: c}
	bed.applyContract(tb, ctx, testContract())
	return bed
}

func testContract() core.Contract {
	return core.Contract{
		Customer: testCustomer,
		Services: []core.Service{
			{Name: "wear-model", Kind: core.KindEngine, Models: []core.Model{{Name: "wear"}}},
			{Name: "card-desk", Kind: core.KindPlain, Operations: []core.Operation{{Name: "lookup", Idempotent: true}, {Name: "book"}}},
		},
	}
}

func (b *testDeployment) applyContract(tb testing.TB, ctx context.Context, contract core.Contract) {
	tb.Helper()
	err := transport.DoJSON(ctx, b.client, transport.Exchange{
		Method: "PUT", URL: "http://" + b.daemon.OperatorAddress() + "/v1/contracts/" + string(contract.Customer), Body: contract,
	}, nil)
	if err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkAddedLatency measures what one daemon adds to a plain service call
// against a direct call to the same stand-in, at 2,000 calls a second. The
// targets are under 0.2 ms at the median and under 1 ms at p99.
func BenchmarkAddedLatency(b *testing.B) {
	ctx := b.Context()
	bed := startTestDeployment(b, ctx, deployment.Spec{Plains: []deployment.PlainSpec{
		{Name: "desk", Count: 1, Service: "card-desk", Kind: "cpu", Operations: []string{"lookup"}},
	}})
	proxied := transport.Exchange{
		Method: "POST", URL: "http://" + bed.daemon.CallerAddress() + "/v1/services/card-desk/lookup",
		Headers: map[string]string{transport.HeaderCustomer: testCustomer}, Body: map[string]string{"card": "7"},
	}
	direct := transport.Exchange{
		Method: "POST", URL: "http://" + bed.standins.Plain("desk-1").Address() + backendhttp.PathOperations + "lookup",
		Body: map[string]string{"card": "7"},
	}
	waitUntilServing(b, ctx, bed.client, proxied)
	for _, callers := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var base, added *hdrhistogram.Histogram
			for range b.N {
				base = measureLatencies(b, ctx, bed.client, direct, callers)
				added = measureLatencies(b, ctx, bed.client, proxied, callers)
			}
			reportQuantiles(b, "direct", base)
			reportQuantiles(b, "daemon", added)
			b.ReportMetric(float64(added.ValueAtQuantile(50)-base.ValueAtQuantile(50)), "added-p50-us")
			b.ReportMetric(float64(added.ValueAtQuantile(99)-base.ValueAtQuantile(99)), "added-p99-us")
		})
	}
}

// Load of the latency benchmark.
const (
	benchCallsPerSecond = 2000
	benchDuration       = 2 * time.Second
	benchMaxLatency     = int64(10 * time.Second / time.Microsecond)
)

func waitUntilServing(tb testing.TB, ctx context.Context, c *client.Client, x transport.Exchange) {
	tb.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		if transport.DoJSON(ctx, c, x, nil) == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	tb.Fatal("the daemon does not serve requests")
}

// measureLatencies sends calls at the fixed rate, spread over the callers, and returns
// the latencies in microseconds. One caller alone sends as fast as it can, up
// to the rate.
func measureLatencies(tb testing.TB, ctx context.Context, c *client.Client, x transport.Exchange, callers int) *hdrhistogram.Histogram {
	tb.Helper()
	interval := time.Duration(callers) * time.Second / benchCallsPerSecond
	var mu sync.Mutex
	total := hdrhistogram.New(1, benchMaxLatency, 3)
	var group sync.WaitGroup
	start := time.Now()
	for i := range callers {
		group.Go(func() {
			own := hdrhistogram.New(1, benchMaxLatency, 3)
			next := start.Add(interval * time.Duration(i) / time.Duration(callers))
			for time.Since(start) < benchDuration {
				time.Sleep(time.Until(next))
				sent := time.Now()
				if err := transport.DoJSON(ctx, c, x, nil); err != nil {
					tb.Error(err)
					return
				}
				_ = own.RecordValue(time.Since(sent).Microseconds())
				next = next.Add(interval)
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(own)
		})
	}
	group.Wait()
	return total
}

func reportQuantiles(b *testing.B, name string, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-us")
}
