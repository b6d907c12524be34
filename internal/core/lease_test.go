package core

import (
	"testing"
	"time"
)

// Guards against acts on knowledge that was never confirmed, is older than its term, or
// was revoked, also if an older answer arrives late.
func TestLeaseIsValidForItsTermAfterItsConfirmation(t *testing.T) {
	const term = 2 * time.Second
	now := time.Unix(1e9, 0)
	l := NewLease(term, func() time.Time { return now })
	expect := func(when string, want bool) {
		t.Helper()
		if l.IsValid() != want {
			t.Errorf("%s: valid %v, want %v: %v", when, !want, want, l.Check())
		}
	}
	expect("before the first confirmation", false)
	l.Confirm(now)
	expect("confirmed", true)
	now = now.Add(term)
	expect("at the end of the term", true)
	now = now.Add(1)
	expect("after the term", false)
	l.Confirm(now.Add(-time.Second))
	l.Confirm(now.Add(-term))
	if age, ok := l.Age(); !ok || age != time.Second {
		t.Errorf("an older confirmation replaced a newer one: age %v", age)
	}
	expect("confirmed again", true)
	now = now.Add(-term)
	expect("confirmed in the future of the clock", false)
	now = now.Add(term)
	l.Revoke()
	l.Confirm(now)
	expect("revoked", false)
	if err := l.Check(); err == nil || err.Verdict != NotRun || err.Code != CodeLeaseExpired {
		t.Errorf("a revoked lease is refused with %+v", err)
	}
	if (*Lease)(nil).Check() != nil {
		t.Error("a request that needs no lease is refused")
	}
}
