package plain

import "strings"

// Faults switch on failures. The zero value has none.
type Faults struct {
	Refuse           bool   // calls are refused as not started
	RetryAfter       int    // seconds, sent with refusals
	RefuseAfterStart bool   // calls are carried out and then refused without Request-Started
	FailLate         bool   // calls are carried out and then answered with 500
	BreakBefore      bool   // the connection breaks after the call ran, before the answer
	BreakWithin      bool   // the connection breaks in the middle of the answer
	Silent           bool   // calls are carried out and get no byte until Silent is off
	CrashOn          string // a body that contains it crashes the service; empty is none
	SlowFactor       int    // calls take this many times longer; 0 and 1 are normal
}

func (f Faults) crashesOn(body []byte) bool {
	return f.CrashOn != "" && strings.Contains(string(body), f.CrashOn)
}
