package hosted

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/transport"
	"github.com/berylfall/berylfall/platform"
)

const (
	// heapLimitShare is the share of the process's memory limit that is set as the
	// soft limit of the Go runtime. Network buffers and thread stacks of the operating
	// system use the rest.
	heapLimitShare = 0.6
	// gcPercent is below the default of 100, which trades CPU time for memory.
	gcPercent = 20
)

// Main runs a daemon on the platform until SIGTERM or SIGINT and returns its exit
// code. SIGHUP makes it check the settings file.
func Main(args []string) int {
	o, err := parseOptions(args)
	if err != nil {
		return reportOptions(err)
	}
	set, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		fmt.Fprintln(os.Stderr, "berylfalld:", err)
		return exitSettings
	}
	if set.Memory > 0 {
		debug.SetMemoryLimit(int64(heapLimitShare * float64(set.Memory)))
	}
	debug.SetGCPercent(gcPercent)
	runner, err := duty.NewRunner(dutyCapacity)
	if err != nil {
		fmt.Fprintln(os.Stderr, "berylfalld:", err)
		return exitFailure
	}
	lines := settings.NewLogWriter(duty.SystemClock{}, os.Stdout)
	if err := runner.Start(lines.Loop()); err != nil {
		fmt.Fprintln(os.Stderr, "berylfalld:", err)
		return exitFailure
	}
	// The log duty stops last, after it has written the lines of all other duties.
	defer runner.Stop(context.Background())
	log := o.newLogger(lines)
	transport.UseLogger(log)
	entry := log.WithFields(logrus.Fields{"host": set.Host, "data_centre": set.DataCentre})
	if err := run(o, set, entry); err != nil {
		entry.WithError(err).Error("daemon cannot run")
		return exitFailure
	}
	return exitOK
}

// Daemon is a running daemon of any role.
type Daemon interface {
	// Stop ends the daemon. ctx bounds the wait for work in progress.
	Stop(ctx context.Context)
}

func run(o *options, set *platform.Settings, log *logrus.Entry) error {
	signals := duty.NotifySignals(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signals.Stop()
	d, err := build(o, set, log)
	if err != nil {
		return err
	}
	log.WithField("role", o.Role).Info("daemon started")
	for {
		if s := signals.Wait(); s != syscall.SIGHUP {
			log.WithField("signal", s.String()).Info("daemon is stopping")
			break
		}
		reload(set, log)
	}
	ctx, cancel := context.WithTimeout(context.Background(), set.Bounds.StopGrace)
	defer cancel()
	d.Stop(ctx)
	log.Info("daemon stopped")
	return nil
}

// reload reads the settings file again and logs whether it differs. The settings of
// a running process are not changed, since its addresses and limits are fixed.
func reload(set *platform.Settings, log *logrus.Entry) {
	next, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		log.WithError(err).Warn("settings could not be reloaded; the previous ones stay in force")
		return
	}
	log.WithField("changed", *next != *set).Info("settings read again")
}

func build(o *options, set *platform.Settings, log *logrus.Entry) (Daemon, error) {
	if o.Role == roleStore {
		return startStore(set, log)
	}
	return StartFront(set, log)
}
