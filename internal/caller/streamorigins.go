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
	// originLookupTimeout bounds a lookup. Callers leave after two seconds without an event.
	originLookupTimeout = 1500 * time.Millisecond
	// maxOriginBatch bounds the origins of one message, and maxQueuedOrigins those that
	// wait for one daemon.
	maxOriginBatch   = 512
	maxQueuedOrigins = 4096
	// originTTL is longer than a stream lasts.
	originTTL = 5 * time.Minute
	// maxDeferredLookups bounds the lookups that wait for the list of daemons.
	maxDeferredLookups = 4096
	// holderRestartDelay is the Retry-After of a stream whose holders did not all answer:
	// a daemon that starts again has its origins back within about this time.
	holderRestartDelay = time.Second
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
	// Addresses returns the addresses of all other daemons. It must not block.
	Addresses() []string
	// PullOrigins returns the origins of the daemon at the address that this daemon should
	// hold as well. It blocks.
	PullOrigins(ctx context.Context, address string) ([]StreamOrigin, error)
	// SendOrigins makes the daemon at the address hold the origins. It blocks.
	SendOrigins(ctx context.Context, address string, origins []StreamOrigin) error
	// FindOrigin returns the origin if the daemon at the address holds it. It blocks.
	FindOrigin(ctx context.Context, address string, stream core.RequestID) (o StreamOrigin, found bool, err error)
}

// heldOrigin is an origin that this daemon knows.
type heldOrigin struct {
	origin StreamOrigin
	// isReplica means that this daemon is one of the holders of the origin and saves it.
	isReplica bool
	// holders are the first of the daemons that are responsible for the stream, as they
	// were when the origin came; empty where there are fewer.
	holders [originPullRanks]string
}

// originExpiry is the time at which the origin of a stream is removed.
type originExpiry struct {
	stream core.RequestID
	at     time.Time
}

// OriginLookup is the outcome of a lookup.
type OriginLookup struct {
	Origin  StreamOrigin
	IsKnown bool
	// Asked is the number of daemons that were asked, and Failed the number of those that
	// did not answer or whose saved origins could not be read.
	Asked, Failed int
}

// originSearch is a lookup that asks other daemons.
type originSearch struct {
	query   duty.Query[core.RequestID, OriginLookup]
	waiting int // answers and saved origins that have not arrived
	outcome OriginLookup
}

// originAnswer is the answer of another daemon to a lookup.
type originAnswer struct {
	search *originSearch
	lookup OriginLookup
	err    error
}

// StreamOrigins is the duty that remembers which software version began the stream of a
// caller. The caller may take the stream up again at any daemon, after any number of
// daemons were lost. So each origin is sent to originReplicas other daemons, its holders,
// chosen by rendezvous hashing, when its first event arrives. A holder saves its origins
// in the store. A daemon that starts again reads what it had saved and asks the others for
// what it should hold; a daemon that learns an origin later sends it to its holders again.
// A lookup asks the daemons that come first for the stream, then reads what they saved.
//
// An origin that is found is right: it is only ever copied from the daemon that received
// the first event, never derived. One that nobody has may have been lost.
type StreamOrigins struct {
	loop  *duty.Loop
	self  string
	peers OriginPeers
	store OriginStore
	tryGo func(func()) bool // runs a blocking function on a pool

	held     map[core.RequestID]*heldOrigin
	byAge    []originExpiry // of all held origins, oldest first
	queues   map[string]*originQueue
	isListed bool // the list of the other daemons is known
	// unsent are origins whose holders are not known yet, and deferred the lookups that
	// came before the list of daemons.
	unsent   []StreamOrigin
	deferred []duty.Query[core.RequestID, OriginLookup]
	saves    originSaves
	reads    map[string]*originRead

	recorded *ring.Ring[StreamOrigin]
	received *ring.Ring[[]StreamOrigin]
	sent     *ring.Ring[originBatchEnd]
	pulled   *ring.Ring[originPullEnd]
	listed   *ring.Ring[struct{}]
	answers  *ring.Ring[originAnswer]
	saved    *ring.Ring[originSaveEnd]
	loaded   *ring.Ring[originLoadEnd]
	lookups  *duty.QueryRing[core.RequestID, OriginLookup]
	peerAsks *duty.QueryRing[core.RequestID, OriginLookup]
	pulls    *duty.QueryRing[string, []StreamOrigin]
}

