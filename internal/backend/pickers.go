package backend

import (
	"math/rand/v2"

	"github.com/berylfall/berylfall/internal/core"
)

// maxDraws bounds the draws for one candidate. With half of the servers out of
// use, all draws miss in one of 256 decisions.
const maxDraws = 8

// Picker chooses among the servers that can run a request.
type Picker interface {
	// Pick returns a server that usable permits, or nil when it finds none.
	Pick(r *core.Request, from []*Candidate, usable func(*Candidate) bool, s Scorer) *Candidate
}

// TwoChoicePicker draws two candidates at random and takes the better one, so
// that daemons that see the same report do not all choose the same server.
type TwoChoicePicker struct {
	Random *rand.Rand
}

// Pick returns the better of two random servers.
func (p TwoChoicePicker) Pick(r *core.Request, from []*Candidate, usable func(*Candidate) bool, s Scorer) *Candidate {
	first := p.draw(from, usable, nil)
	if first == nil {
		return nil
	}
	second := p.draw(from, usable, first)
	if second != nil && s.Score(r, second) < s.Score(r, first) {
		return second
	}
	return first
}

// draw returns a random usable server other than the given one, or nil when
// the draws miss.
func (p TwoChoicePicker) draw(from []*Candidate, usable func(*Candidate) bool, other *Candidate) *Candidate {
	if len(from) == 0 {
		return nil
	}
	for range maxDraws {
		if c := from[p.Random.IntN(len(from))]; c != other && usable(c) {
			return c
		}
	}
	return nil
}
