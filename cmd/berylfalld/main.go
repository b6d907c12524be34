// Command berylfalld is the berylfall daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/berylfall/berylfall/internal/server"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/transport"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	set, err := settings.Parse(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "berylfalld:", err)
		return exitSettings
	}
	log := set.NewLogger()
	transport.UseLogger(log)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	daemon, err := server.Start(set, log)
	if err != nil {
		log.WithError(err).Error("daemon cannot start")
		return exitFailure
	}
	<-ctx.Done()
	log.Info("daemon stops after the requests in flight")
	stopping, stop := context.WithTimeout(context.Background(), set.StopTimeout)
	defer stop()
	daemon.Stop(stopping)
	return exitOK
}
