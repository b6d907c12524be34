package daemon

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// applyGrants takes an answer of the owner. The grants count from when they
// were asked for, so that no delay on the way makes them count longer than the
// owner reserves them.
func (s *Shares) applyGrants(from Identity, m ShareGrants) {
	if m.Fence < s.fence || from.DataCentre != s.self.DataCentre {
		return
	}
	s.fence = m.Fence
	s.owner = from.ID()
	s.applyRoster(m)
	renewed := s.applyBases(m.Bases)
	sentAt, known := s.sent[m.Sequence]
	if until := sentAt.Add(s.baseValidity); known && m.BaseConfirmed && until.After(s.baseUntil) {
		s.baseUntil = until
	}
	if known && m.Sequence > s.applied && m.BasesDigest == s.basesDigest {
		s.applied = m.Sequence
		clear(s.grants)
		for _, g := range m.Grants {
			if int(g.Index) < len(s.table) {
				s.grants[s.table[g.Index]] = grant{units: g.Units, validUntil: sentAt.Add(GrantValidity)}
			}
		}
	}
	s.tell()
	if renewed {
		s.demand(s.clock.Now())
	}
}

// applyBases takes the owner's list of bases and reports whether it is another
// one. Bases that an owner does not list yet are kept, since they never change.
func (s *Shares) applyBases(bases []ShareAmount) bool {
	if len(bases) == 0 {
		return false
	}
	before := s.basesDigest
	s.basesDigest = 0
	s.table = make([]ShareKey, 0, len(bases))
	s.indexes = make(map[ShareKey]uint32, len(bases))
	for i, b := range bases {
		s.bases[b.Key] = b.Units
		s.basesDigest ^= amountDigest(b)
		s.table = append(s.table, b.Key)
		s.indexes[b.Key] = uint32(i)
	}
	return s.basesDigest != before
}

// applyRoster takes this daemon's part of the bases. Within one roster version
// it only falls: the owner has given away what a daemon confirmed to have left.
func (s *Shares) applyRoster(m ShareGrants) {
	switch {
	case m.AllocationVersion > s.rosterVersion:
		s.rosterVersion = m.AllocationVersion
		s.baseUnits = m.BaseUnits
	case m.AllocationVersion == s.rosterVersion:
		s.baseUnits = min(s.baseUnits, m.BaseUnits)
	}
}

// tell calls the listener for each limit whose amount has changed.
func (s *Shares) tell() {
	now := s.clock.Now()
	for key, limit := range s.limits {
		next := told{base: amountOf(limit, s.base(key))}
		g, granted := s.grants[key]
		if granted && now.Before(g.validUntil) {
			next.amount = amountOf(limit, s.base(key)+g.units)
			next.until = g.validUntil
		}
		last, known := s.told[key]
		if known && last == next {
			continue
		}
		s.told[key] = next
		if !known || last.base != next.base || next.until.IsZero() {
			s.listener(key.Customer, key.Limit, next.base, time.Time{})
		}
		if !next.until.IsZero() {
			s.listener(key.Customer, key.Limit, next.amount, next.until)
		}
	}
	for key := range s.told {
		if _, known := s.limits[key]; !known {
			delete(s.told, key)
		}
	}
}

func amountOf(limit float64, units int64) float64 {
	return limit * float64(units) / float64(ShareUnits)
}

func sortAmounts(amounts []ShareAmount) {
	sort.Slice(amounts, func(i, j int) bool { return lessKey(amounts[i].Key, amounts[j].Key) })
}

func lessKey(a, b ShareKey) bool {
	return a.Customer < b.Customer || (a.Customer == b.Customer && a.Limit < b.Limit)
}

func amountDigest(a ShareAmount) uint64 {
	key := []byte(string(a.Key.Customer) + "\x00" + string(a.Key.Limit))
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(key, uint64(a.Units)))
}
