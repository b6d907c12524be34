package backend

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// remoteRoundTrip is the network round trip to a server in another data
	// centre.
	remoteRoundTrip = time.Millisecond
	// maxLocalityDiscount is the largest share of the service time that a
	// cached prefix deducts from a score. One more request per four slots
	// outweighs it.
	maxLocalityDiscount = 0.2
	// defaultServiceTime is the service time assumed for a kind of work that
	// has not been measured.
	defaultServiceTime = 10 * time.Millisecond
)

// Scorer rates a server for a request; a lower score is better.
type Scorer interface {
	Score(r *core.Request, c *Candidate) float64
}

// completionScorer scores a server by the expected completion time in seconds.
// Its fields are set for each decision.
type completionScorer struct {
	dataCentre      string
	now             time.Time
	expectedSeconds float64      // mean service time of this kind of work in the fleet
	prefixes        prefixHashes // of the request's prompt
	locality        *locality
}

// Score returns the expected completion time of the request on the server, in
// seconds.
func (s *completionScorer) Score(_ *core.Request, c *Candidate) float64 {
	depth := c.depth()
	service := s.expectedSeconds * c.relativeTime.factor * c.slowdownFactor(s.now)
	score := service * (1 + depth)
	if s.prefixes.count > 0 && depth < 1 {
		share := s.locality.cachedShare(c.Server.ID, &s.prefixes)
		score -= service * maxLocalityDiscount * share * (1 - depth)
	}
	if s.dataCentre != "" && c.Server.DataCentre != s.dataCentre {
		score += remoteRoundTrip.Seconds()
	}
	return score
}
