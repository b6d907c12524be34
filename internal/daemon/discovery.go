package daemon

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Periods and limits of reading the host list.
const (
	hostListPeriod       = 30 * time.Second
	hostListRetryDelay   = time.Second
	hostListTimeout      = 2 * time.Second
	hostListRingCapacity = 2 // at most one read is in progress
)

// PeerAddressSource reads the addresses of daemons from the platform's host list.
type PeerAddressSource interface {
	PeerAddresses(ctx context.Context) ([]PeerAddress, error)
}

type hostListResult struct {
	addresses []PeerAddress
	err       error
}

// PeerDiscovery is the duty that reads the platform's host list for the peers
// duty. Every daemon reads it once after the start; later only gateways do, so
// that the number of platform calls grows with the number of data centres and
// not of daemons.
type PeerDiscovery struct {
	loop      *duty.Loop
	source    PeerAddressSource
	pool      *duty.Pool
	deliver   func([]PeerAddress)
	results   *ring.Ring[hostListResult]
	views     *ring.Ring[*MembersView]
	hasRead   bool
	isGateway bool
}

// NewPeerDiscovery returns the duty. deliver must not block.
func NewPeerDiscovery(clock duty.Clock, source PeerAddressSource, pool *duty.Pool, deliver func([]PeerAddress)) *PeerDiscovery {
	d := &PeerDiscovery{
		loop:    duty.New("hosts", clock),
		source:  source,
		pool:    pool,
		deliver: deliver,
		results: ring.New[hostListResult]("hosts.results", hostListRingCapacity),
		views:   ring.New[*MembersView]("hosts.views", 1),
	}
	duty.On(d.loop, d.results, d.handleResult)
	duty.On(d.loop, d.views, func(v *MembersView) { d.isGateway = v.IsGateway })
	d.loop.After(0, d.readHostList)
	return d
}

// Loop returns the duty's loop.
func (d *PeerDiscovery) Loop() *duty.Loop { return d.loop }

// SetMembers queues the current membership and replaces one not yet handled.
func (d *PeerDiscovery) SetMembers(v *MembersView) { d.views.PutLatest(v) }

func (d *PeerDiscovery) readHostList() {
	if d.hasRead && !d.isGateway {
		d.loop.After(hostListPeriod, d.readHostList)
		return
	}
	started := d.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), hostListTimeout)
		defer cancel()
		addresses, err := d.source.PeerAddresses(ctx)
		d.results.TryPut(hostListResult{addresses: addresses, err: err})
	})
	if !started {
		d.loop.After(hostListRetryDelay, d.readHostList)
	}
}

func (d *PeerDiscovery) handleResult(r hostListResult) {
	if r.err != nil {
		d.loop.After(hostListRetryDelay, d.readHostList)
		return
	}
	d.hasRead = true
	d.deliver(r.addresses)
	d.loop.After(hostListPeriod, d.readHostList)
}
