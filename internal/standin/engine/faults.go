package engine

import "strings"

// Faults selects the failures to inject. The zero value injects none.
type Faults struct {
	Refuse           bool   // requests are rejected with Request-Started: false
	RetryAfter       int    // seconds, sent with rejections
	RefuseAfterStart bool   // requests start and the response is 500
	BreakAfter       int    // a stream's connection is closed after this many tokens of its run; 0 is never
	LoseLastEvent    bool   // the connection is closed instead of sending the last event of a stream
	StopAt           int    // generation ends with finish reason "stop" at this position; 0 is never
	PauseAt          int    // a request pauses at this position until it is resumed; 0 is never
	Silent           bool   // generation continues, but streams send nothing more
	Duplicate        bool   // each token event is sent twice
	SkipEvent        int    // the event at this position is not sent; 0 is none
	Crossed          bool   // events have the ID of another request
	CrashOn          string // a request whose prompt contains it crashes the engine; empty is none
	SwapFails        bool   // orders fail and leave the model with an unknown version (0)
	DropCacheEvents  int    // each n-th cache event is not published; 0 is none
	SlowFactor       int    // a step takes this many times longer; 0 and 1 are normal
	Endless          string // requests start, and the response of this kind of package endless is sent
}

func (f Faults) crashesOn(prompt string) bool {
	return f.CrashOn != "" && strings.Contains(prompt, f.CrashOn)
}

// crash simulates a restart of the process: it aborts all requests and loses the
// state that reset sets.
func (s *Server) crash() {
	s.crashCount++
	for _, g := range append(s.running, s.waiting...) {
		g.abort()
	}
	s.reset()
}
