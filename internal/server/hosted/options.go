// Package hosted composes the daemons that run on the users' platform from the
// adapter in platform/ and the packages of the peers. It decides
// which daemon orders an engine (by leases, at most one at a time), which daemons
// relay changes to the others, and the order of a planned stop. Its own duty, the
// notifier, owns the notifications for peers; the watch of daemons owns the list of
// peers. A planned stop serves open connections until the end and releases jobs and
// leases before the deadline.
package hosted

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/settings"
)

// Exit codes of a daemon on the platform.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// Roles of a daemon.
const (
	roleFront = "front" // serves callers and trainers
	roleStore = "store" // runs on a host with a disk, but stores nothing there
)

// options are the flags of a daemon on the platform. All other settings are in the
// platform's settings file.
type options struct {
	Role     string `long:"role" env:"BERYLFALL_ROLE" default:"front" choice:"front" choice:"store" description:"what this daemon does"`
	LogLevel string `long:"log-level" env:"BERYLFALL_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least severe level that is logged"`
}

func parseOptions(args []string) (*options, error) {
	o := &options{}
	parser := flags.NewParser(o, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "berylfalld"
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, core.InvalidError("arguments", strings.Join(rest, " "), "flags only", "are not known")
	}
	return o, nil
}

// newLogger returns a logger that writes JSON lines to out.
func (o *options) newLogger(out io.Writer) *logrus.Logger {
	log := settings.NewLogger(o.LogLevel, "json")
	log.SetOutput(out)
	return log
}

// reportOptions prints the help text or the error of the flags and returns the exit
// code.
func reportOptions(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "berylfalld:", err)
	return exitSettings
}