// StreamOriginOptions are what the duty needs.
type StreamOriginOptions struct {
	Clock duty.Clock
	Self  string // address of this daemon, as the others know it
	Peers OriginPeers
	Store OriginStore
	TryGo func(func()) bool // runs a blocking function on a pool
}

// NewStreamOrigins returns the duty.
func NewStreamOrigins(o StreamOriginOptions) *StreamOrigins {
	s := &StreamOrigins{
		loop: duty.New("origins", o.Clock), self: o.Self, peers: o.Peers, store: o.Store, tryGo: o.TryGo,
		held: map[core.RequestID]*heldOrigin{}, queues: map[string]*originQueue{}, reads: map[string]*originRead{},
		recorded: ring.New[StreamOrigin]("origins.recorded", originRingCapacity),
		received: ring.New[[]StreamOrigin]("origins.received", originRingCapacity),
		sent:     ring.New[originBatchEnd]("origins.sent", originRingCapacity),
		pulled:   ring.New[originPullEnd]("origins.pulled", originRingCapacity),
		listed:   ring.New[struct{}]("origins.listed", 1),
		answers:  ring.New[originAnswer]("origins.answers", originRingCapacity),
		saved:    ring.New[originSaveEnd]("origins.saved", 1),
		loaded:   ring.New[originLoadEnd]("origins.loaded", originRingCapacity),
		lookups:  duty.NewQueryRing[core.RequestID, OriginLookup]("origins.lookups", originRingCapacity),
		peerAsks: duty.NewQueryRing[core.RequestID, OriginLookup]("origins.peers", originRingCapacity),
		pulls:    duty.NewQueryRing[string, []StreamOrigin]("origins.pulls", originRingCapacity),
	}
	duty.On(s.loop, s.recorded, s.handleRecorded)
	duty.On(s.loop, s.received, s.handleReceived)
	duty.On(s.loop, s.sent, s.handleSent)
	duty.On(s.loop, s.pulled, s.handlePulled)
	duty.On(s.loop, s.listed, func(struct{}) { s.handleListed() })
	duty.On(s.loop, s.answers, s.handleAnswer)
	duty.On(s.loop, s.saved, s.handleSaved)
	duty.On(s.loop, s.loaded, s.handleLoaded)
	duty.OnQuery(s.loop, s.lookups, s.handleLookup)
	duty.OnQuery(s.loop, s.peerAsks, func(q duty.Query[core.RequestID, OriginLookup]) { q.Reply(s.find(q.Params)) })
	duty.OnQuery(s.loop, s.pulls, func(q duty.Query[string, []StreamOrigin]) { q.Reply(s.replicasOf(q.Params)) })
	s.loop.Every(originPrunePeriod, s.prune)
	s.loadOwn()
	return s
}

// Loop returns the duty's loop.
func (s *StreamOrigins) Loop() *duty.Loop { return s.loop }

// Record holds the origin of a stream of this daemon and sends it to other daemons. It
// never blocks; if the ring is full, the stream cannot be taken up again.
func (s *StreamOrigins) Record(o StreamOrigin) { s.recorded.TryPut(o) }

// Receive holds origins from another daemon. It never blocks.
func (s *StreamOrigins) Receive(origins []StreamOrigin) { s.received.TryPut(origins) }

// Find looks the origin of a stream up: here, at other daemons and in what they saved. It
// blocks for originLookupTimeout at most; duties must not call it.
func (s *StreamOrigins) Find(ctx context.Context, stream core.RequestID) (OriginLookup, error) {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	return s.lookups.Do(ctx, stream)
}

// FindHeld looks the origin of a stream up for another daemon, here only. It blocks until
// the duty replies; duties must not call it.
func (s *StreamOrigins) FindHeld(ctx context.Context, stream core.RequestID) (OriginLookup, error) {
	return s.peerAsks.Do(ctx, stream)
}

// ReportDaemons tells the duty that the list of daemons is known or has changed. It never
// blocks.
func (s *StreamOrigins) ReportDaemons() { s.listed.TryPut(struct{}{}) }

// FindReplicas returns the origins that the daemon at the address should hold, from those
// of this daemon. It blocks until the duty replies; duties must not call it.
func (s *StreamOrigins) FindReplicas(ctx context.Context, address string) ([]StreamOrigin, error) {
	return s.pulls.Do(ctx, address)
}

