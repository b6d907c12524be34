package daemonrpc

import (
	"fmt"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
)

func demandToWire(m daemon.ShareDemand) *ShareDemand {
	w := &ShareDemand{Sequence: m.Sequence, RosterVersion: m.AllocationVersion, BaseUnits: m.BaseUnits, BasesDigest: m.BasesDigest}
	w.WantIndexes, w.WantUnits = indexedToWire(m.Requested)
	return w
}

func demandFromWire(w *ShareDemand) (daemon.ShareDemand, error) {
	requested, err := indexedFromWire(w.WantIndexes, w.WantUnits)
	return daemon.ShareDemand{
		Sequence: w.Sequence, AllocationVersion: w.RosterVersion, BaseUnits: w.BaseUnits,
		BasesDigest: w.BasesDigest, Requested: requested,
	}, err
}

func grantsToWire(m daemon.ShareGrants) *ShareGrants {
	w := &ShareGrants{
		Sequence: m.Sequence, Fence: m.Fence, RosterVersion: m.AllocationVersion, BaseUnits: m.BaseUnits,
		Bases: amountsToWire(m.Bases), BaseConfirmed: m.BaseConfirmed, BasesDigest: m.BasesDigest,
	}
	w.GrantIndexes, w.GrantUnits = indexedToWire(m.Grants)
	return w
}

func grantsFromWire(w *ShareGrants) (daemon.ShareGrants, error) {
	grants, err := indexedFromWire(w.GrantIndexes, w.GrantUnits)
	return daemon.ShareGrants{
		Sequence: w.Sequence, Fence: w.Fence, AllocationVersion: w.RosterVersion, BaseUnits: w.BaseUnits,
		Bases: amountsFromWire(w.Bases), BaseConfirmed: w.BaseConfirmed, BasesDigest: w.BasesDigest, Grants: grants,
	}, err
}

func indexedToWire(amounts []daemon.IndexedAmount) (indexes []uint32, units []int64) {
	for _, a := range amounts {
		indexes = append(indexes, a.Index)
		units = append(units, a.Units)
	}
	return indexes, units
}

func indexedFromWire(indexes []uint32, units []int64) ([]daemon.IndexedAmount, error) {
	if len(indexes) != len(units) {
		return nil, fmt.Errorf("%w: %d indexes of limits have %d amounts", ErrMalformed, len(indexes), len(units))
	}
	var amounts []daemon.IndexedAmount
	for i, index := range indexes {
		amounts = append(amounts, daemon.IndexedAmount{Index: index, Units: units[i]})
	}
	return amounts, nil
}

func amountsToWire(amounts []daemon.ShareAmount) []*ShareAmount {
	w := make([]*ShareAmount, 0, len(amounts))
	for _, a := range amounts {
		w = append(w, &ShareAmount{Customer: string(a.Key.Customer), Limit: limitToWire(a.Key.Limit), Units: a.Units})
	}
	return w
}

func amountsFromWire(w []*ShareAmount) []daemon.ShareAmount {
	var amounts []daemon.ShareAmount
	for _, a := range w {
		key := daemon.ShareKey{Customer: core.CustomerID(a.Customer), Limit: limitFromWire(a.Limit)}
		amounts = append(amounts, daemon.ShareAmount{Key: key, Units: a.Units})
	}
	return amounts
}

func limitToWire(l daemon.Limit) Limit {
	switch l {
	case daemon.LimitRequests:
		return Limit_LIMIT_REQUESTS
	case daemon.LimitTokens:
		return Limit_LIMIT_TOKENS
	case daemon.LimitConcurrency:
		return Limit_LIMIT_CONCURRENCY
	}
	return Limit_LIMIT_UNSPECIFIED
}

func limitFromWire(l Limit) daemon.Limit {
	switch l {
	case Limit_LIMIT_REQUESTS:
		return daemon.LimitRequests
	case Limit_LIMIT_TOKENS:
		return daemon.LimitTokens
	case Limit_LIMIT_CONCURRENCY:
		return daemon.LimitConcurrency
	}
	return ""
}
