package backend

import (
	"math/rand/v2"

	"github.com/berylfall/berylfall/internal/core"
)

// maxDraws bounds the random draws for one candidate. If half of the servers
// are not usable, all draws miss in 1 of 256 decisions.
const maxDraws = 8

// Picker chooses among the servers that can run a request.
type Picker interface {
	// Pick returns a server for which usable returns true, or nil when it finds
	// none.
	Pick(r *core.Request, servers []*Candidate, usable func(*Candidate) bool, s Scorer) *Candidate
}

// TwoChoicePicker implements power-of-two-choices: it draws two random
// candidates and returns the better one, so that daemons that have received the
// same report do not all choose the same server.
type TwoChoicePicker struct {
	Random *rand.Rand
}

// Pick returns the better-scored of two random servers.
func (p TwoChoicePicker) Pick(r *core.Request, servers []*Candidate, usable func(*Candidate) bool, s Scorer) *Candidate {
	first := p.draw(servers, usable, nil)
	if first == nil {
		return nil
	}
	second := p.draw(servers, usable, first)
	if second != nil && s.Score(r, second) < s.Score(r, first) {
		return second
	}
	return first
}

// draw returns a random usable server other than the given one, or nil when all
// draws miss.
func (p TwoChoicePicker) draw(servers []*Candidate, usable func(*Candidate) bool, exclude *Candidate) *Candidate {
	if len(servers) == 0 {
		return nil
	}
	for range maxDraws {
		if c := servers[p.Random.IntN(len(servers))]; c != exclude && usable(c) {
			return c
		}
	}
	return nil
}
