package plain

import "strings"

// Faults selects the failures to inject. The zero value injects none.
type Faults struct {
	Refuse           bool   // calls are rejected with Request-Started: false
	RetryAfter       int    // seconds, sent with rejections
	RefuseAfterStart bool   // calls run and are then rejected without Request-Started
	FailLate         bool   // calls run and the response is 500
	BreakBefore      bool   // the connection is closed after the call ran, before the response
	BreakWithin      bool   // the connection is closed in the middle of the response
	Silent           bool   // calls run, but no response is sent until Silent is false
	CrashOn          string // a call whose body contains it crashes the service; empty is none
	SlowFactor       int    // calls take this many times longer; 0 and 1 are normal
	Endless          string // calls run, and the response of this kind of package endless is sent
	EndlessReports   string // load reports are answered with the response of this kind
}

func (f Faults) crashesOn(body []byte) bool {
	return f.CrashOn != "" && strings.Contains(string(body), f.CrashOn)
}
