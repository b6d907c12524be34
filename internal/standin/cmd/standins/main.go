// Command standins runs the stand-ins of a deployment until SIGINT or SIGTERM.
package main

import (
	"os"

	"github.com/berylfall/berylfall/internal/standin/deployment"
)

func main() { os.Exit(deployment.Main(os.Args[1:])) }
