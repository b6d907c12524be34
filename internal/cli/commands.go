package cli

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// commandSpec is a command with its help texts and its options.
type commandSpec struct {
	name    string
	short   string
	long    string
	example string
	data    any
}

// addCommands registers all commands. It panics on an error, which can only come
// from a wrong definition in this package.
func (s *session) addCommands(parser *flags.Parser) {
	contract := s.addCommand(parser.Command, commandSpec{
		name: "contract", short: "check, change and read contracts",
		long:    "Contracts are YAML files, one for each customer; see docs/operators/contracts.md.",
		example: "berylfall contract apply -f contracts/prairie.yaml",
		data:    &struct{}{},
	})
	for _, r := range s.contractCommands() {
		s.addCommand(contract, r)
	}
	for _, r := range s.rootCommands() {
		s.addCommand(parser.Command, r)
	}
}

func (s *session) addCommand(parent *flags.Command, r commandSpec) *flags.Command {
	command, err := parent.AddCommand(r.name, r.short, r.long+"\n\nExample: "+r.example, r.data)
	if err != nil {
		panic(fmt.Sprintf("command %s: %v", r.name, err))
	}
	return command
}

func (s *session) contractCommands() []commandSpec {
	return []commandSpec{
		{"validate", "check contract files", "Checks the files without a daemon and prints every fault with its place.",
			"berylfall contract validate -f contracts/prairie.yaml", &validateCommand{session: s}},
		{"apply", "put a contract in force", "Checks the file and stores it. Without --if-version the change is made for the version that is stored when the command starts, so a change made meanwhile is a conflict.",
			"berylfall contract apply -f contracts/prairie.yaml --if-version 4", &applyCommand{session: s}},
		{"get", "print a stored contract", "Prints the contract in the form of a contract file.",
			"berylfall contract get prairie", &getCommand{session: s}},
		{"list", "list the stored contracts", "Lists customers, versions and services.",
			"berylfall contract list -o json", &listCommand{session: s}},
		{"diff", "compare a file with the stored contract", "Prints what apply would change. The exit code is 0 with and without differences.",
			"berylfall contract diff -f contracts/prairie.yaml", &diffCommand{session: s}},
		{"delete", "delete a contract", "Replaces the contract by a tombstone, so that no older copy comes back. Requests of the customer are refused from then on.",
			"berylfall contract delete prairie --if-version 4", &deleteCommand{session: s}},
		{"history", "print the last changes of a contract", "Prints up to 20 recorded changes. A change whose record was lost is missing.",
			"berylfall contract history prairie", &historyCommand{session: s}},
		{"wait", "wait until a version is in force", "Asks each daemon given by --address for its version in force until all have it. When the time is over, it prints the daemons that lag and exits with 1.",
			"berylfall contract wait prairie --version 5 --address 10.0.0.1:7301 --address 10.0.0.2:7301", &waitCommand{session: s}},
	}
}

func (s *session) rootCommands() []commandSpec {
	return []commandSpec{
		{"status", "print the state of daemons", "Prints duties, rings, backend servers, contracts in force, leases and drain state of each daemon given by --address.",
			"berylfall status -o json", &statusCommand{session: s}},
		{"request", "send one request", "Sends a model call or a call of a plain service and prints answer, verdict and version spans.",
			"berylfall request --customer prairie --model wear --prompt \"strap, 2 years\" --max-tokens 32", &requestCommand{session: s}},
		{"burn", "print the burn report", "Adds up the reports of all daemons given by --address. --image writes a PNG or SVG file.",
			"berylfall burn --image burn.png", &burnCommand{session: s}},
		{"drain", "stop taking requests on a daemon", "Turns readiness off at once and refuses requests from 3 s later on; requests in flight finish. --off takes requests again.",
			"berylfall drain --address 10.0.0.1:7301 --wait 5m", &drainCommand{session: s}},
		{"explain", "print why a request went where it went", "Looks for a recent request on each daemon given by --address.",
			"berylfall explain 0d9c6a1e-8a52-4be5-a9a3-0a4f7f1c9d3b", &explainCommand{session: s}},
		{"version", "print the version of this tool", "Prints the version of this tool.",
			"berylfall version", &versionCommand{session: s}},
		{"completion", "print a completion script", "Prints a script that makes the shell complete commands and flags.",
			"source <(berylfall completion bash)", &completionCommand{session: s}},
	}
}

type versionCommand struct {
	outputOption
	session *session
}

// Execute prints the version of the tool.
func (c *versionCommand) Execute([]string) error {
	if c.Output == "json" {
		return c.session.printJSON(struct {
			Version string `json:"version"`
		}{c.session.app.Version})
	}
	c.session.printf("berylfall %s\n", c.session.app.Version)
	return nil
}

type completionCommand struct {
	Args struct {
		Shell string `positional-arg-name:"bash|zsh" required:"yes"`
	} `positional-args:"yes"`
	session *session
}

const bashCompletion = `_berylfall() {
  local words=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${words[@]}"))
}
complete -F _berylfall berylfall
`

// Execute prints the completion script for the shell.
func (c *completionCommand) Execute([]string) error {
	switch c.Args.Shell {
	case "bash":
		c.session.printf("%s", bashCompletion)
	case "zsh":
		c.session.printf("autoload -U +X bashcompinit && bashcompinit\n%s", bashCompletion)
	default:
		return usageError("shell", c.Args.Shell, "bash, zsh")
	}
	return nil
}
