// Package lint checks the project's architecture rules, which no general linter
// covers: only the duty and ring packages start goroutines and use channels,
// decision packages do not import encodings, and only the adapter packages use the
// names of the users' platform. It decides which files break a rule. It has no
// state and no duty, reads source files only, and skips tests and generated files.
package lint

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
)

// module is the module path of this repository.
const module = "github.com/berylfall/berylfall"

// concurrencyPackages may start goroutines and use channels.
var concurrencyPackages = []string{"internal/duty", "internal/ring"}

// encodingPackages are the wire encodings. Each lies below the package of the peer
// that it talks to.
var encodingPackages = []string{
	"internal/caller/callerhttp",
	"internal/backend/backendhttp",
	"internal/trainer/trainerhttp",
	"internal/scorer/scorerhttp",
	"internal/weights/weightshttp",
	"internal/platform/platformhttp",
	"internal/daemon/daemonrpc",
	"internal/operator/operatorhttp",
}

// decisionPackages must import neither encodings nor transport libraries, so that
// another front end can use them.
var decisionPackages = []string{
	"internal/core",
	"internal/ring",
	"internal/duty",
	"internal/caller",
	"internal/backend",
	"internal/trainer",
	"internal/trainer/batch",
	"internal/scorer",
	"internal/weights",
	"internal/platform",
	"internal/daemon",
	"internal/operator",
	"internal/usage",
}

// platformPackages are the adapter packages for the users' platform. Only they may
// use its names.
var platformPackages = []string{"platform", "platform/standin"}

// platformNames are header names, paths, JSON fields and environment variables of
// the users' platform.
var platformNames = []string{
	"Attempt-Id", "Deadline-Ms", "Expect-Instance", "Server-Stamp", "Instance-Load", "Instance-Id", "Not-Executed",
	"Weight-Versions", "Token-Count", "Prompt-Prefix", "Length-Hint", "Wait-Ms", "Kv-From", "Kv-Fetch", "Kv-Backup",
	"/api/lots", "/api/items", "/api/objects", "/api/order", "/api/report", "/api/readyz", "/api/kv",
	"fencingToken", "fencingEnforced", "maxQueueS", "resultDueMs", "pathPrefix", "targetLatencyMs", "storeRevision",
	"coldRemainingMs", "desiredCount", "BERYLFALL_SETTINGS", "Duty-Holder", "Fencing-Token", "windowId",
}

// transportLibraries may be imported by the encodings and by the packages that
// compose the daemon.
var transportLibraries = []string{
	"net/http",
	"github.com/cloudwego/hertz",
	"github.com/hashicorp/yamux",
	"google.golang.org/protobuf",
}

// Finding is one violation of a rule.
type Finding struct {
	Position token.Position
	Rule     string
}

// String returns the finding in the form file:line: rule.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.Position.Filename, f.Position.Line, f.Rule)
}

// Check parses the Go files below root, except tests and generated files, and
// returns all violations. An unreadable or invalid file is an error.
func Check(root string) ([]Finding, error) {
	var findings []Finding
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipDirectory(entry.Name())
		}
		if !isCheckedFile(path) {
			return nil
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		found, err := checkFile(path, filepath.ToSlash(filepath.Dir(relative)))
		findings = append(findings, found...)
		return err
	})
	return findings, err
}

func skipDirectory(name string) error {
	hidden := strings.HasPrefix(name, ".") && name != "." && name != ".."
	if hidden || name == "testdata" || name == "bin" {
		return filepath.SkipDir
	}
	return nil
}

func isCheckedFile(path string) bool {
	return strings.HasSuffix(path, ".go") &&
		!strings.HasSuffix(path, "_test.go") &&
		!strings.HasSuffix(path, ".pb.go")
}

func checkFile(path, dir string) ([]Finding, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var findings []Finding
	report := func(at token.Pos, rule string) {
		findings = append(findings, Finding{Position: files.Position(at), Rule: rule})
	}
	checkImports(file, dir, report)
	if !contains(concurrencyPackages, dir) {
		checkConcurrency(file, report)
	}
	if !contains(platformPackages, dir) && dir != "internal/lint" {
		checkPlatformNames(file, report)
	}
	return findings, nil
}

func checkImports(file *ast.File, dir string, report func(token.Pos, string)) {
	if !contains(decisionPackages, dir) {
		return
	}
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		local, inModule := strings.CutPrefix(path, module+"/")
		if inModule && contains(encodingPackages, local) {
			report(spec.Pos(), "decision package imports the encoding "+local)
		}
		for _, library := range transportLibraries {
			if path == library || strings.HasPrefix(path, library+"/") {
				report(spec.Pos(), "decision package imports the transport library "+path)
			}
		}
	}
}

func checkConcurrency(file *ast.File, report func(token.Pos, string)) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch node := n.(type) {
		case *ast.GoStmt:
			report(node.Pos(), "go statement outside the duty and ring packages")
		case *ast.ChanType:
			report(node.Pos(), "channel outside the duty and ring packages")
		case *ast.SelectStmt:
			report(node.Pos(), "select statement outside the duty and ring packages")
		}
		return true
	})
}

// checkPlatformNames reports string literals and struct tags in which a quoted text
// starts with a name of the users' platform.
func checkPlatformNames(file *ast.File, report func(token.Pos, string)) {
	ast.Inspect(file, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		for _, name := range platformNames {
			if strings.Contains(literal.Value, `"`+name) {
				report(literal.Pos(), "name of the users' platform outside the adapter: "+name)
			}
		}
		return true
	})
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}
