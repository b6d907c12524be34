package trainer_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/server"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/standin/engine"
	"github.com/berylfall/berylfall/internal/standin/objectapi"
	standin "github.com/berylfall/berylfall/internal/standin/trainer"
	"github.com/berylfall/berylfall/internal/trainer"
	"github.com/berylfall/berylfall/internal/transport"
)

// waitLimit limits the wait for events that take up to 11 s, the longest time
// until another daemon takes over a lease.
const waitLimit = 2 * time.Minute

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a mismatch between the trainer's HTTP protocol and the duty: one
// step goes through a daemon that is not the owner, and the next one through the
// same daemon after the owner has stopped.
func TestStepsAcrossDaemons(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	runner, err := duty.NewRunner(16)
	check(t, err)
	defer runner.Stop(ctx)
	clock := duty.SystemClock{}
	api, err := objectapi.Start("127.0.0.1:0", clock, runner)
	check(t, err)
	model, err := engine.Start("127.0.0.1:0", clock, runner, engine.Options{
		Service: "wear-model", Kind: "gpu", Model: "wear", Version: 7, ContextTokens: 1024, Slots: 8, TokenTime: time.Millisecond,
	})
	check(t, err)
	api.SetHosts(ctx, []platform.Host{{Name: "e1", Role: platform.RoleBackend, Address: model.Address(), State: platform.HostLive}})
	first, second := startDaemon(t, api.URL(), t.TempDir()), startDaemon(t, api.URL(), "")
	defer second.Stop(ctx)
	http, err := transport.NewClient(transport.ClientOptions{})
	check(t, err)
	contract := core.Contract{
		Customer: "prairie",
		Services: []core.Service{{Name: "wear-model", Kind: core.KindEngine, Models: []core.Model{{Name: "wear"}}}},
		Trainers: []core.Trainer{{Name: "t1", Service: "wear-model", Share: 0.5}},
	}
	check(t, transport.DoJSON(ctx, http, transport.Exchange{
		Method: "PUT", URL: "http://" + first.OperatorAddress() + "/v1/contracts/prairie", Body: contract,
	}, nil))

	c, err := standin.NewClient("t1", "prairie", first.CallerAddress())
	check(t, err)
	check(t, c.RunStep(ctx, newStepSpec(1)))
	other, err := standin.NewClient("t1", "prairie", second.CallerAddress())
	check(t, err)
	other.State = c.State
	check(t, other.RunStep(ctx, newStepSpec(2)))
	if epoch := other.State.Epoch; epoch != 1 {
		t.Errorf("epoch %d after a step through the other daemon, want 1, since the owner must not change", epoch)
	}
	first.Stop(ctx)
	check(t, other.RunStep(ctx, newStepSpec(3)))
	if s := other.State; s.Epoch < 2 || s.Accepted != 3*groupsPerStep {
		t.Errorf("epoch %d, %d groups accepted; want a new epoch and %d groups", s.Epoch, s.Accepted, 3*groupsPerStep)
	}
}

const groupsPerStep = 6

func newStepSpec(step int64) trainer.StepSpec {
	s := trainer.StepSpec{Step: step, Model: "wear", MaxTokens: 4}
	for i := range groupsPerStep {
		s.Groups = append(s.Groups, trainer.GroupSpec{Prompt: fmt.Sprint("note ", i), Samples: 2})
	}
	return s
}

func startDaemon(t *testing.T, platformURL, folder string) *server.Server {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	set, err := settings.Parse([]string{
		"--platform-url", platformURL, "--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--drain-grace", "0s", "--data-folder", folder,
	})
	check(t, err)
	d, err := server.Start(set, log)
	check(t, err)
	return d
}
