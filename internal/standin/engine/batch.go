package engine

import (
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/ring"
)

// event is an instruction of the duty to the goroutine that writes the response.
type event struct {
	token backendhttp.TokenMessage
	fail  bool // respond with status 500 instead of a stream
	abort bool // close the connection without ending the stream
}

// generation is the state of one request at the engine.
type generation struct {
	message           backendhttp.CompletionMessage
	position          int
	startPosition     int // position of the first token of this run
	prefillBlocksLeft int // prompt blocks that remain to be computed
	state             string
	finishReason      string
	silent            bool // Faults.Silent applied: no further events are sent
	// pausedByFault prevents Faults.PauseAt from pausing a resumed request again.
	pausedByFault bool
	events        *ring.Ring[event]
}

func newGeneration(m backendhttp.CompletionMessage) *generation {
	return &generation{
		message:       m,
		position:      len(m.ResumeTokens),
		startPosition: len(m.ResumeTokens),
		state:         backendhttp.StateWaiting,
		events:        ring.New[event]("engine.tokens", tokenCapacity),
	}
}

func (g *generation) abort() {
	g.events.TryPut(event{abort: true})
	g.events.Close()
}

// enqueue adds a request to the batch's queue, which is ordered by priority.
func (s *Server) enqueue(g *generation) {
	s.startCounts[g.message.RequestID]++
	s.knownRequests.Add(g.message.RequestID, g)
	if s.faults.RefuseAfterStart {
		g.state = backendhttp.StateDone
		g.events.TryPut(event{fail: true})
		g.events.Close()
		return
	}
	s.waiting = append(s.waiting, g)
	sort.SliceStable(s.waiting, func(i, j int) bool {
		return s.waiting[i].message.Priority < s.waiting[j].message.Priority
	})
	s.scheduleStep()
}

// scheduleStep schedules the next step of the batch if there are requests and no
// step is scheduled yet.
func (s *Server) scheduleStep() {
	if s.stepping || len(s.running)+len(s.waiting) == 0 {
		return
	}
	s.stepping = true
	s.loop.After(s.options.TokenTime*time.Duration(max(1, s.faults.SlowFactor)), s.step)
}

// step fills free slots from the queue and advances each running request by one
// token at most.
func (s *Server) step() {
	s.stepping = false
	for len(s.waiting) > 0 && len(s.running) < s.options.Slots {
		g := s.waiting[0]
		s.waiting = s.waiting[1:]
		g.state = backendhttp.StateRunning
		g.prefillBlocksLeft = s.cache.insertPrompt(g.message.Prompt)
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
	s.scheduleStep()
}

// advance advances the request by one step and reports whether it stays in the
// batch.
func (s *Server) advance(g *generation) bool {
	if g.state == backendhttp.StatePaused {
		return true
	}
	if g.prefillBlocksLeft > 0 && s.options.PrefillBlocks > 0 {
		g.prefillBlocksLeft -= s.options.PrefillBlocks
		return true
	}
	if s.faults.BreakAfter > 0 && g.position-g.startPosition >= s.faults.BreakAfter {
		s.knownRequests.Remove(g.message.RequestID)
		g.abort()
		return false
	}
	if s.faults.PauseAt > 0 && g.position == s.faults.PauseAt && !g.pausedByFault {
		g.pausedByFault = true
		g.state = backendhttp.StatePaused
		return true
	}
	return s.generateToken(g)
}

// generateToken generates the request's next token and reports whether more follow.
func (s *Server) generateToken(g *generation) bool {
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
		g.finishReason = backendhttp.FinishReasonLength
	} else if s.faults.StopAt > 0 && g.position >= s.faults.StopAt {
		g.finishReason = "stop"
	}
	if g.finishReason != "" {
		g.state = backendhttp.StateDone
	}
	accepted := s.sendToken(g, t)
	if !accepted || g.finishReason != "" {
		g.state = backendhttp.StateDone
		if !g.silent {
			g.events.Close()
		}
		return false
	}
	return true
}

// sendToken queues the token for the connection, subject to the faults. It reports
// false when the connection's ring is full or closed.
func (s *Server) sendToken(g *generation, t backendhttp.TokenMessage) bool {
	if s.faults.Silent {
		g.silent = true
	}
	if g.silent || (s.faults.SkipEvent > 0 && t.Position == s.faults.SkipEvent) {
		return true
	}
	if s.faults.Crossed {
		t.RequestID += "-other"
	}
	accepted := g.events.TryPut(event{token: t})
	if s.faults.Duplicate {
		accepted = g.events.TryPut(event{token: t}) && accepted
	}
	if g.finishReason != "" && s.faults.LoseLastEvent {
		return g.events.TryPut(event{abort: true}) && accepted
	}
	if g.finishReason != "" {
		last := backendhttp.TokenMessage{RequestID: t.RequestID, Position: g.position, Version: t.Version, FinishReason: g.finishReason}
		return g.events.TryPut(event{token: last}) && accepted
	}
	return accepted
}
