package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/caller/callerhttp"
	"github.com/berylfall/berylfall/internal/standin/deployment"
	"github.com/berylfall/berylfall/internal/transport"
)

// Load of the token benchmark. The engines generate up to 64,000 tokens/s.
const (
	tokenEngines    = 4
	tokenSlots      = 64
	tokenTime       = 4 * time.Millisecond
	tokensPerStream = 200
	tokenDuration   = 5 * time.Second
)

// streamRequest is a model call that is answered by a stream of one token per event.
type streamRequest struct {
	url  string
	body func() any
}

// BenchmarkTokens measures the tokens per second that one daemon forwards as
// streams and the CPU time per token, against the same streams read from the
// engines directly. The CPU time is of the process, so it includes the callers
// and the engines in both cases; the difference is the daemon's.
func BenchmarkTokens(b *testing.B) {
	ctx := b.Context()
	bed := startTestDeployment(b, ctx, deployment.Spec{Engines: []deployment.EngineSpec{
		{Name: "engine", Count: tokenEngines, Service: "wear-model", Kind: "gpu", Model: "wear", Version: 1, Slots: tokenSlots, TokenTime: tokenTime},
	}})
	completion := callerhttp.CompletionRequest{Model: "wear", Prompt: "strap", MaxTokens: tokensPerStream, Stream: true}
	proxied := []streamRequest{{
		url:  "http://" + bed.daemon.CallerAddress() + "/v1/completions",
		body: func() any { return completion },
	}}
	var direct []streamRequest
	for i := range tokenEngines {
		direct = append(direct, streamRequest{
			url: "http://" + bed.standins.Engine(fmt.Sprintf("engine-%d", i+1)).Address() + backendhttp.PathCompletions,
			body: func() any {
				return backendhttp.CompletionMessage{RequestID: uuid.NewString(), Model: "wear", Prompt: "strap", MaxTokens: tokensPerStream}
			},
		})
	}
	unstreamed := completion
	unstreamed.Stream = false
	waitUntilServing(b, ctx, bed.client, transport.Exchange{
		Method: "POST", URL: proxied[0].url, Headers: map[string]string{transport.HeaderCustomer: testCustomer}, Body: unstreamed,
	})
	for _, callers := range []int{32, 128, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				baseRate, baseCPU := measureTokens(b, ctx, direct, callers)
				rate, cpu := measureTokens(b, ctx, proxied, callers)
				b.ReportMetric(baseRate, "direct-tokens/s")
				b.ReportMetric(rate, "daemon-tokens/s")
				b.ReportMetric(rate/baseRate, "tokens-ratio")
				b.ReportMetric(baseCPU, "direct-cpu-µs/token")
				b.ReportMetric(cpu, "daemon-cpu-µs/token")
				b.ReportMetric(cpu-baseCPU, "added-cpu-µs/token")
			}
		})
	}
}

// measureTokens keeps one stream per caller running and returns the tokens a
// second and the CPU time of the process per token.
func measureTokens(tb testing.TB, ctx context.Context, calls []streamRequest, callers int) (rate, cpu float64) {
	tb.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport}
	var tokens atomic.Int64
	var group sync.WaitGroup
	start, startCPU := time.Now(), processCPU()
	for i := range callers {
		group.Go(func() {
			for time.Since(start) < tokenDuration {
				n, err := readStream(ctx, c, calls[i%len(calls)])
				if err != nil {
					tb.Error(err)
					return
				}
				tokens.Add(int64(n))
			}
		})
	}
	group.Wait()
	total := float64(tokens.Load())
	return total / time.Since(start).Seconds(), float64((processCPU() - startCPU).Microseconds()) / total
}

// readStream returns the number of events with a token.
func readStream(ctx context.Context, c *http.Client, s streamRequest) (int, error) {
	body, err := json.Marshal(s.body())
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(transport.HeaderCustomer, testCustomer)
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	events := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if bytes.Contains(lines.Bytes(), []byte(`"text":"`)) {
			events++
		}
	}
	if events < tokensPerStream {
		return events, fmt.Errorf("status %d with %d events, want %d tokens", resp.StatusCode, events, tokensPerStream)
	}
	return tokensPerStream, nil
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
