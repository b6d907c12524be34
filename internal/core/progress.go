package core

import (
	"slices"
	"strings"
)

// SoftwareVersion names the version of the software that a backend server runs. It
// is independent of the weight version; "" is the version of a server that names none.
type SoftwareVersion string

// unknownSoftwarePrefix begins the versions that UnknownSoftware returns.
const unknownSoftwarePrefix = "unknown version of "

// UnknownSoftware returns the version of a run of a server whose version is not known. It
// equals that of the same run only, so no stream of the run continues on another one.
func UnknownSoftware(run string) SoftwareVersion {
	return SoftwareVersion(unknownSoftwarePrefix + run)
}

// UnknownRun returns the run of a version that UnknownSoftware returned.
func (v SoftwareVersion) UnknownRun() (run string, isUnknown bool) {
	return strings.CutPrefix(string(v), unknownSoftwarePrefix)
}

// Progress is the part of an answer that its reader has received.
type Progress struct {
	Tokens   []int32
	Software SoftwareVersion // of the servers that produced the tokens
}

// IsEmpty reports whether the reader has received nothing.
func (p Progress) IsEmpty() bool { return len(p.Tokens) == 0 }

// MayContinueOn reports whether a server of the software version may produce the rest of
// the answer. Streams of two versions do not fit together, and servers do not check it.
func (p Progress) MayContinueOn(software SoftwareVersion) bool {
	return p.IsEmpty() || p.Software == software
}

// Append returns the progress after a server of the software version has sent more
// tokens. Like the built-in append, it may use the memory of p.
func (p Progress) Append(software SoftwareVersion, tokens ...int32) Progress {
	if len(tokens) == 0 {
		return p
	}
	return Progress{Tokens: append(p.Tokens, tokens...), Software: software}
}

// Clone returns a copy with its own memory.
func (p Progress) Clone() Progress {
	p.Tokens = slices.Clone(p.Tokens)
	return p
}
