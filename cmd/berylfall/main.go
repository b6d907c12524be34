// Command berylfall is the command-line tool for operators. It owns no state:
// package cli executes the command and decides the exit code. SIGINT and SIGTERM
// cancel the command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/berylfall/berylfall/internal/cli"
	"github.com/berylfall/berylfall/internal/server"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := cli.NewApp(server.Version).Run(ctx, os.Args[1:])
	cancel()
	os.Exit(code)
}