func (s *StreamOrigins) find(stream core.RequestID) OriginLookup {
	if h := s.held[stream]; h != nil {
		return OriginLookup{Origin: h.origin, IsKnown: true}
	}
	return OriginLookup{}
}

// hold keeps the origin. A stream that is known already keeps its first origin.
func (s *StreamOrigins) hold(o StreamOrigin) *heldOrigin {
	if h := s.held[o.Stream]; h != nil {
		return h
	}
	h := &heldOrigin{origin: o}
	s.setHolders(h)
	s.held[o.Stream] = h
	s.byAge = append(s.byAge, originExpiry{stream: o.Stream, at: s.loop.Clock().Now().Add(originTTL)})
	if len(s.byAge) > maxHeldOrigins {
		s.removeOldest()
	}
	return h
}

func (s *StreamOrigins) setHolders(h *heldOrigin) {
	h.holders = [originPullRanks]string{}
	copy(h.holders[:], s.peers.Holders(h.origin.Stream))
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
	for address, r := range s.reads {
		if !r.isActive && now.Sub(r.at) >= originTTL {
			delete(s.reads, address)
		}
	}
}

func (s *StreamOrigins) handleRecorded(o StreamOrigin) {
	s.replicate(s.hold(o))
}

func (s *StreamOrigins) handleLookup(q duty.Query[core.RequestID, OriginLookup]) {
	if lookup := s.find(q.Params); lookup.IsKnown {
		q.Reply(lookup)
		return
	}
	if !s.isListed && len(s.deferred) < maxDeferredLookups {
		s.deferred = append(s.deferred, q)
		return
	}
	holders := s.peers.Holders(q.Params)
	search := &originSearch{query: q}
	for _, address := range holders[:min(originLookupFanout, len(holders))] {
		search.outcome.Asked++
		if s.ask(address, search) {
			search.waiting++
		} else {
			search.outcome.Failed++
		}
	}
	if search.waiting == 0 {
		s.readSaved(search)
	}
}

// ask asks another daemon and reports whether it will be asked.
func (s *StreamOrigins) ask(address string, search *originSearch) bool {
	return s.tryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), originCallTimeout)
		defer cancel()
		o, found, err := s.peers.FindOrigin(ctx, address, search.query.Params)
		s.answers.TryPut(originAnswer{search: search, lookup: OriginLookup{Origin: o, IsKnown: found && err == nil}, err: err})
	})
}

// handleAnswer replies with the first origin that a daemon knows. If none of them knows
// it, what they saved is read. Further replies have no effect.
func (s *StreamOrigins) handleAnswer(a originAnswer) {
	a.search.waiting--
	if a.err != nil {
		a.search.outcome.Failed++
	}
	if a.lookup.IsKnown {
		s.learn(a.search, a.lookup.Origin)
		return
	}
	if a.search.waiting == 0 && !a.search.outcome.IsKnown {
		s.readSaved(a.search)
	}
}

// learn replies to the search with an origin that was found elsewhere. Its holders get it
// again, since one that was asked first may have lost it.
func (s *StreamOrigins) learn(search *originSearch, o StreamOrigin) {
	if search.outcome.IsKnown {
		return
	}
	h := s.hold(o)
	search.outcome.Origin, search.outcome.IsKnown = h.origin, true
	search.query.Reply(search.outcome)
	s.replicate(h)
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
		refusal := core.NotRunError(core.CodeNotContinued, "the origin of stream %s could not be looked up: %v", stream, err)
		refusal.RetryAfter = holderRestartDelay
		return "", progress, refusal
	case !lookup.IsKnown:
		refusal := core.NotRunError(core.CodeNotContinued, "the origin of stream %s is not known (%d daemons asked, %d answers or saved lists missing)", stream, lookup.Asked, lookup.Failed)
		if lookup.Failed > 0 {
			refusal.RetryAfter = holderRestartDelay
		}
		return "", progress, refusal
	case !route.leadsTo(lookup.Origin.Service):
		return "", progress, core.NotRunError(core.CodeNotContinued, "route %s does not lead to service %q of the stream any more", route.Name, lookup.Origin.Service)
	}
	return lookup.Origin.Service, progress.Append(lookup.Origin.Software, lastEvent), nil
}
