package engine

import (
	"slices"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
)

// control is a command for one request.
type control struct {
	id     string
	action string // "", cancel, pause, resume
}

// control carries out the command and returns the request's status.
func (s *Server) control(c control) (m backendhttp.RequestMessage, known bool) {
	if c.action == "" {
		s.statuses++
	}
	g, known := s.known.Peek(c.id)
	if !known {
		return m, false
	}
	switch {
	case c.action == "cancel":
		s.cancel(g)
	case c.action == "pause" && g.state == backendhttp.StateRunning:
		g.state = backendhttp.StatePaused
	case c.action == "resume" && g.state == backendhttp.StatePaused:
		g.state = backendhttp.StateRunning
	}
	return backendhttp.RequestMessage{State: g.state, Position: g.position, FinishReason: g.finish}, true
}

func (s *Server) cancel(g *generation) {
	s.cancels++
	isCancelled := func(other *generation) bool { return other == g }
	s.running = slices.DeleteFunc(s.running, isCancelled)
	s.waiting = slices.DeleteFunc(s.waiting, isCancelled)
	if g.state != backendhttp.StateDone || g.muted {
		g.abort()
	}
	g.state = backendhttp.StateDone
	s.known.Remove(g.message.RequestID)
}

// load returns the newest report that is at least the lag old.
func (s *Server) load() backendhttp.LoadMessage {
	now := s.loop.Clock().Now()
	s.loads = append(s.loads, backendhttp.LoadMessage{
		At: now, Running: len(s.running), Waiting: len(s.waiting),
		KVUsed: float64(s.cache.blocks.Len()) / float64(s.options.CacheBlocks),
	})
	old := 0
	for old+1 < len(s.loads) && now.Sub(s.loads[old+1].At) >= s.options.LoadLag {
		old++
	}
	s.loads = s.loads[old:]
	return s.loads[0]
}

// exportKV returns the cached prefix of a request, for another engine.
func (s *Server) exportKV(id string) (backendhttp.KVMessage, bool) {
	g, known := s.known.Peek(id)
	if !known {
		return backendhttp.KVMessage{}, false
	}
	return backendhttp.KVMessage{RequestID: id, Model: g.message.Model, Position: g.position, Prefixes: prefixes(g.message.Prompt)}, true
}

func (s *Server) importKV(m backendhttp.KVMessage) {
	for _, prefix := range m.Prefixes {
		if !s.cache.blocks.Contains(prefix) {
			s.cache.blocks.Add(prefix, struct{}{})
			s.cache.note("stored", prefix)
		}
	}
}
