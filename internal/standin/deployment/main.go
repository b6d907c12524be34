package deployment

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/jessevdk/go-flags"

	"github.com/berylfall/berylfall/internal/settings"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const stopTimeout = 5 * time.Second

type options struct {
	File        string `short:"f" long:"file" required:"true" description:"YAML file with the stand-ins to start"`
	AddressFile string `long:"address-file" required:"true" description:"file that receives the addresses as JSON"`
}

// Main runs the program standins until SIGINT or SIGTERM and returns its exit code.
func Main(args []string) int {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		return exitFailure
	}
	return exitOK
}

func run(ctx context.Context, o options) error {
	spec, err := ReadSpec(o.File)
	if err != nil {
		return err
	}
	d, err := Start(ctx, spec)
	if err != nil {
		return err
	}
	if err := settings.WriteAddresses(o.AddressFile, d.Addresses()); err != nil {
		return err
	}
	<-ctx.Done()
	stopping, stop := context.WithTimeout(context.Background(), stopTimeout)
	defer stop()
	d.Stop(stopping)
	return nil
}

// ReadSpec reads a deployment from a YAML file. Unknown fields are errors.
func ReadSpec(file string) (Spec, error) {
	var spec Spec
	content, err := os.ReadFile(file)
	if err != nil {
		return spec, err
	}
	err = yaml.UnmarshalWithOptions(content, &spec, yaml.Strict())
	return spec, err
}
