package core

import "fmt"

// Version numbers the weights of a model. Zero means unknown.
type Version int64

// Known reports whether the version is known.
func (v Version) Known() bool { return v > 0 }

// Span says which weights produced the tokens from From up to, but not
// including, To.
type Span struct {
	Version Version `json:"version"`
	Adapter string  `json:"adapter,omitempty"`
	From    int     `json:"from"`
	To      int     `json:"to"`
}

// AppendSpan adds s, joining it to the last span when both name the same weights.
func AppendSpan(spans []Span, s Span) []Span {
	if s.From == s.To {
		return spans
	}
	if n := len(spans); n > 0 {
		last := &spans[n-1]
		if last.Version == s.Version && last.Adapter == s.Adapter && last.To == s.From {
			last.To = s.To
			return spans
		}
	}
	return append(spans, s)
}

// CheckSpans reports an error unless the spans cover tokens 0 up to length
// without gap or overlap, each with a known version.
func CheckSpans(spans []Span, length int) error {
	at := 0
	for _, s := range spans {
		if s.From != at || s.To <= s.From {
			return fmt.Errorf("span %d-%d does not follow token %d", s.From, s.To, at)
		}
		if !s.Version.Known() {
			return fmt.Errorf("tokens %d-%d have no known weight version", s.From, s.To)
		}
		at = s.To
	}
	if at != length {
		return fmt.Errorf("spans end at token %d of %d", at, length)
	}
	return nil
}

// OldestVersion returns the lowest version in spans, or 0 when there is none.
func OldestVersion(spans []Span) Version {
	var oldest Version
	for i, s := range spans {
		if i == 0 || s.Version < oldest {
			oldest = s.Version
		}
	}
	return oldest
}
