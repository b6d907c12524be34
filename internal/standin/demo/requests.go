package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/berylfall/berylfall/internal/caller/callerhttp"
	"github.com/berylfall/berylfall/internal/core"
	standin "github.com/berylfall/berylfall/internal/standin/trainer"
	"github.com/berylfall/berylfall/internal/trainer"
	"github.com/berylfall/berylfall/internal/transport"
)

// tableRow is one row of the printed table.
type tableRow struct {
	what    string
	latency time.Duration
	verdict string
	result  string
}

func (d *demo) sendRequests(ctx context.Context) error {
	book := map[string]string{transport.HeaderIdempotencyKey: "visit-1"}
	calls := []struct {
		what, customer, path string
		headers              map[string]string
	}{
		{"card lookup", "prairie", "card-desk/lookup", nil},
		{"booking", "kartvel", "booking-app/book", book},
		{"the same booking again", "kartvel", "booking-app/book", book},
	}
	for _, c := range calls {
		if err := d.callOperation(ctx, c.what, c.customer, c.path, c.headers); err != nil {
			return fmt.Errorf("%s: %w", c.what, err)
		}
	}
	return d.callModel(ctx)
}

func (d *demo) callOperation(ctx context.Context, what, customer, path string, headers map[string]string) error {
	x := transport.Exchange{
		Method: "POST", URL: "http://" + d.daemon.CallerAddress() + "/v1/services/" + path,
		Headers: map[string]string{transport.HeaderCustomer: customer},
		Body:    map[string]string{"card": "17", "slot": "9:00"},
	}
	for name, value := range headers {
		x.Headers[name] = value
	}
	var answer map[string]string
	latency, err := d.send(ctx, x, &answer)
	if err != nil {
		return err
	}
	result := fmt.Sprintf("ran %d times at the backend servers", d.countRuns(ctx, headers[transport.HeaderIdempotencyKey]))
	if headers == nil {
		result = "card " + answer["card"]
	}
	d.rows = append(d.rows, tableRow{what: what, latency: latency, verdict: core.Ran.String(), result: result})
	return nil
}

// countRuns returns how often the backend servers ran the booking with the
// idempotency key.
func (d *demo) countRuns(ctx context.Context, key string) int {
	n := 0
	for i := range 5 {
		for _, run := range d.standins.Plain(fmt.Sprintf("booking-%d", i+1)).Runs(ctx) {
			if run.Key == key {
				n++
			}
		}
	}
	return n
}

func (d *demo) callModel(ctx context.Context) error {
	var answer callerhttp.CompletionResponse
	latency, err := d.send(ctx, transport.Exchange{
		Method: "POST", URL: "http://" + d.daemon.CallerAddress() + "/v1/completions",
		Headers: map[string]string{transport.HeaderCustomer: "prairie"},
		Body:    callerhttp.CompletionRequest{Model: "wear", Prompt: "worn strap, left side", MaxTokens: 24},
	}, &answer)
	if err != nil {
		return fmt.Errorf("model call: %w", err)
	}
	d.rows = append(d.rows, tableRow{
		what: "model call", latency: latency, verdict: core.Ran.String(),
		result: fmt.Sprintf("%d tokens, spans %s", answer.Usage.CompletionTokens, spanText(answer.VersionSpans)),
	})
	return nil
}

// send retries the request while the verdict is not-run, which it is until the
// contracts are in force and the daemon has received the backend servers. It returns
// the latency of the last attempt.
func (d *demo) send(ctx context.Context, x transport.Exchange, out any) (time.Duration, error) {
	for {
		started := time.Now()
		err := transport.DoJSON(ctx, d.client, x, out)
		if err == nil || !isNotRun(err) || ctx.Err() != nil {
			return time.Since(started), err
		}
		time.Sleep(retryInterval)
	}
}

func isNotRun(err error) bool {
	var response *transport.ResponseError
	if !errors.As(err, &response) {
		return false
	}
	detail, ok := response.Detail()
	return ok && detail.Verdict == core.NotRun
}

func (d *demo) runTrainerStep(ctx context.Context) error {
	const groups, samples = 16, 4
	spec := trainer.StepSpec{Step: 1, Model: "diag", MaxTokens: 32}
	for i := range groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprintf("fault report %d", i), Samples: samples})
	}
	seen := map[int]int{}
	var spans []core.Span
	client, err := standin.NewClient("diag-trainer", "kartvel", d.daemon.CallerAddress())
	if err != nil {
		return err
	}
	client.OnDelivery = func(delivery trainer.Delivery) {
		seen[delivery.Group.ID]++
		spans = delivery.Group.Samples[0].Spans
	}
	started := time.Now()
	if err := client.RunStep(ctx, spec); err != nil {
		return fmt.Errorf("trainer step: %w", err)
	}
	d.rows = append(d.rows, tableRow{
		what: "trainer step", latency: time.Since(started), verdict: core.Ran.String(),
		result: fmt.Sprintf("%d of %d groups once each, %d samples, spans such as %s", countDeliveredOnce(seen), groups, groups*samples, spanText(spans)),
	})
	return nil
}

// countDeliveredOnce returns the number of groups that were delivered exactly once.
func countDeliveredOnce(seen map[int]int) int {
	n := 0
	for _, times := range seen {
		if times == 1 {
			n++
		}
	}
	return n
}

func spanText(spans []core.Span) string {
	parts := make([]string, 0, len(spans))
	for _, s := range spans {
		parts = append(parts, fmt.Sprintf("%d-%d: version %d", s.From, s.To, s.Version))
	}
	return strings.Join(parts, ", ")
}

func (d *demo) printTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WHAT\tLATENCY\tVERDICT\tRESULT")
	for _, r := range d.rows {
		_, _ = fmt.Fprintf(w, "%s\t%v\t%s\t%s\n", r.what, r.latency.Round(10*time.Microsecond), r.verdict, r.result)
	}
	return w.Flush()
}
