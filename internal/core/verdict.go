// Package core defines the types that all packages share: contracts, requests,
// answers, samples, weight versions, verdicts and errors. It decides what a
// verdict claims and whether an answer is complete; it encodes no messages.
//
// No duty owns state here. Values are immutable once they are passed on, except
// Call, which one duty at a time owns, and Answer, which is safe for concurrent
// use. Nothing blocks except Answer.Append and Answer.Next. An answer ends
// exactly once, and a verdict never claims NotRun without proof.
package core

import "fmt"

// Verdict says whether a backend server may have run a request.
type Verdict int

// The zero value is the weakest claim, so that a verdict that was not set never
// claims that nothing ran.
const (
	// MayHaveRun means that a backend server may have run the request in part or in full.
	MayHaveRun Verdict = iota
	// NotRun means it is proven that no backend server started the request.
	NotRun
	// Ran means that a backend server ran the request and its complete answer arrived.
	Ran
)

// String returns the verdict as it is written in headers and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// ParseVerdict parses the text that String returns. With an error it returns
// MayHaveRun.
func ParseVerdict(s string) (Verdict, error) {
	switch s {
	case "not-run":
		return NotRun, nil
	case "ran":
		return Ran, nil
	case "may-have-run":
		return MayHaveRun, nil
	}
	return MayHaveRun, fmt.Errorf("verdict %q: allowed are not-run, may-have-run, ran", s)
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := ParseVerdict(string(text))
	*v = parsed
	return err
}

// Combine returns the verdict of a request from the verdicts of two of its attempts.
func (v Verdict) Combine(other Verdict) Verdict {
	if v == Ran || other == Ran {
		return Ran
	}
	if v == MayHaveRun || other == MayHaveRun {
		return MayHaveRun
	}
	return NotRun
}
