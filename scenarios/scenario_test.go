// Package scenarios runs daemons and stand-ins as processes of their own and
// breaks them: kills, freezes, outages and planned stops. Each scenario is a
// testscript file in testdata.
package scenarios

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/berylfall/berylfall/internal/server"
	"github.com/berylfall/berylfall/internal/standin/deployment"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"berylfalld": func() { os.Exit(server.Main(os.Args[1:])) },
		"standins":   func() { os.Exit(deployment.Main(os.Args[1:])) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds:                commands(),
	})
}
