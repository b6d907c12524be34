package core

import "time"

// Sample is one answer for a trainer.
type Sample struct {
	Group   int       `json:"group"`
	Index   int       `json:"index"` // within the group
	Prompt  string    `json:"prompt"`
	Text    string    `json:"text"`
	Tokens  []int32   `json:"tokens"`
	Spans   []Span    `json:"spans"`
	Score   *float64  `json:"score,omitempty"`
	Started time.Time `json:"started"`
}

// Group is the set of samples of one prompt. It is delivered as a unit.
type Group struct {
	ID      int      `json:"id"` // within the step
	Samples []Sample `json:"samples"`
}
