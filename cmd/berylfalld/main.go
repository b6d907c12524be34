// Command berylfalld runs the berylfall daemon. It owns no state: package server
// starts the duties, stops them on a signal and decides the exit code.
package main

import (
	"os"

	"github.com/berylfall/berylfall/internal/server"
)

func main() { os.Exit(server.Main(os.Args[1:])) }
