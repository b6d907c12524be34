package caller

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	originRingCapacity = 4096
	// originReplicas is the number of other daemons that hold each origin.
	originReplicas = 2
	// maxOriginHolders is the number of daemons to which an origin is sent before one
	// replica is given up.
	maxOriginHolders = 3 * originReplicas
	// originLookupFanout is the number of other daemons that are asked for an origin. It
	// exceeds originReplicas, since replicas move on when a daemon does not answer.
	originLookupFanout = 8
	// originCallTimeout bounds one message to another daemon. Callers wait for a lookup.
	originCallTimeout = 500 * time.Millisecond
	// maxOriginBatch bounds the origins of one message, and maxQueuedOrigins those that
	// wait for one daemon.
	maxOriginBatch   = 512
	maxQueuedOrigins = 4096
	// originTTL is longer than a stream lasts.
	originTTL = 5 * time.Minute
	// maxHeldOrigins bounds the memory.
	maxHeldOrigins    = 65536
	originPrunePeriod = 5 * time.Second
)

// StreamOrigin says which servers began a caller's stream. It never changes.
type StreamOrigin struct {
	Stream   core.RequestID // request that brought the first event
	Service  string
	Software core.SoftwareVersion
}

// OriginPeers are the other daemons, which hold the origins together.
type OriginPeers interface {
	// Holders returns the addresses of all other daemons in the order in which they are
	// responsible for the stream. All daemons compute the same order. It must not block.
	Holders(stream core.RequestID) []string
	// SendOrigins makes the daemon at the address hold the origins. It blocks.
	SendOrigins(ctx context.Context, address string, origins []StreamOrigin) error
	// FindOrigin returns the origin if the daemon at the address holds it. It blocks.
	FindOrigin(ctx context.Context, address string, stream core.RequestID) (o StreamOrigin, found bool, err error)
}

// originExpiry is the time at which the origin of a stream is removed.
type originExpiry struct {
	stream core.RequestID
	at     time.Time
}

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

// OriginLookup is the outcome of a lookup.
type OriginLookup struct {
	Origin  StreamOrigin
	IsKnown bool
}

// originSearch is a lookup that asks other daemons.
type originSearch struct {
	query   duty.Query[core.RequestID, OriginLookup]
	waiting int // daemons that have not answered
}

// originAnswer is the answer of another daemon to a lookup.
type originAnswer struct {
	search *originSearch
	lookup OriginLookup
}

// StreamOrigins is the duty that remembers which software version began the stream of a
// caller. The caller may take the stream up again at any daemon, so each origin is sent
// to originReplicas other daemons, chosen by rendezvous hashing, when its first event
// arrives. A lookup asks the daemons that come first for the stream.
//
// An origin that is found is right; one that no daemon has may have been lost.
type StreamOrigins struct {
	loop  *duty.Loop
	peers OriginPeers
	tryGo func(func()) bool // runs a blocking function on a pool

	held   map[core.RequestID]StreamOrigin
	byAge  []originExpiry // of all held origins, oldest first
	queues map[string]*originQueue

	recorded *ring.Ring[StreamOrigin]
	received *ring.Ring[[]StreamOrigin]
	sent     *ring.Ring[originBatchEnd]
	answers  *ring.Ring[originAnswer]
	lookups  *duty.QueryRing[core.RequestID, OriginLookup]
	peerAsks *duty.QueryRing[core.RequestID, OriginLookup]
}

// NewStreamOrigins returns the duty. tryGo runs a blocking function on a pool.
func NewStreamOrigins(clock duty.Clock, peers OriginPeers, tryGo func(func()) bool) *StreamOrigins {
	s := &StreamOrigins{
		loop: duty.New("origins", clock), peers: peers, tryGo: tryGo,
		held: map[core.RequestID]StreamOrigin{}, queues: map[string]*originQueue{},
		recorded: ring.New[StreamOrigin]("origins.recorded", originRingCapacity),
		received: ring.New[[]StreamOrigin]("origins.received", originRingCapacity),
		sent:     ring.New[originBatchEnd]("origins.sent", originRingCapacity),
		answers:  ring.New[originAnswer]("origins.answers", originRingCapacity),
		lookups:  duty.NewQueryRing[core.RequestID, OriginLookup]("origins.lookups", originRingCapacity),
		peerAsks: duty.NewQueryRing[core.RequestID, OriginLookup]("origins.peers", originRingCapacity),
	}
	duty.On(s.loop, s.recorded, s.handleRecorded)
	duty.On(s.loop, s.received, s.handleReceived)
	duty.On(s.loop, s.sent, s.handleSent)
	duty.On(s.loop, s.answers, s.handleAnswer)
	duty.OnQuery(s.loop, s.lookups, s.handleLookup)
	duty.OnQuery(s.loop, s.peerAsks, func(q duty.Query[core.RequestID, OriginLookup]) { q.Reply(s.find(q.Params)) })
	s.loop.Every(originPrunePeriod, s.prune)
	return s
}

// Loop returns the duty's loop.
func (s *StreamOrigins) Loop() *duty.Loop { return s.loop }

// Record holds the origin of a stream of this daemon and sends it to other daemons. It
// never blocks; if the ring is full, the stream cannot be taken up again.
func (s *StreamOrigins) Record(o StreamOrigin) { s.recorded.TryPut(o) }

