// Package cli implements the commands of the berylfall tool: it parses flags,
// sends requests to daemons over HTTP, prints their answers and decides the exit
// code. The rules about contracts and burn reports are in package operator.
//
// No duty runs here and a session lasts for one command. All access to the
// process environment goes through App, so that tests run the commands in their
// own process. A command never repeats a change or a caller's request. If the
// answer to one is lost after it was sent, the exit code is ExitUnknownOutcome.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/operator"
)

// Exit codes of every command.
const (
	ExitOK             = 0
	ExitFailed         = 1 // nothing changed, or a read failed
	ExitInvalid        = 2 // usage or invalid input; nothing changed
	ExitConflict       = 3 // the stored version differs from the expected one; nothing changed
	ExitUnknownOutcome = 4 // the change or request has taken effect, or may have, but did not succeed
)

// Default addresses of a local daemon.
const (
	defaultOperatorAddress = "127.0.0.1:7301"
	defaultCallerAddress   = "127.0.0.1:7300"
)

// App is the process environment of a command: its streams, environment
// variables, files and clock. Tests replace its parts.
type App struct {
	Stdout    io.Writer
	Stderr    io.Writer
	Getenv    func(string) string
	ReadFile  func(path string) ([]byte, error)
	WriteFile func(path string, data []byte) error
	Sleep     func(time.Duration)
	Version   string
}

// NewApp returns an App that uses the streams, environment and files of the
// current process.
func NewApp(version string) *App {
	const readableByAll = 0o644
	return &App{
		Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, ReadFile: os.ReadFile,
		WriteFile: func(path string, data []byte) error { return os.WriteFile(path, data, readableByAll) },
		Sleep:     time.Sleep,
		Version:   version,
	}
}

// globalOptions apply to every command.
type globalOptions struct {
	Address       []string      `long:"address" value-name:"HOST:PORT" description:"a daemon's address for operators, or its https URL; repeat it for several daemons [$BERYLFALL_ADDRESS, separated by commas] (default: 127.0.0.1:7301)"`
	CallerAddress string        `long:"caller-address" value-name:"HOST:PORT" description:"a daemon's address for callers, or its https URL [$BERYLFALL_CALLER_ADDRESS] (default: 127.0.0.1:7300)"`
	TokenFile     string        `long:"token-file" value-name:"FILE" description:"file that holds the bearer token, instead of $BERYLFALL_TOKEN [$BERYLFALL_TOKEN_FILE]"`
	CAFile        string        `long:"ca-file" value-name:"FILE" description:"PEM file of the certificates to trust for https addresses [$BERYLFALL_CA_FILE] (default: those of the system)"`
	Timeout       time.Duration `long:"timeout" default:"30s" description:"longest wait for one answer, 1ms to 1h"`
}

// session is one invocation of the tool.
type session struct {
	app     *App
	ctx     context.Context
	options globalOptions
}

// outputOption selects the output format of a command.
type outputOption struct {
	Output string `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"format of the output"`
}

// Run parses the arguments, executes the command and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	s := &session{app: a, ctx: ctx}
	parser := flags.NewParser(&s.options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "berylfall"
	parser.ShortDescription = "operate berylfall"
	parser.LongDescription = "Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 conflict, 4 took effect or may have, without success.\n\nExample: berylfall status"
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if command == nil {
			return nil
		}
		if len(rest) > 0 {
			return usageError("arguments", strings.Join(rest, " "), "those that --help shows")
		}
		if err := s.resolveOptions(); err != nil {
			return err
		}
		return command.Execute(rest)
	}
	s.addCommands(parser)
	_, err := parser.ParseArgs(args)
	return a.reportError(err)
}

// reportError prints the error, if any, and returns the exit code.
func (a *App) reportError(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(a.Stdout, err)
			return ExitOK
		}
		_, _ = fmt.Fprintln(a.Stderr, "berylfall:", err)
		return ExitInvalid
	}
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(a.Stderr, "berylfall:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var problems operator.Problems
	if errors.As(err, &problems) {
		return ExitInvalid
	}
	var e *core.Error
	if !errors.As(err, &e) {
		return ExitFailed
	}
	switch {
	case e.Verdict != core.NotRun:
		return ExitUnknownOutcome
	case e.Code == core.CodeInvalid || e.Code == core.CodeTooLarge:
		return ExitInvalid
	case e.Code == core.CodeConflict:
		return ExitConflict
	default:
		return ExitFailed
	}
}

func usageError(field, value, allowed string) error {
	return core.InvalidError(field, value, allowed, "is not allowed")
}

// resolveOptions completes the options from the environment and the defaults, and
// validates them.
func (s *session) resolveOptions() error {
	o := &s.options
	if len(o.Address) == 0 {
		o.Address = splitList(s.app.Getenv("BERYLFALL_ADDRESS"))
	}
	if len(o.Address) == 0 {
		o.Address = []string{defaultOperatorAddress}
	}
	setDefault(&o.CallerAddress, s.app.Getenv("BERYLFALL_CALLER_ADDRESS"), defaultCallerAddress)
	setDefault(&o.TokenFile, s.app.Getenv("BERYLFALL_TOKEN_FILE"))
	setDefault(&o.CAFile, s.app.Getenv("BERYLFALL_CA_FILE"))
	if o.Timeout < time.Millisecond || o.Timeout > time.Hour {
		return usageError("--timeout", o.Timeout.String(), "1ms to 1h")
	}
	for i, address := range o.Address {
		base, err := baseURL("--address", address)
		if err != nil {
			return err
		}
		o.Address[i] = base
	}
	base, err := baseURL("--caller-address", o.CallerAddress)
	o.CallerAddress = base
	return err
}

func setDefault(value *string, candidates ...string) {
	for _, candidate := range candidates {
		if *value == "" {
			*value = candidate
		}
	}
}

func splitList(text string) []string {
	var list []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// printJSON writes v as indented JSON to the standard output.
func (s *session) printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.app.Stdout, string(data))
	return err
}

func (s *session) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.app.Stdout, format, args...)
}

func (s *session) warnf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.app.Stderr, format, args...)
}
