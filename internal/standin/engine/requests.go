package engine

import (
	"slices"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
)

// command asks for the status of one request and may change its state.
type command struct {
	id     string
	action string // cancel, pause or resume; empty only returns the status
}

// executeCommand executes the command and returns the request's status. It reports
// false for an unknown request.
func (s *Server) executeCommand(c command) (m backendhttp.RequestMessage, known bool) {
	if c.action == "" {
		s.statusQueryCount++
	}
	g, known := s.knownRequests.Peek(c.id)
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
	return backendhttp.RequestMessage{State: g.state, Position: g.position, FinishReason: g.finishReason}, true
}

func (s *Server) cancel(g *generation) {
	s.cancelCount++
	isCancelled := func(other *generation) bool { return other == g }
	s.running = slices.DeleteFunc(s.running, isCancelled)
	s.waiting = slices.DeleteFunc(s.waiting, isCancelled)
	if g.state != backendhttp.StateDone || g.silent {
		g.abort()
	}
	g.state = backendhttp.StateDone
	s.knownRequests.Remove(g.message.RequestID)
}

// load records a load report and returns the newest one that is at least LoadLag
// old, or the oldest one if there is none.
func (s *Server) load() backendhttp.LoadMessage {
	now := s.loop.Clock().Now()
	s.loadReports = append(s.loadReports, backendhttp.LoadMessage{
		At: now, Running: len(s.running), Waiting: len(s.waiting),
		KVUsed: float64(s.cache.blocks.Len()) / float64(s.options.CacheBlocks),
	})
	old := 0
	for old+1 < len(s.loadReports) && now.Sub(s.loadReports[old+1].At) >= s.options.LoadLag {
		old++
	}
	s.loadReports = s.loadReports[old:]
	return s.loadReports[0]
}

// exportKV returns the prompt prefixes of a request, for import by another engine.
func (s *Server) exportKV(id string) (backendhttp.KVMessage, bool) {
	g, known := s.knownRequests.Peek(id)
	if !known {
		return backendhttp.KVMessage{}, false
	}
	return backendhttp.KVMessage{RequestID: id, Model: g.message.Model, Position: g.position, Prefixes: prefixHashes(g.message.Prompt)}, true
}

func (s *Server) importKV(m backendhttp.KVMessage) {
	for _, prefix := range m.Prefixes {
		if !s.cache.blocks.Contains(prefix) {
			s.cache.blocks.Add(prefix, struct{}{})
			s.cache.addEvent("stored", prefix)
		}
	}
}
