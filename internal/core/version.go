package core

import "fmt"

// Version numbers the weights of a model. Zero means unknown.
type Version int64

// IsKnown reports whether the version is set: versions start at 1.
func (v Version) IsKnown() bool { return v > 0 }

// Span is a range of tokens, From inclusive to To exclusive, that the same
// weights produced.
type Span struct {
	Version Version `json:"version"`
	Adapter string  `json:"adapter,omitempty"`
	From    int     `json:"from"`
	To      int     `json:"to"`
}

// AppendSpan adds s. It extends the last span when both have the same weights and
// are adjacent; an empty s is ignored.
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

// ValidateSpans returns an error unless the spans cover the tokens from 0 to length
// without gap or overlap, each with a known version.
func ValidateSpans(spans []Span, length int) error {
	next := 0
	for _, s := range spans {
		if s.From != next || s.To <= s.From {
			return fmt.Errorf("span %d-%d does not follow token %d", s.From, s.To, next)
		}
		if !s.Version.IsKnown() {
			return fmt.Errorf("tokens %d-%d have no known weight version", s.From, s.To)
		}
		next = s.To
	}
	if next != length {
		return fmt.Errorf("spans end at token %d of %d", next, length)
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
