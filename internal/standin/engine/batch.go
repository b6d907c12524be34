package engine

import (
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/ring"
)

// event is one step of a stream to the connection.
type event struct {
	token backendhttp.TokenMessage
	fail  bool // answer with a failure in place of a stream
	abort bool // close the connection without an end
}

// generation is one request at the engine.
type generation struct {
	message  backendhttp.CompletionMessage
	position int
	started  int // position that the run began at
	prefill  int // blocks of the prompt still to compute
	state    string
	finish   string
	muted    bool // the connection has gone silent
	// pausedOnce keeps the fault PauseAt from pausing a resumed request again.
	pausedOnce bool
	out        *ring.Ring[event]
}

func newGeneration(m backendhttp.CompletionMessage) *generation {
	return &generation{
		message:  m,
		position: len(m.ResumeTokens),
		started:  len(m.ResumeTokens),
		state:    backendhttp.StateWaiting,
		out:      ring.New[event]("engine.tokens", tokenCapacity),
	}
}

func (g *generation) abort() {
	g.out.TryPut(event{abort: true})
	g.out.Close()
}

// admit takes a request into the queue of the batch.
func (s *Server) admit(g *generation) {
	s.runs[g.message.RequestID]++
	s.known.Add(g.message.RequestID, g)
	if s.faults.RefuseAfterStart {
		g.state = backendhttp.StateDone
		g.out.TryPut(event{fail: true})
		g.out.Close()
		return
	}
	s.waiting = append(s.waiting, g)
	sort.SliceStable(s.waiting, func(i, j int) bool {
		return s.waiting[i].message.Priority < s.waiting[j].message.Priority
	})
	s.schedule()
}

// schedule steps the batch while it has work.
func (s *Server) schedule() {
	if s.stepping || len(s.running)+len(s.waiting) == 0 {
		return
	}
	s.stepping = true
	s.loop.After(s.options.TokenTime*time.Duration(max(1, s.faults.SlowFactor)), s.step)
}

// step produces one token of each running request.
func (s *Server) step() {
	s.stepping = false
	for len(s.waiting) > 0 && len(s.running) < s.options.Slots {
		g := s.waiting[0]
		s.waiting = s.waiting[1:]
		g.state = backendhttp.StateRunning
		g.prefill = s.cache.use(g.message.Prompt)
		s.running = append(s.running, g)
		if s.faults.crashesOn(g.message.Prompt) {
			s.crash()
			return
		}
	}
	kept := s.running[:0]
	for _, g := range s.running {
		if s.advance(g) {
			kept = append(kept, g)
		}
	}
	s.running = kept
	s.schedule()
}

// advance makes one step of the request and reports whether more follow.
func (s *Server) advance(g *generation) bool {
	if g.state == backendhttp.StatePaused {
		return true
	}
	if g.prefill > 0 && s.options.PrefillBlocks > 0 {
		g.prefill -= s.options.PrefillBlocks
		return true
	}
	if s.faults.BreakAfter > 0 && g.position-g.started >= s.faults.BreakAfter {
		s.known.Remove(g.message.RequestID)
		g.abort()
		return false
	}
	if s.faults.PauseAt > 0 && g.position == s.faults.PauseAt && !g.pausedOnce {
		g.pausedOnce = true
		g.state = backendhttp.StatePaused
		return true
	}
	return s.produce(g)
}

// produce adds the next token.
func (s *Server) produce(g *generation) bool {
	t := backendhttp.TokenMessage{
		RequestID: g.message.RequestID,
		Position:  g.position,
		Tokens:    []int32{int32(g.position)},
		Text:      "w ",
		Version:   s.model.Models[0].Version,
		Adapter:   g.message.Adapter,
	}
	g.position++
	if g.position >= g.message.MaxTokens {
		g.finish = backendhttp.FinishReasonLength
	} else if s.faults.StopAt > 0 && g.position >= s.faults.StopAt {
		g.finish = "stop"
	}
	if g.finish != "" {
		g.state = backendhttp.StateDone
	}
	open := s.send(g, t)
	if !open || g.finish != "" {
		g.state = backendhttp.StateDone
		if !g.muted {
			g.out.Close()
		}
		return false
	}
	return true
}

// send puts the token on its way to the connection, as the faults allow. It
// reports false when the connection does not take it.
func (s *Server) send(g *generation, t backendhttp.TokenMessage) bool {
	if s.faults.Silent {
		g.muted = true
	}
	if g.muted || (s.faults.SkipEvent > 0 && t.Position == s.faults.SkipEvent) {
		return true
	}
	if s.faults.Crossed {
		t.RequestID += "-other"
	}
	open := g.out.TryPut(event{token: t})
	if s.faults.Duplicate {
		open = g.out.TryPut(event{token: t}) && open
	}
	if g.finish != "" && s.faults.LoseLastEvent {
		return g.out.TryPut(event{abort: true}) && open
	}
	if g.finish != "" {
		last := backendhttp.TokenMessage{RequestID: t.RequestID, Position: g.position, Version: t.Version, FinishReason: g.finish}
		return g.out.TryPut(event{token: last}) && open
	}
	return open
}
