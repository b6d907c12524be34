// Command layout runs the checks of package lint on a directory, by default the
// current one. It exits with code 1 if there are findings and 2 on an error.
package main

import (
	"fmt"
	"os"

	"github.com/berylfall/berylfall/internal/lint"
)

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	findings, err := lint.Check(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, "layout:", err)
		os.Exit(2)
	}
	for _, f := range findings {
		fmt.Println(f)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}
