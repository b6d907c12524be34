// Package demo runs a daemon against embedded stand-ins of both deployments and
// sends it a card lookup, a booking, a model call and a trainer's step. It then
// sends a plain request and a batch job to a daemon on the stand-ins of the users'
// platform, and prints a table of all results. It owns no state beyond one run and
// makes no decisions; a run ends within timeLimit.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/server"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/standin/deployment"
	"github.com/berylfall/berylfall/internal/transport"
)

const (
	timeLimit     = 50 * time.Second // of the whole demonstration
	retryInterval = 50 * time.Millisecond
)

// deploymentSpec returns the stand-ins of both deployments.
func deploymentSpec() deployment.Spec {
	const tokenTime = 2 * time.Millisecond
	prairie := []string{"regina", "saskatoon", "brandon"}
	tbilisi := []string{"vake", "saburtalo", "didube", "isani"}
	return deployment.Spec{
		Engines: []deployment.EngineSpec{
			{Name: "wear", Count: 8, Service: "wear-model", Kind: "gpu", Model: "wear", Version: 12, Adapters: []string{"saddle", "strap"}, Slots: 8, TokenTime: tokenTime, DataCentres: prairie, ChecksFence: true},
			{Name: "diag", Count: 8, Service: "diag-models", Kind: "gpu", Model: "diag", Version: 7, Adapters: []string{"burr", "boiler"}, Slots: 8, TokenTime: tokenTime, DataCentres: tbilisi},
		},
		Plains: []deployment.PlainSpec{
			{Name: "desk", Count: 10, Service: "card-desk", Kind: "cpu", Operations: []string{"lookup", "copy", "issue"}, CallTime: 2 * time.Millisecond, DataCentres: prairie},
			{Name: "booking", Count: 5, Service: "booking-app", Kind: "cpu", Operations: []string{"book", "slots", "consult"}, CallTime: 5 * time.Millisecond, DataCentres: tbilisi},
		},
	}
}

// demo holds the components of a running demonstration and the results so far.
type demo struct {
	standins *deployment.Deployment
	daemon   *server.Server
	client   *client.Client
	rows     []tableRow
}

// Run runs the demonstration with the contract files of the folder and prints a
// table of the results. It returns the first error.
func Run(out io.Writer, contractFolder string) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	d, err := start(ctx)
	if err != nil {
		return err
	}
	defer d.stop()
	if err := d.applyContracts(ctx, contractFolder); err != nil {
		return err
	}
	if err := d.sendRequests(ctx); err != nil {
		return err
	}
	if err := d.runTrainerStep(ctx); err != nil {
		return err
	}
	rows, err := runHosted(ctx)
	if err != nil {
		return fmt.Errorf("on the users' platform: %w", err)
	}
	d.rows = append(d.rows, rows...)
	return d.printTable(out)
}

func start(ctx context.Context) (*demo, error) {
	standins, err := deployment.Start(ctx, deploymentSpec())
	if err != nil {
		return nil, err
	}
	d := &demo{standins: standins}
	set, err := settings.Parse([]string{
		"--name", "demo", "--data-centre", "regina", "--region", "prairie", "--drain-grace", "0s", "--log-level", "warn",
		"--platform-url", standins.PlatformURL(), "--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
	})
	if err != nil {
		return nil, err
	}
	log := set.NewLogger()
	log.SetOutput(os.Stderr)
	log.SetLevel(logrus.WarnLevel)
	if d.daemon, err = server.Start(set, log); err != nil {
		return nil, err
	}
	d.client, err = transport.NewClient(transport.ClientOptions{})
	return d, err
}

func (d *demo) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	d.daemon.Stop(ctx)
	d.standins.Stop(ctx)
}

func (d *demo) applyContracts(ctx context.Context, folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		contract, err := operator.ParseContract(file, content)
		if err != nil {
			return err
		}
		if err := d.applyContract(ctx, contract); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) applyContract(ctx context.Context, contract *core.Contract) error {
	started := time.Now()
	err := transport.DoJSON(ctx, d.client, transport.Exchange{
		Method: "PUT", URL: "http://" + d.daemon.OperatorAddress() + "/v1/contracts/" + string(contract.Customer), Body: contract,
	}, nil)
	if err != nil {
		return fmt.Errorf("apply contract of %s: %w", contract.Customer, err)
	}
	d.rows = append(d.rows, tableRow{what: "contract " + string(contract.Customer), latency: time.Since(started), result: "accepted"})
	return nil
}