// Receive holds origins from another daemon. It never blocks.
func (s *StreamOrigins) Receive(origins []StreamOrigin) { s.received.TryPut(origins) }

// Find looks the origin of a stream up, here and at other daemons. It blocks for about
// originCallTimeout at most; duties must not call it.
func (s *StreamOrigins) Find(ctx context.Context, stream core.RequestID) (OriginLookup, error) {
	return s.lookups.Do(ctx, stream)
}

// FindHeld looks the origin of a stream up for another daemon, here only. It blocks until
// the duty replies; duties must not call it.
func (s *StreamOrigins) FindHeld(ctx context.Context, stream core.RequestID) (OriginLookup, error) {
	return s.peerAsks.Do(ctx, stream)
}

func (s *StreamOrigins) find(stream core.RequestID) OriginLookup {
	o, ok := s.held[stream]
	return OriginLookup{Origin: o, IsKnown: ok}
}

// hold keeps the origin. A stream that is known already keeps its first origin.
func (s *StreamOrigins) hold(o StreamOrigin) {
	if _, ok := s.held[o.Stream]; ok {
		return
	}
	s.held[o.Stream] = o
	s.byAge = append(s.byAge, originExpiry{stream: o.Stream, at: s.loop.Clock().Now().Add(originTTL)})
	if len(s.byAge) > maxHeldOrigins {
		s.removeOldest()
	}
}

func (s *StreamOrigins) removeOldest() {
	delete(s.held, s.byAge[0].stream)
	s.byAge = s.byAge[1:]
}

func (s *StreamOrigins) prune() {
	now := s.loop.Clock().Now()
	for len(s.byAge) > 0 && !now.Before(s.byAge[0].at) {
		s.removeOldest()
	}
	for address, q := range s.queues {
		if !q.isSending && len(q.origins) == 0 {
			delete(s.queues, address)
			continue
		}
		s.sendNext(address)
	}
}

func (s *StreamOrigins) handleReceived(origins []StreamOrigin) {
	for _, o := range origins {
		s.hold(o)
	}
}

func (s *StreamOrigins) handleRecorded(o StreamOrigin) {
	s.hold(o)
	holders := s.peers.Holders(o.Stream)
	for rank := range min(originReplicas, len(holders)) {
		s.enqueue(holders[rank], queuedOrigin{origin: o, rank: rank})
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
// of the replicas of one origin stay distinct.
func (s *StreamOrigins) handleSent(e originBatchEnd) {
	s.queues[e.address].isSending = false
	if e.err != nil {
		for _, o := range e.batch {
			o.rank += originReplicas
			holders := s.peers.Holders(o.origin.Stream)
			if o.rank < min(maxOriginHolders, len(holders)) {
				s.enqueue(holders[o.rank], o)
			}
		}
	}
	s.sendNext(e.address)
}

func (s *StreamOrigins) handleLookup(q duty.Query[core.RequestID, OriginLookup]) {
	if lookup := s.find(q.Params); lookup.IsKnown {
		q.Reply(lookup)
		return
	}
	holders := s.peers.Holders(q.Params)
	search := &originSearch{query: q}
	for _, address := range holders[:min(originLookupFanout, len(holders))] {
		if s.ask(address, search) {
			search.waiting++
		}
	}
	if search.waiting == 0 {
		q.Reply(OriginLookup{})
	}
}

// ask asks another daemon and reports whether it will be asked.
func (s *StreamOrigins) ask(address string, search *originSearch) bool {
	return s.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), originCallTimeout)
		defer cancel()
		o, found, err := s.peers.FindOrigin(ctx, address, search.query.Params)
		s.answers.TryPut(originAnswer{search: search, lookup: OriginLookup{Origin: o, IsKnown: found && err == nil}})
	})
}

// handleAnswer replies with the first origin that a daemon knows, or that none of them
// knows it. Further replies have no effect.
func (s *StreamOrigins) handleAnswer(a originAnswer) {
	a.search.waiting--
	if a.lookup.IsKnown {
		s.hold(a.lookup.Origin)
	}
	if a.lookup.IsKnown || a.search.waiting == 0 {
		a.search.query.Reply(a.lookup)
	}
}

// Resume returns the service and the progress with which a caller takes its stream up
// again on the route after lastEvent. The error says that the request has not run: the
// software version that began the stream is not known, or the route does not lead to its
// service any more. Another version is never tried, since streams of two versions do not
// fit together.
func (s *StreamOrigins) Resume(ctx context.Context, route *Route, stream core.RequestID, lastEvent int32) (service string, progress core.Progress, refusal *core.Error) {
	if stream == "" {
		return "", progress, core.NotRunError(core.CodeNotContinued, "the request does not name the request that began its stream")
	}
	lookup, err := s.Find(ctx, stream)
	switch {
	case err != nil:
		return "", progress, core.NotRunError(core.CodeNotContinued, "the origin of stream %s could not be looked up: %v", stream, err)
	case !lookup.IsKnown:
		return "", progress, core.NotRunError(core.CodeNotContinued, "the origin of stream %s is not known", stream)
	case !route.leadsTo(lookup.Origin.Service):
		return "", progress, core.NotRunError(core.CodeNotContinued, "route %s does not lead to service %q of the stream any more", route.Name, lookup.Origin.Service)
	}
	return lookup.Origin.Service, progress.Append(lookup.Origin.Software, lastEvent), nil
}
