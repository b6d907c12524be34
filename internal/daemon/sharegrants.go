package daemon

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// applyGrants applies a response of the owner. The validity of grants starts
// when the demand was sent, so that a delayed response does not make them
// valid for longer than the owner reserves them.
func (s *Shares) applyGrants(from Identity, m ShareGrants) {
	if m.Fence < s.fence || from.DataCentre != s.self.DataCentre {
		return
	}
	s.fence = m.Fence
	s.owner = from.ID()
	s.applyAllocation(m)
	hasNewBases := s.applyBases(m.Bases)
	sentAt, known := s.demandSentAt[m.Sequence]
	if until := sentAt.Add(s.baseValidity); known && m.BaseConfirmed && until.After(s.baseValidUntil) {
		s.baseValidUntil = until
	}
	if known && m.Sequence > s.appliedSequence && m.BasesDigest == s.basesDigest {
		s.appliedSequence = m.Sequence
		clear(s.grants)
		for _, g := range m.Grants {
			if int(g.Index) < len(s.limitTable) {
				s.grants[s.limitTable[g.Index]] = grant{units: g.Units, validUntil: sentAt.Add(GrantValidity)}
			}
		}
	}
	s.publishChanges()
	if hasNewBases {
		s.sendDemand(s.clock.Now())
	}
}

// applyBases applies the owner's list of bases and reports whether the list
// has changed. Bases that an owner does not list yet are kept, since they
// never change.
func (s *Shares) applyBases(bases []ShareAmount) bool {
	if len(bases) == 0 {
		return false
	}
	before := s.basesDigest
	s.basesDigest = 0
	s.limitTable = make([]ShareKey, 0, len(bases))
	s.limitIndexes = make(map[ShareKey]uint32, len(bases))
	for i, b := range bases {
		s.bases[b.Key] = b.Units
		s.basesDigest ^= amountDigest(b)
		s.limitTable = append(s.limitTable, b.Key)
		s.limitIndexes[b.Key] = uint32(i)
	}
	return s.basesDigest != before
}

// applyAllocation applies this daemon's part of the bases. Within one
// allocation version the part only decreases, because the owner has assigned
// to others what this daemon confirmed not to use.
func (s *Shares) applyAllocation(m ShareGrants) {
	switch {
	case m.AllocationVersion > s.allocationVersion:
		s.allocationVersion = m.AllocationVersion
		s.baseUnits = m.BaseUnits
	case m.AllocationVersion == s.allocationVersion:
		s.baseUnits = min(s.baseUnits, m.BaseUnits)
	}
}

// publishChanges calls the listener for each limit whose amount has changed.
func (s *Shares) publishChanges() {
	now := s.clock.Now()
	for key, limit := range s.limits {
		next := publishedShare{base: amountOf(limit, s.baseOf(key))}
		g, granted := s.grants[key]
		if granted && now.Before(g.validUntil) {
			next.amount = amountOf(limit, s.baseOf(key)+g.units)
			next.until = g.validUntil
		}
		last, known := s.published[key]
		if known && last == next {
			continue
		}
		s.published[key] = next
		if !known || last.base != next.base || next.until.IsZero() {
			s.listener(key.Customer, key.Limit, next.base, time.Time{})
		}
		if !next.until.IsZero() {
			s.listener(key.Customer, key.Limit, next.amount, next.until)
		}
	}
	for key := range s.published {
		if _, known := s.limits[key]; !known {
			delete(s.published, key)
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
