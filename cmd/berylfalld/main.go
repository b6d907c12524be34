// Command berylfalld is the berylfall daemon.
package main

import (
	"os"

	"github.com/berylfall/berylfall/internal/server"
)

func main() { os.Exit(server.Main(os.Args[1:])) }
