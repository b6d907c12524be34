package engine

import "strings"

// Faults switch on failures. The zero value has none.
type Faults struct {
	Refuse           bool   // requests are refused as not started
	RetryAfter       int    // seconds, sent with refusals
	RefuseAfterStart bool   // requests start and are then answered with 500
	BreakAfter       int    // a stream breaks after this many tokens of its run; 0 is never
	LoseLastEvent    bool   // streams break in place of the event that ends them
	StopAt           int    // answers end by themselves at this position; 0 is never
	PauseAt          int    // a request pauses at this position until it is resumed; 0 is never
	Silent           bool   // streams go on without a byte on their connection
	Duplicate        bool   // each event is sent twice
	SkipEvent        int    // the event at this position is not sent; 0 is none
	Crossed          bool   // events carry the ID of another request
	CrashOn          string // a prompt that contains it crashes the engine; empty is none
	SwapFails        bool   // orders fail partway and leave an unknown version
	DropCacheEvents  int    // each n-th cache event is lost; 0 is none
	SlowFactor       int    // a step takes this many times longer; 0 and 1 are normal
}

func (f Faults) crashesOn(prompt string) bool {
	return f.CrashOn != "" && strings.Contains(prompt, f.CrashOn)
}

// crash drops everything that runs, as a restart of the process does.
func (s *Server) crash() {
	s.crashes++
	for _, g := range append(s.running, s.waiting...) {
		g.abort()
	}
	s.reset()
}
