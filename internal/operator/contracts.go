// Package operator holds the decisions about operators' requests: contract
// files and their checks, conflicts, status and the burn report. The wire
// encoding is in operatorhttp.
package operator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
)

// Store is what the operator package needs of the store duty.
type Store interface {
	Do(ctx context.Context, op platform.Op) platform.Result
}

// Contracts reads and writes contracts in the object API.
type Contracts struct {
	store Store
}

// NewContracts returns access to the contracts in the store.
func NewContracts(s Store) *Contracts { return &Contracts{store: s} }

// Apply writes the contract if the stored version is still the expected one.
// platform.AnyVersion drops that condition.
func (c *Contracts) Apply(ctx context.Context, contract *core.Contract, ifVersion int64) (core.StoredContract, error) {
	value, err := json.Marshal(contract)
	if err != nil {
		return core.StoredContract{}, err
	}
	r := c.store.Do(ctx, platform.Op{
		Kind:      platform.OpPut,
		Key:       daemon.ContractPrefix + string(contract.Customer),
		Value:     value,
		IfVersion: ifVersion,
	})
	if r.Err != nil {
		return core.StoredContract{}, storeError(r.Err)
	}
	return daemon.DecodeContract(r.Object)
}

func storeError(err error) *core.Error {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return &core.Error{Code: core.CodeConflict, Verdict: core.NotRun, Reason: "the contract was changed by someone else", Err: err}
	case errors.Is(err, platform.ErrNotFound):
		return &core.Error{Code: core.CodeNotFound, Verdict: core.NotRun, Reason: "no such contract", Err: err}
	case errors.Is(err, platform.ErrUnknownOutcome):
		return &core.Error{Code: core.CodeUnavailable, Verdict: core.MayHaveRun, Reason: "the store did not answer; the change may have taken effect", Err: err}
	default:
		return &core.Error{Code: core.CodeUnavailable, Verdict: core.NotRun, Reason: "the store cannot be reached; nothing changed", Err: err}
	}
}
