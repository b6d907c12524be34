package hosted

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	rendezvous "github.com/berylfall/berylfall/internal/daemon"
)

const (
	// suspectSources is the number of other daemons that are asked for suspects at the
	// start. All know about the same.
	suspectSources = 4
	// suspectPullTimeout bounds one question, and suspectPullAttempts the attempts at one
	// daemon.
	suspectPullTimeout  = 500 * time.Millisecond
	suspectPullAttempts = 3
)

// sendSuspects passes what dispatch learns of crashes to the other daemons.
func (d *frontDaemon) sendSuspects(r backend.SuspectReport) { d.notifier.addSuspects(r) }

// mergeSuspects passes what other daemons know of crashes to dispatch.
func (d *frontDaemon) mergeSuspects(r backend.SuspectReport) {
	if !d.dispatch.MergeSuspectReport(r) {
		d.log.Warn("suspects of another daemon are dropped: ring is full")
	}
}

// pullSuspects asks some of the other daemons for the suspects that this one does not know,
// since it has just started. It runs on the goroutine of the watch of daemons.
func (d *frontDaemon) pullSuspects() {
	for _, address := range rendezvous.RendezvousRank("suspects/"+d.hostSettings.PeerAddress, d.peerList.otherAddresses(), suspectSources) {
		if !d.notifier.pool.TryGo(func() { d.pullSuspectsFrom(address) }) {
			d.log.WithField("daemon", address).Warn("suspects are not asked for: pool is busy")
		}
	}
}

// pullSuspectsFrom runs on a pool goroutine.
func (d *frontDaemon) pullSuspectsFrom(address string) {
	for range suspectPullAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), suspectPullTimeout)
		r, err := d.peers.PullSuspects(ctx, address)
		cancel()
		if err == nil {
			if !r.IsEmpty() {
				d.mergeSuspects(r)
			}
			return
		}
		d.log.WithError(err).WithField("daemon", address).Debug("suspects could not be asked for")
		time.Sleep(suspectPullTimeout)
	}
}
