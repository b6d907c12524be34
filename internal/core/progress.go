package core

import "slices"

// SoftwareVersion names the version of the software that a backend server runs. It
// is independent of the weight version; "" is unknown.
type SoftwareVersion string

// Progress is the part of an answer that its reader has received.
type Progress struct {
	Tokens   []int32
	Software SoftwareVersion // of the servers that produced the tokens
}

// Append returns the progress after a server of the software version has sent more
// tokens. It leaves p unchanged.
func (p Progress) Append(software SoftwareVersion, tokens []int32) Progress {
	if len(tokens) == 0 {
		return p
	}
	return Progress{Tokens: append(slices.Clip(p.Tokens), tokens...), Software: software}
}

// IsEmpty reports whether the reader has received nothing.
func (p Progress) IsEmpty() bool { return len(p.Tokens) == 0 }
