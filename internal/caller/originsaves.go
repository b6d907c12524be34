package caller

import (
	"slices"
	"time"
)

const (
	// minOriginSavePeriod is the shortest time between two writes of a daemon's origins,
	// and originSaveRate limits the bytes of large ones.
	minOriginSavePeriod = time.Second
	originSaveRate      = 32 << 10 // bytes a second
	// savedOriginBytes is about the size of a saved origin.
	savedOriginBytes = 24
	// maxSavedOrigins bounds the value in the store: the newest are saved.
	maxSavedOrigins = 16384
	// savedOriginRanks is the number of daemons whose saved origins are read for a stream.
	// Each replica moves on by originReplicas places when a holder does not answer.
	savedOriginRanks = 2 * originReplicas
	// originReadPeriod is the shortest time between two reads of what one daemon saved.
	originReadPeriod = time.Second
)

// SavedOrigins are the origins that a daemon has saved in the store.
type SavedOrigins struct {
	Version int64 // of the object; 0 if there is none
	Origins []StreamOrigin
}

// OriginStore keeps the origins that the daemons hold, so that they outlive the daemons'
// memory. Its methods must not block. reply is called once, on any goroutine, and must
// not block.
type OriginStore interface {
	// LoadOrigins reads what the daemon at the address has saved.
	LoadOrigins(address string, reply func(SavedOrigins, error))
	// SaveOrigins replaces what this daemon has saved if it still has the version.
	SaveOrigins(saved SavedOrigins, reply func(version int64, err error))
}

// originSaves is the state of this daemon's own object in the store.
type originSaves struct {
	version     int64
	isLoaded    bool // version and content of the object are known
	isUnsaved   bool // an origin is held that the object lacks
	isSaving    bool
	isScheduled bool
}

// originRead is the newest read of what a daemon saved.
type originRead struct {
	at       time.Time
	searches []*originSearch // wait for the read; nil once it has ended
	isActive bool
}

// originSaveEnd is the outcome of a write.
type originSaveEnd struct {
	version int64
	err     error
}

// originLoadEnd is the outcome of a read.
type originLoadEnd struct {
	address string
	saved   SavedOrigins
	err     error
}

// loadOwn reads what an earlier run of this daemon has saved.
func (s *StreamOrigins) loadOwn() { s.load(s.self) }

// load starts a read of what the daemon at the address has saved.
func (s *StreamOrigins) load(address string) *originRead {
	r := &originRead{at: s.loop.Clock().Now(), isActive: true}
	s.reads[address] = r
	s.store.LoadOrigins(address, func(saved SavedOrigins, err error) {
		s.loaded.TryPut(originLoadEnd{address: address, saved: saved, err: err})
	})
	return r
}

func (s *StreamOrigins) handleLoaded(e originLoadEnd) {
	for _, o := range e.saved.Origins {
		s.hold(o)
	}
	if e.address == s.self {
		s.handleOwnLoaded(e)
	}
	s.endRead(s.reads[e.address], e.err)
}

func (s *StreamOrigins) handleOwnLoaded(e originLoadEnd) {
	if e.err != nil {
		s.loop.After(originRetryDelay, s.loadOwn)
		return
	}
	s.saves.version, s.saves.isLoaded = e.saved.Version, true
	for _, o := range e.saved.Origins {
		if h := s.held[o.Stream]; h != nil {
			h.isReplica = true
		}
	}
	s.scheduleSave()
}

// markUnsaved records that the object in the store lacks an origin.
func (s *StreamOrigins) markUnsaved() {
	s.saves.isUnsaved = true
	s.scheduleSave()
}

// scheduleSave arranges the next write. All origins that arrive until then share it.
func (s *StreamOrigins) scheduleSave() {
	w := &s.saves
	if !w.isUnsaved || !w.isLoaded || w.isSaving || w.isScheduled {
		return
	}
	w.isScheduled = true
	bytes := savedOriginBytes * min(len(s.held), maxSavedOrigins)
	delay := max(minOriginSavePeriod, time.Duration(bytes)*time.Second/originSaveRate)
	s.loop.After(delay, s.save)
}

func (s *StreamOrigins) save() {
	w := &s.saves
	w.isScheduled = false
	if !w.isLoaded || w.isSaving {
		return
	}
	w.isSaving, w.isUnsaved = true, false
	s.store.SaveOrigins(SavedOrigins{Version: w.version, Origins: s.newestReplicas()}, func(version int64, err error) {
		s.saved.TryPut(originSaveEnd{version: version, err: err})
	})
}

// newestReplicas returns the origins to save, oldest first.
func (s *StreamOrigins) newestReplicas() []StreamOrigin {
	var origins []StreamOrigin
	for i := len(s.byAge) - 1; i >= 0 && len(origins) < maxSavedOrigins; i-- {
		if h := s.held[s.byAge[i].stream]; h.isReplica {
			origins = append(origins, h.origin)
		}
	}
	slices.Reverse(origins)
	return origins
}

// handleSaved handles the end of a write. After a failure the object is read again: the
// write may have been executed, or one of an earlier run may have been.
func (s *StreamOrigins) handleSaved(e originSaveEnd) {
	s.saves.isSaving = false
	if e.err != nil {
		s.saves.isUnsaved, s.saves.isLoaded = true, false
		s.loop.After(originRetryDelay, s.loadOwn)
		return
	}
	s.saves.version = e.version
	s.scheduleSave()
}

// readSaved continues a search that found nothing at other daemons: it reads what the
// first of them saved, and what this daemon saved if that is not known yet.
func (s *StreamOrigins) readSaved(search *originSearch) {
	holders := s.peers.Holders(search.query.Params)
	for _, address := range holders[:min(savedOriginRanks, len(holders))] {
		if r := s.recentRead(address); r.isActive {
			r.add(search)
		}
	}
	if !s.saves.isLoaded {
		// Between two attempts there is nothing to wait for.
		if r := s.reads[s.self]; r != nil && r.isActive {
			r.add(search)
		} else {
			search.outcome.Failed++
		}
	}
	if search.waiting == 0 {
		search.query.Reply(search.outcome)
	}
}

// recentRead returns the newest read of what the daemon saved, and starts one if that is too
// old.
func (s *StreamOrigins) recentRead(address string) *originRead {
	r := s.reads[address]
	if r == nil || (!r.isActive && s.loop.Clock().Now().Sub(r.at) >= originReadPeriod) {
		r = s.load(address)
	}
	return r
}

// add makes the search wait for the read.
func (r *originRead) add(search *originSearch) {
	search.waiting++
	r.searches = append(r.searches, search)
}

// endRead continues the searches that waited for the read. After a failure the next search
// reads again at once.
func (s *StreamOrigins) endRead(r *originRead, err error) {
	searches := r.searches
	r.searches, r.isActive = nil, false
	if err != nil {
		r.at = time.Time{}
	}
	for _, search := range searches {
		search.waiting--
		if err != nil {
			search.outcome.Failed++
		}
		if lookup := s.find(search.query.Params); lookup.IsKnown {
			s.learn(search, lookup.Origin)
		} else if search.waiting == 0 {
			search.query.Reply(search.outcome)
		}
	}
}
