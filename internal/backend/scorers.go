package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// remoteCost is the round trip to a server in another data centre.
	remoteCost = time.Millisecond
	// maxLocality is the largest share of the service time that a cached
	// prefix takes off a score. One more request in a quarter of the slots
	// outweighs it.
	maxLocality = 0.2
	// defaultServiceTime stands for the service time of work never seen.
	defaultServiceTime = 10 * time.Millisecond
)

// Scorer rates a server for a request; lower is better.
type Scorer interface {
	Score(r *core.Request, c *Candidate) float64
}

// completionScorer rates a server by the expected completion time in seconds.
// Its fields are set for each decision.
type completionScorer struct {
	dataCentre string
	now        time.Time
	expected   float64      // service time of this class and size in the fleet, in seconds
	prefixes   prefixHashes // of the request's prompt
	locality   *locality
}

// Score returns the expected completion time of the request on the server.
func (s *completionScorer) Score(_ *core.Request, c *Candidate) float64 {
	depth := c.depth()
	service := s.expected * c.speed.factor * c.slowness(s.now)
	score := service * (1 + depth)
	if s.prefixes.n > 0 && depth < 1 {
		share := s.locality.share(c.Server.ID, &s.prefixes)
		score -= service * maxLocality * share * (1 - depth)
	}
	if s.dataCentre != "" && c.Server.DataCentre != s.dataCentre {
		score += remoteCost.Seconds()
	}
	return score
}
