// Command rig runs one review case: it starts a small deployment on loopback addresses,
// with stand-ins for the platform's store, workers and clients, and the project's own
// programs as separate processes. It is started in the repository root.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun(err)
	}
	return &record{file: f, started: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	os.Exit(exitNotRun)
}

var cases = map[string]func(rec *record, trouble bool) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	if cases[os.Args[1]](rec, trouble) {
		rec.add("the rule is broken")
		fmt.Println("broken")
		os.Exit(exitBroken)
	}
	rec.add("the rule held")
	fmt.Println("held")
	os.Exit(exitHeld)
}
