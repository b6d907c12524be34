package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/server/hosted"
	"github.com/berylfall/berylfall/platform"
	"github.com/berylfall/berylfall/platform/standin"
)

const (
	// maxHostedDuties is the maximum number of duties and listeners of the stand-ins.
	maxHostedDuties = 32
	hostedGroups    = 12
	groupSize       = 8
)

// hostedDeployment is a small deployment on the users' platform.
var hostedDeployment = standin.Deployment{Host: "rollouts.example", Engines: "wear-model", Plain: "card-desk", Model: "wear", Slots: 16}

// runHosted sends a plain request and a batch job to a daemon on the users'
// platform. The job runs under a version that was named immediately before, and is
// read until its last result.
func runHosted(ctx context.Context) ([]tableRow, error) {
	runner, err := duty.NewRunner(maxHostedDuties)
	if err != nil {
		return nil, err
	}
	defer runner.Stop(ctx)
	store, err := startHostedServers(ctx, runner)
	if err != nil {
		return nil, err
	}
	daemon, callers, err := startHostedDaemon(store)
	if err != nil {
		return nil, err
	}
	defer daemon.Stop(ctx)
	c := standin.NewClient(hostedDeployment, []string{callers})
	plain, err := hostedRequest(ctx, c)
	if err != nil {
		return nil, err
	}
	job, err := hostedJob(ctx, c, store)
	return []tableRow{plain, job}, err
}

// startHostedServers starts the store, four engines and two plain servers.
func startHostedServers(ctx context.Context, runner *duty.Runner) (*standin.Store, error) {
	store, err := standin.StartStore("127.0.0.1:0", duty.SystemClock{}, runner)
	if err != nil {
		return nil, err
	}
	servers := []standin.ServerOptions{
		{ID: "desk-1", Service: hostedDeployment.Plain, Slots: 6, CallTime: 2 * time.Millisecond},
		{ID: "desk-2", Service: hostedDeployment.Plain, Slots: 6, CallTime: 2 * time.Millisecond},
	}
	for i := range 4 {
		servers = append(servers, standin.ServerOptions{
			ID: fmt.Sprintf("engine-%d", i), Service: hostedDeployment.Engines, Slots: hostedDeployment.Slots,
			Models: []string{hostedDeployment.Model}, EventTime: 2 * time.Millisecond, LoadTime: 200 * time.Millisecond,
		})
	}
	for _, o := range servers {
		o.DataCentre = "regina"
		if _, err := standin.StartServer(ctx, "127.0.0.1:0", duty.SystemClock{}, runner, store, o); err != nil {
			return nil, err
		}
	}
	return store, hostedDeployment.Configure(store, 1)
}

// startHostedDaemon starts a daemon and returns it with its address for callers.
func startHostedDaemon(store *standin.Store) (hosted.Daemon, string, error) {
	addresses, err := standin.FreeAddresses("127.0.0.1", 3)
	if err != nil {
		return nil, "", err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	daemon, err := hosted.StartFront(&platform.Settings{
		Host: "front-regina-1", DataCentre: "regina", Callers: addresses[0], Readiness: addresses[1], PeerAddress: addresses[2],
		Store:  platform.StoreSettings{Address: store.Address(), WritesPerSecond: 400, ReadsPerSecond: 2000},
		Bounds: platform.Bounds{StopGrace: 8 * time.Second, LeaseTurn: 3 * time.Second, Drain: 2 * time.Second},
	}, logrus.NewEntry(log))
	return daemon, addresses[0], err
}

// hostedRequest retries a plain request until the daemon has received its
// configuration and the servers.
func hostedRequest(ctx context.Context, c *standin.Client) (tableRow, error) {
	for {
		started := time.Now()
		a, err := c.Plain(ctx, "lookup-1", []byte("card 17"))
		if err == nil && a.Status == http.StatusOK {
			return tableRow{what: "platform: card lookup", latency: time.Since(started), verdict: core.Ran.String(), result: string(a.Body)}, nil
		}
		if err := duty.Sleep(ctx, retryInterval); err != nil {
			return tableRow{}, fmt.Errorf("plain request: %w", err)
		}
	}
}

// hostedJob names a version and runs a step's batch job under it.
func hostedJob(ctx context.Context, c *standin.Client, store *standin.Store) (tableRow, error) {
	const version = 2
	started := time.Now()
	if err := hostedDeployment.PublishVersion(store, version); err != nil {
		return tableRow{}, err
	}
	job := standin.JobSpec{ID: "step-2", Step: version, MinVersion: version, Groups: hostedGroups, GroupSize: groupSize, Events: 8}
	if err := c.Submit(ctx, job); err != nil {
		return tableRow{}, fmt.Errorf("submit job: %w", err)
	}
	results, err := c.ReadAll(ctx, job.ID)
	if err != nil {
		return tableRow{}, fmt.Errorf("read job: %w", err)
	}
	took := time.Since(started)
	if err := c.End(ctx, job.ID); err != nil {
		return tableRow{}, fmt.Errorf("end job: %w", err)
	}
	complete := 0
	for _, r := range results {
		if r.Text == standin.Text(r.ID, job.Events) && slices.Equal(r.Versions, []core.Version{version}) && r.Score != "" {
			complete++
		}
	}
	return tableRow{
		what: "platform: batch job", latency: took, verdict: core.Ran.String(),
		result: fmt.Sprintf("%d of %d results whole, scored and of version %d, which was named before", complete, len(job.Items()), version),
	}, nil
}
