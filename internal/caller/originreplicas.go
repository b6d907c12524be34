package caller

import (
	"context"
	"slices"
	"time"
)

const (
	// originPullRanks is the number of daemons, from the first of a stream on, that get its
	// origin when they start again. Each daemon leaves itself out of its order, so a holder
	// may come one place later for another daemon.
	originPullRanks = originReplicas + 1
	// originPullAttempts bounds the attempts to ask one daemon.
	originPullAttempts = 3
	// originRetryDelay is the delay before a failed call is repeated.
	originRetryDelay = time.Second
	// maxPulledOrigins bounds the answer of one daemon.
	maxPulledOrigins = 8192
)

// queuedOrigin is an origin on its way to one of its holders.
type queuedOrigin struct {
	origin StreamOrigin
	rank   int // of the holder, among all of the stream
}

// originQueue holds the origins that wait for one daemon.
type originQueue struct {
	origins   []queuedOrigin
	isSending bool
}

// originBatchEnd is the outcome of a message with origins.
type originBatchEnd struct {
	address string
	batch   []queuedOrigin
	err     error
}

// originPullEnd is what another daemon returned of the origins to hold.
type originPullEnd struct {
	address string
	attempt int
	origins []StreamOrigin
	err     error
}

// replicate sends the origin to its holders. Without any, this daemon is the holder.
func (s *StreamOrigins) replicate(h *heldOrigin) {
	if !s.isListed && len(s.unsent) < maxQueuedOrigins {
		s.unsent = append(s.unsent, h.origin)
		return
	}
	if h.holders[0] == "" {
		s.holdReplica(h.origin)
	}
	for rank, address := range h.holders[:originReplicas] {
		if address != "" {
			s.enqueue(address, queuedOrigin{origin: h.origin, rank: rank})
		}
	}
}

// holdReplica keeps the origin as one of its holders.
func (s *StreamOrigins) holdReplica(o StreamOrigin) {
	h := s.hold(o)
	if !h.isReplica {
		h.isReplica = true
		s.markUnsaved()
	}
}

func (s *StreamOrigins) handleReceived(origins []StreamOrigin) {
	for _, o := range origins {
		s.holdReplica(o)
	}
}

func (s *StreamOrigins) enqueue(address string, o queuedOrigin) {
	q := s.queues[address]
	if q == nil {
		q = &originQueue{}
		s.queues[address] = q
	}
	if len(q.origins) >= maxQueuedOrigins {
		q.origins = q.origins[1:]
	}
	q.origins = append(q.origins, o)
	s.sendNext(address)
}

// sendNext sends the waiting origins to the daemon unless a message is on its way: those
// that arrive meanwhile share the next one.
func (s *StreamOrigins) sendNext(address string) {
	q := s.queues[address]
	if q.isSending || len(q.origins) == 0 {
		return
	}
	n := min(len(q.origins), maxOriginBatch)
	batch := q.origins[:n:n]
	started := s.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), originCallTimeout)
		defer cancel()
		err := s.peers.SendOrigins(ctx, address, originsOf(batch))
		s.sent.TryPut(originBatchEnd{address: address, batch: batch, err: err})
	})
	if started {
		q.isSending, q.origins = true, q.origins[n:]
	}
}

func originsOf(batch []queuedOrigin) []StreamOrigin {
	origins := make([]StreamOrigin, len(batch))
	for i := range batch {
		origins[i] = batch[i].origin
	}
	return origins
}

// handleSent sends the origins of a failed message to the next holder of each. The ranks
// of the replicas of one origin stay distinct. If no holder is left, this daemon is one.
func (s *StreamOrigins) handleSent(e originBatchEnd) {
	s.queues[e.address].isSending = false
	if e.err != nil {
		for _, o := range e.batch {
			o.rank += originReplicas
			holders := s.peers.Holders(o.origin.Stream)
			if o.rank < min(maxOriginHolders, len(holders)) {
				s.enqueue(holders[o.rank], o)
			} else {
				s.holdReplica(o.origin)
			}
		}
	}
	s.sendNext(e.address)
}

// handleListed starts what waited for the list of daemons.
func (s *StreamOrigins) handleListed() {
	if !s.isListed {
		s.isListed = true
		for _, h := range s.held {
			s.setHolders(h)
		}
		for _, address := range s.peers.Addresses() {
			s.pull(address, 1)
		}
	}
	unsent, deferred := s.unsent, s.deferred
	s.unsent, s.deferred = nil, nil
	for _, o := range unsent {
		s.replicate(s.hold(o))
	}
	for _, q := range deferred {
		s.handleLookup(q)
	}
}

// pull asks another daemon for the origins that this daemon should hold. A daemon that
// has just started has lost them.
func (s *StreamOrigins) pull(address string, attempt int) {
	started := s.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), originCallTimeout)
		defer cancel()
		origins, err := s.peers.PullOrigins(ctx, address)
		s.pulled.TryPut(originPullEnd{address: address, attempt: attempt, origins: origins, err: err})
	})
	if !started {
		s.pullLater(address, attempt)
	}
}

func (s *StreamOrigins) pullLater(address string, attempt int) {
	if attempt < originPullAttempts {
		s.loop.After(originRetryDelay, func() { s.pull(address, attempt+1) })
	}
}

func (s *StreamOrigins) handlePulled(e originPullEnd) {
	if e.err != nil {
		s.pullLater(e.address, e.attempt)
		return
	}
	s.handleReceived(e.origins)
}

// replicasOf returns the newest origins that the daemon at the address should hold.
func (s *StreamOrigins) replicasOf(address string) []StreamOrigin {
	var origins []StreamOrigin
	for i := len(s.byAge) - 1; i >= 0 && len(origins) < maxPulledOrigins; i-- {
		if h := s.held[s.byAge[i].stream]; slices.Contains(h.holders[:], address) {
			origins = append(origins, h.origin)
		}
	}
	return origins
}
