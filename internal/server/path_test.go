package server

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/caller/callerhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/standin/engine"
	"github.com/berylfall/berylfall/internal/standin/objectapi"
	"github.com/berylfall/berylfall/internal/standin/plain"
	"github.com/berylfall/berylfall/internal/trainer"
	"github.com/berylfall/berylfall/internal/trainer/trainerhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

// testTimeout bounds waits for events that usually take milliseconds.
const testTimeout = 30 * time.Second

// Guards against a fault anywhere between the HTTP listeners, the duties and the
// backend servers: after a contract has been applied, a model call, a booking and
// a trainer step must return complete answers.
func TestEndToEndRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	runner, err := duty.NewRunner(16)
	requireNoError(t, err)
	defer runner.Stop(ctx)
	clock := duty.SystemClock{}
	api, err := objectapi.Start("127.0.0.1:0", clock, runner)
	requireNoError(t, err)
	model, err := engine.Start("127.0.0.1:0", clock, runner, engine.Options{
		Service: "wear-model", Kind: "gpu", Model: "wear", Version: 7, ContextTokens: 1024, Slots: 8, TokenTime: time.Millisecond,
	})
	requireNoError(t, err)
	desk, err := plain.Start("127.0.0.1:0", clock, runner, plain.Options{Service: "card-desk", Kind: "cpu", Operations: []string{"book"}})
	requireNoError(t, err)
	api.SetHosts(ctx, []platform.Host{
		{Name: "e1", Role: platform.RoleBackend, Address: model.Address(), State: platform.HostLive},
		{Name: "p1", Role: platform.RoleBackend, Address: desk.Address(), State: platform.HostLive},
	})

	log := logrus.New()
	log.SetOutput(io.Discard)
	set, err := settings.Parse([]string{
		"--drain-grace", "0s", "--platform-url", api.URL(), "--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
	})
	requireNoError(t, err)
	d, err := Start(set, log)
	requireNoError(t, err)
	defer d.Stop(ctx)
	c, err := transport.NewClient(transport.ClientOptions{})
	requireNoError(t, err)

	contract := core.Contract{
		Customer: "prairie",
		Services: []core.Service{
			{Name: "wear-model", Kind: core.KindEngine, Models: []core.Model{{Name: "wear"}}},
			{Name: "card-desk", Kind: core.KindPlain, Operations: []core.Operation{{Name: "book"}}},
		},
		Trainers: []core.Trainer{{Name: "t1", Service: "wear-model", Share: 0.5}},
	}
	requireNoError(t, transport.DoJSON(ctx, c, transport.Exchange{
		Method: "PUT", URL: "http://" + d.OperatorAddress() + "/v1/contracts/prairie", Body: contract,
	}, nil))

	base := "http://" + d.CallerAddress()
	headers := map[string]string{transport.HeaderCustomer: "prairie", transport.HeaderIdempotencyKey: "k1"}
	var completion callerhttp.CompletionResponse
	retryUntilSuccess(t, ctx, func() error {
		return transport.DoJSON(ctx, c, transport.Exchange{
			Method: "POST", URL: base + "/v1/completions", Headers: headers,
			Body: callerhttp.CompletionRequest{Model: "wear", Prompt: "strap", MaxTokens: 5},
		}, &completion)
	})
	if completion.Usage.CompletionTokens != 5 || len(completion.VersionSpans) != 1 || completion.VersionSpans[0].Version != 7 {
		t.Fatalf("completion = %+v, want 5 tokens of version 7", completion)
	}
	retryUntilSuccess(t, ctx, func() error {
		return transport.DoJSON(ctx, c, transport.Exchange{
			Method: "POST", URL: base + "/v1/services/card-desk/book", Headers: headers, Body: map[string]string{"slot": "9:00"},
		}, nil)
	})
	if runs := desk.Runs(ctx); len(runs) != 1 {
		t.Fatalf("booking ran %d times, want once: %v", len(runs), runs)
	}
	checkStepDeliveries(ctx, t, c, base, headers)
}

func checkStepDeliveries(ctx context.Context, t *testing.T, c *client.Client, base string, headers map[string]string) {
	t.Helper()
	const groups = 6
	spec := trainer.StepSpec{Step: 1, Model: "wear", MaxTokens: 4}
	for i := range groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprint("note ", i), Samples: 2})
	}
	requireNoError(t, transport.DoJSON(ctx, c, transport.Exchange{
		Method: "POST", URL: base + "/v1/trainers/t1/steps", Headers: headers, Body: spec,
	}, nil))
	seen := map[int]int{}
	var cursor, epoch int64
	for len(seen) < groups {
		var m trainerhttp.DeliveriesResponse
		requireNoError(t, transport.DoJSON(ctx, c, transport.Exchange{
			Method: "GET", URL: fmt.Sprintf("%s/v1/trainers/t1/deliveries?after=%d&epoch=%d", base, cursor, epoch), Headers: headers,
		}, &m))
		var held []trainer.HeldGroup
		for _, delivery := range m.Deliveries {
			seen[delivery.Group.ID]++
			cursor, epoch = delivery.Sequence, delivery.Epoch
			held = append(held, trainer.HeldGroup{
				Epoch: epoch, Sequence: cursor, GroupRef: trainer.GroupRef{Step: delivery.Step, Group: delivery.Group.ID},
			})
		}
		requireNoError(t, transport.DoJSON(ctx, c, transport.Exchange{
			Method: "POST", URL: base + "/v1/trainers/t1/ack", Headers: headers, Body: trainer.Acknowledgement{Groups: held},
		}, nil))
	}
	for group, times := range seen {
		if times != 1 {
			t.Errorf("group %d was delivered %d times, want once", group, times)
		}
	}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func retryUntilSuccess(t *testing.T, ctx context.Context, f func() error) {
	t.Helper()
	err := f()
	for err != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		err = f()
	}
	requireNoError(t, err)
}
