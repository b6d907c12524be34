package daemon

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Timings of the host list.
const (
	hostsPeriod     = 30 * time.Second
	hostsRetry      = time.Second
	hostsTimeout    = 2 * time.Second
	hostsRingLength = 2 // one read at a time
)

// PeerAddressSource reads the addresses of daemons from the platform's host list.
type PeerAddressSource interface {
	PeerAddresses(ctx context.Context) ([]PeerAddress, error)
}

type hostsRead struct {
	contacts []PeerAddress
	err      error
}

// PeerDiscovery is the duty that reads the host list for the peers duty: once at the
// start, and after that only at gateways, so that the calls to the platform
// grow with data centres.
type PeerDiscovery struct {
	loop    *duty.Loop
	source  PeerAddressSource
	pool    *duty.Pool
	deliver func([]PeerAddress)
	results *ring.Ring[hostsRead]
	views   *ring.Ring[*MembersView]
	read    bool
	gateway bool
}

// NewPeerDiscovery returns the duty. deliver must not wait.
func NewPeerDiscovery(clock duty.Clock, source PeerAddressSource, pool *duty.Pool, deliver func([]PeerAddress)) *PeerDiscovery {
	h := &PeerDiscovery{
		loop:    duty.New("hosts", clock),
		source:  source,
		pool:    pool,
		deliver: deliver,
		results: ring.New[hostsRead]("hosts.results", hostsRingLength),
		views:   ring.New[*MembersView]("hosts.views", 1),
	}
	duty.On(h.loop, h.results, h.handleRead)
	duty.On(h.loop, h.views, func(v *MembersView) { h.gateway = v.IsGateway })
	h.loop.After(0, h.next)
	return h
}

// Loop returns the duty's loop.
func (h *PeerDiscovery) Loop() *duty.Loop { return h.loop }

// SetMembers takes the membership.
func (h *PeerDiscovery) SetMembers(v *MembersView) { h.views.PutLatest(v) }

func (h *PeerDiscovery) next() {
	if h.read && !h.gateway {
		h.loop.After(hostsPeriod, h.next)
		return
	}
	started := h.pool.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), hostsTimeout)
		defer cancel()
		contacts, err := h.source.PeerAddresses(ctx)
		h.results.TryPut(hostsRead{contacts: contacts, err: err})
	})
	if !started {
		h.loop.After(hostsRetry, h.next)
	}
}

func (h *PeerDiscovery) handleRead(r hostsRead) {
	if r.err != nil {
		h.loop.After(hostsRetry, h.next)
		return
	}
	h.read = true
	h.deliver(r.contacts)
	h.loop.After(hostsPeriod, h.next)
}
