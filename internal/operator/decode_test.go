package operator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/berylfall/berylfall/internal/core"
)

// Guards against example contracts that do not pass validation.
func TestExampleContractsAreValid(t *testing.T) {
	for _, name := range []string{"prairie", "kartvel"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "contracts", name+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		contract, err := ParseContract(name+".yaml", data)
		if err != nil {
			t.Fatal(err)
		}
		if string(contract.Customer) != name || contract.Limits.Queue == 0 || contract.Services[0].Models[0].Name == "" {
			t.Errorf("contract %s lost fields: %+v", name, contract)
		}
	}
}

const invalidContract = `customer: Prairie!
weight: -1
shedRank: 101
colour: red
limits: {requestsPerSecond: .nan, concurrency: "5", queue: 5000}
freshness: {maxAge: soon, maxVersionsBehind: 1.5}
hedge: {maxExtraWork: 0.06}
services:
  - name: a
    kind: engine
    models: [{name: m, adapters: [x, x]}]
    deadline: -5s
  - {name: a, kind: plain, operations: [{name: o, idempotent: maybe}], class: urgent}
  - {name: c, kind: other}
trainers: [{name: t, service: none, share: 2, spareSamples: 65}]
objectives: [{name: o, service: a, availability: 1, latency: 2h}]
`

// Guards against a problem that is not found, is reported without its position, or
// hides the problems after it.
func TestParseContractReportsEveryFault(t *testing.T) {
	_, err := ParseContract("f.yaml", []byte(invalidContract))
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error = %v, want Problems", err)
	}
	want := []string{
		`f.yaml:1:11: customer: is not a valid name (got "Prairie!", allowed: `,
		`f.yaml:2:9: weight: is out of range (got "-1", allowed: 0 to 1000)`,
		"f.yaml:3:11: shedRank: ",
		`f.yaml:4:1: colour: is not a field of a contract (got "red", allowed: one of customer, weight`,
		"limits.requestsPerSecond: is out of range (got \"NaN\"",
		"limits.concurrency: has a value of the wrong type",
		"limits.queue: is out of range",
		`freshness.maxAge: has a value of the wrong type (got "soon", allowed: a duration with its unit`,
		"freshness.maxVersionsBehind: has a value of the wrong type",
		"hedge.maxExtraWork: is out of range (got \"0.06\", allowed: 0 to 0.05)",
		"f.yaml:11:38: services[0].models[0].adapters[1]: is used twice",
		"f.yaml:12:15: services[0].deadline: is out of range",
		"services[1].name: is used twice",
		"services[1].operations[0].idempotent: has a value of the wrong type (got \"maybe\", allowed: true or false)",
		"services[1].class: is not a class",
		"services[2].kind: is not a kind of service",
		"trainers[0].service: names no service",
		"trainers[0].share: is out of range",
		"trainers[0].spareSamples: is out of range",
		"objectives[0].availability: is out of range",
		"objectives[0].latency: is out of range",
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("no problem contains %q", w)
		}
	}
	if t.Failed() {
		t.Logf("problems:\n%v", err)
	}
	if core.CodeOf(err) != core.CodeInvalid || core.AsError(err).Verdict != core.NotRun {
		t.Errorf("code and verdict = %v, %v, want invalid and not-run", core.CodeOf(err), core.AsError(err).Verdict)
	}
}

// Guards against a panic on input that is not a contract, and against accepting it.
func TestParseContractRefusesOtherInput(t *testing.T) {
	for _, input := range []string{
		"", "[]", "5", "customer: [", "customer: {a: 1}", "a: &a [*a]", "services: 5\ncustomer: x", "customer: x\n---\ncustomer: y",
		"customer: x\ncustomer: y", "customer: null", "customer: x\nfreshness: {maxAge: 0s}", "\x00", "services: [null]", strings.Repeat("x", MaxContractBytes+1),
	} {
		contract, err := ParseContract("f", []byte(input))
		var problems Problems
		if contract != nil || !errors.As(err, &problems) || len(problems) == 0 {
			t.Errorf("input %.40q: contract %v, error %v, want problems", input, contract, err)
		}
	}
}

// Guards against input that blocks the parser: without the bound on nesting, 256
// KiB of "[" took more than 100 s.
func TestParseContractRefusesDeepNesting(t *testing.T) {
	for _, unit := range []string{"[", "{a: ", "- ", "a: ", "? ", "&a ", "!!x "} {
		_, err := ParseContract("f", []byte("customer: x\n"+strings.Repeat(unit, MaxContractBytes/8)))
		if err == nil || !strings.Contains(err.Error(), "f:2:1: file: is nested too deeply") {
			t.Errorf("%q: error = %v, want one about the nesting", unit, err)
		}
	}
}
