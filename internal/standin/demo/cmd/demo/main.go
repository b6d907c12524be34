// Command demo runs the demonstration that the README describes.
package main

import (
	"fmt"
	"os"

	"github.com/berylfall/berylfall/internal/standin/demo"
)

func main() {
	if err := demo.Run(os.Stdout, "contracts"); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
