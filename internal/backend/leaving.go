package backend

import (
	"maps"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// leavingNoticeTTL is how long a notice that a server is leaving is kept. The entry of a
// server that leaves disappears and may come back for some seconds.
const leavingNoticeTTL = 10 * time.Minute

// LeavingNotice says that a server is leaving, as the server itself said with an answer.
// Its entry in the store may say so later, or never.
type LeavingNotice struct {
	Server      core.ServerID
	Incarnation string // run of the server that is leaving; a later one is not
}

// AddLeavingNotice queues a notice. It never blocks; a discarded one comes again with the
// server's next answer.
func (d *Directory) AddLeavingNotice(n LeavingNotice) { d.leavingNotices.PutLatest(n) }

// handleLeavingNotice publishes at once: a server that is leaving must not get new work.
func (d *Directory) handleLeavingNotice(n LeavingNotice) {
	if _, known := d.leaving[n]; known {
		return
	}
	d.leaving[n] = d.loop.Clock().Now()
	d.log.WithField("backend_server", n.Server).Info("backend server says that it is leaving")
	d.publish()
}

// isLeaving reports whether the listed run of the server is leaving by its entry or by an
// answer.
func (d *Directory) isLeaving(s *Server) bool {
	_, noticed := d.leaving[LeavingNotice{Server: s.ID, Incarnation: s.Description.Incarnation}]
	return s.Leaving || noticed
}

func (d *Directory) forgetOldNotices() {
	now := d.loop.Clock().Now()
	maps.DeleteFunc(d.leaving, func(_ LeavingNotice, at time.Time) bool { return now.Sub(at) > leavingNoticeTTL })
}

// SetLeavingHandler sets the function that receives the servers that say with an answer
// that they are leaving. It runs on pool goroutines and must not block. SetLeavingHandler
// must be called before the duty starts.
func (d *Dispatcher) SetLeavingHandler(f func(LeavingNotice)) { d.onLeaving = f }

// leavingHandler returns the function for the answers of one attempt at the server.
func (d *Dispatcher) leavingHandler(s *Server) func() {
	if d.onLeaving == nil {
		return nil
	}
	notice := LeavingNotice{Server: s.ID, Incarnation: s.Description.Incarnation}
	return func() { d.onLeaving(notice) }
}
