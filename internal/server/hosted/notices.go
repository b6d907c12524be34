package hosted

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
	"github.com/berylfall/berylfall/internal/weights"
)

const (
	noticeRing = 1024
	// noticeDelay lets notices collect, so that one message carries several.
	noticeDelay = 10 * time.Millisecond
	// noticeTimeout bounds one message. An engine's own entry says the same
	// about two seconds later.
	noticeTimeout = time.Second
)

// notices is the duty that tells all daemons what this one, which orders the
// engines, knows of them.
type notices struct {
	loop    *duty.Loop
	log     *logrus.Entry
	in      *ring.Ring[backend.Notice]
	pool    *duty.Pool
	local   func([]backend.Notice)
	others  func() []string
	send    func(ctx context.Context, address string, n []backend.Notice) error
	pending []backend.Notice
}

func (d *frontDaemon) buildNotices() error {
	pool, err := d.pool("notices", peerWorkers)
	if err != nil {
		return err
	}
	n := &notices{
		loop: duty.New("notices", d.clock), log: d.log, in: ring.New[backend.Notice]("notices.in", noticeRing),
		pool: pool, local: d.directory.Note, others: d.roster.others, send: d.peers.Notify,
	}
	duty.On(n.loop, n.in, n.handle)
	d.notices = n
	d.loops = append(d.loops, n.loop)
	return nil
}

// add takes a notice of the roll-out. It never waits.
func (n *notices) add(w weights.WorkerNotice) {
	if !n.in.TryPut(backend.Notice{Server: w.Worker, Model: w.Model, Version: w.Version, Loading: w.Loading}) {
		n.log.WithField("backend_server", w.Worker).Warn("notice about an engine is dropped")
	}
}

func (n *notices) handle(notice backend.Notice) {
	n.pending = append(n.pending, notice)
	if len(n.pending) == 1 {
		n.loop.After(noticeDelay, n.flush)
	}
}

func (n *notices) flush() {
	list := n.pending
	n.pending = nil
	n.local(list)
	for _, address := range n.others() {
		if !n.pool.TryGo(func() { n.tell(address, list) }) {
			n.log.WithField("daemon", address).Warn("no worker is free to tell a daemon about engines")
		}
	}
}

// tell runs on the pool.
func (n *notices) tell(address string, list []backend.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if err := n.send(ctx, address, list); err != nil {
		n.log.WithError(err).WithField("daemon", address).Debug("daemon could not be told about engines")
	}
}
