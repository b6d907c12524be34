package server

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/berylfall/berylfall/internal/server/hosted"
	"github.com/berylfall/berylfall/internal/settings"
	"github.com/berylfall/berylfall/internal/transport"
	"github.com/berylfall/berylfall/platform"
)

// Exit codes of berylfalld.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Main runs a daemon with the arguments until SIGTERM or SIGINT and returns its
// exit code. If the users' platform has set a settings file, Main runs the daemon of
// package hosted.
func Main(args []string) int {
	if platform.SettingsPath() != "" {
		return hosted.Main(args)
	}
	config, err := settings.Parse(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(err)
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "berylfalld:", err)
		return ExitSettings
	}
	log := config.NewLogger()
	transport.UseLogger(log)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	daemon, err := Start(config, log)
	if err != nil {
		log.WithError(err).Error("daemon cannot start")
		return ExitFailure
	}
	if err := daemon.WriteAddresses(config.AddressFile); err != nil {
		log.WithError(err).Error("address file cannot be written")
		return ExitFailure
	}
	<-ctx.Done()
	log.Info("daemon is stopping; requests in flight are completed")
	stopping, stop := context.WithTimeout(context.Background(), config.StopTimeout)
	defer stop()
	daemon.Stop(stopping)
	return ExitOK
}

// AddressesMessage is the content of the address file.
type AddressesMessage struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// WriteAddresses writes the addresses in use to the file, since a port of 0 in the
// settings is replaced by a free one. An empty name writes nothing.
func (s *Server) WriteAddresses(file string) error {
	if file == "" {
		return nil
	}
	return settings.WriteAddresses(file, AddressesMessage{
		Callers: s.CallerAddress(), Operators: s.OperatorAddress(), Peers: s.peerAddress,
	})
}
