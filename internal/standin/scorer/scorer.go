// Package scorer is a stand-in for a scoring service. It decides the score of each
// sample, which is the length of its text, and which faults apply. The duty
// standin.scorer owns its state. Counts has every sample that was scored, also when
// the response was lost.
package scorer

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/scorer/scorerhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

const queryRingCapacity = 1024

// Faults selects the failures to inject. The zero value injects none.
type Faults struct {
	Down        bool          // batches are rejected with 503
	LoseAnswers int           // the next LoseAnswers batches are scored, but the response is 500
	Twice       bool          // each score occurs twice in the response
	Half        bool          // the response lacks the second half of the scores
	Delay       time.Duration // added to each response
}

type params struct {
	batch     *scorerhttp.BatchMessage
	setFaults *Faults
}

type reply struct {
	status int
	scores scorerhttp.ScoresMessage
	delay  time.Duration
	counts map[string]int
}

// Server is the stand-in. The duty standin.scorer owns its state.
type Server struct {
	loop    *duty.Loop
	queries *duty.QueryRing[params, reply]
	http    *transport.Server
	faults  Faults
	counts  map[string]int // how often each sample was scored
}

// Start listens on the address and runs the duty and the HTTP server on runner.
func Start(address string, clock duty.Clock, runner *duty.Runner) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{})
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:    duty.New("standin.scorer", clock),
		queries: duty.NewQueryRing[params, reply]("scorer.asks", queryRingCapacity),
		http:    listener,
		counts:  map[string]int{},
	}
	duty.OnQuery(s.loop, s.queries, s.handleQuery)
	listener.Router().POST(scorerhttp.PathScore, s.handleScore)
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	return s, runner.Serve("standin.scorer.http", listener.Serve, listener.Close)
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return "http://" + s.http.Address() }

// SetFaults replaces all faults.
func (s *Server) SetFaults(ctx context.Context, f Faults) {
	_, _ = s.queries.Do(ctx, params{setFaults: &f})
}

// Counts returns how often each sample was scored, by sample ID.
func (s *Server) Counts(ctx context.Context) map[string]int {
	r, _ := s.queries.Do(ctx, params{})
	return r.counts
}

func (s *Server) handleScore(ctx context.Context, c *app.RequestContext) {
	var m scorerhttp.BatchMessage
	if err := transport.ReadJSON(c, &m); err != nil {
		transport.WriteError(c, err)
		return
	}
	r, err := s.queries.Do(ctx, params{batch: &m})
	if err != nil {
		c.SetStatusCode(consts.StatusServiceUnavailable)
		return
	}
	time.Sleep(r.delay)
	if r.status != consts.StatusOK {
		c.SetStatusCode(r.status)
		return
	}
	c.JSON(r.status, r.scores)
}

func (s *Server) handleQuery(query duty.Query[params, reply]) {
	p := query.Params
	switch {
	case p.setFaults != nil:
		s.faults = *p.setFaults
		query.Reply(reply{status: consts.StatusOK})
	case p.batch == nil:
		counts := make(map[string]int, len(s.counts))
		for id, n := range s.counts {
			counts[id] = n
		}
		query.Reply(reply{status: consts.StatusOK, counts: counts})
	case s.faults.Down:
		query.Reply(reply{status: consts.StatusServiceUnavailable})
	default:
		query.Reply(s.scoreBatch(p.batch))
	}
}

func (s *Server) scoreBatch(m *scorerhttp.BatchMessage) reply {
	samples := m.Samples
	if s.faults.Half {
		samples = samples[:(len(samples)+1)/2]
	}
	r := reply{status: consts.StatusOK, delay: s.faults.Delay}
	for _, sample := range samples {
		s.counts[sample.ID]++
		score := scorerhttp.ScoreMessage{ID: sample.ID, Score: float64(len(sample.Text))}
		r.scores.Scores = append(r.scores.Scores, score)
		if s.faults.Twice {
			r.scores.Scores = append(r.scores.Scores, score)
		}
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		r.status = consts.StatusInternalServerError
	}
	return r
}
