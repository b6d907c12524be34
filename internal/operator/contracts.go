// Package operator decides about operators' requests: it parses and validates
// contracts, detects conflicting changes, keeps the history of contracts, reports
// the daemon's status and burn rates, and drains the daemon. The wire encoding is
// in operatorhttp.
//
// The "status" duty (Status) owns the burn counters, the records of recent
// requests and the latest state received from other duties. Contracts are state
// of the store: Contracts keeps none of its own, and Gate has only atomic counters.
//
// A change of a contract is conditional on the stored version. A change that fails
// validation is not sent to the store; a failed write is reported as not run only if
// the store's error proves that nothing changed. The history lists only confirmed
// changes, but may lack some.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
)

// Store executes one operation on the object API and waits for its result. It is
// implemented by the store duty.
type Store interface {
	Do(ctx context.Context, op platform.Op) platform.Result
}

// Contracts reads and writes contracts in the object API. It holds no state of its
// own and is safe for concurrent use.
type Contracts struct {
	store Store
	now   func() time.Time
	log   *logrus.Entry
}

// NewContracts returns a Contracts that uses the store; now dates history entries.
func NewContracts(s Store, now func() time.Time, log *logrus.Entry) *Contracts {
	return &Contracts{store: s, now: now, log: log}
}

// ContractChange is a change of a contract that has taken effect, or that would
// take effect if DryRun is set.
type ContractChange struct {
	Stored core.StoredContract
	DryRun bool
	// Warning is set if the change took effect but could not be added to the history.
	Warning string
}

// Apply validates the contract and writes it on condition that the stored version
// is ifVersion. platform.AnyVersion makes the write unconditional.
func (c *Contracts) Apply(ctx context.Context, author string, contract *core.Contract, ifVersion int64) (ContractChange, error) {
	if err := validate(contract); err != nil {
		return ContractChange{}, err
	}
	value, err := json.Marshal(contract)
	if err != nil {
		return ContractChange{}, err
	}
	return c.write(ctx, author, platform.Op{
		Kind: platform.OpPut, Key: contractKey(contract.Customer), Value: value, IfVersion: ifVersion,
	})
}

// DryRun performs the checks of Apply without writing.
func (c *Contracts) DryRun(ctx context.Context, contract *core.Contract, ifVersion int64) (ContractChange, error) {
	if err := validate(contract); err != nil {
		return ContractChange{}, err
	}
	stored, err := c.Get(ctx, contract.Customer)
	if err != nil && core.CodeOf(err) != core.CodeNotFound {
		return ContractChange{}, err
	}
	if ifVersion != platform.AnyVersion && stored.Version != ifVersion {
		return ContractChange{}, newConflictError(stored, ifVersion)
	}
	stored.Customer = contract.Customer
	stored.Contract = contract
	return ContractChange{Stored: stored, DryRun: true}, nil
}

// Delete replaces the contract by a tombstone on condition that the stored version
// is ifVersion. platform.AnyVersion makes the write unconditional.
func (c *Contracts) Delete(ctx context.Context, author string, customer core.CustomerID, ifVersion int64) (ContractChange, error) {
	return c.write(ctx, author, platform.Op{Kind: platform.OpDelete, Key: contractKey(customer), IfVersion: ifVersion})
}

func (c *Contracts) write(ctx context.Context, author string, op platform.Op) (ContractChange, error) {
	r := c.store.Do(ctx, op)
	if errors.Is(r.Err, platform.ErrConflict) {
		return ContractChange{}, c.readConflict(ctx, op)
	}
	if r.Err != nil {
		return ContractChange{}, writeError(r.Err)
	}
	stored, err := daemon.DecodeContract(r.Object)
	if err != nil {
		return ContractChange{}, &core.Error{
			Code: core.CodeInternal, Verdict: core.Ran, Err: err,
			Reason: fmt.Sprintf("version %d was stored, but the store's answer cannot be read", r.Object.Version),
		}
	}
	change := ContractChange{Stored: stored}
	if err := c.appendHistory(ctx, author, stored); err != nil {
		change.Warning = fmt.Sprintf("version %d is in force, but the history does not show it: %v", stored.Version, err)
		c.log.WithError(err).WithFields(logrus.Fields{"customer": stored.Customer, "version": stored.Version}).Warn("contract history was not written")
	}
	return change, nil
}

// readConflict returns the conflict error for a failed write. It reads the stored
// version, so that the message shows both versions.
func (c *Contracts) readConflict(ctx context.Context, op platform.Op) error {
	r := c.store.Do(ctx, platform.Op{Kind: platform.OpGet, Key: op.Key})
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		e := core.NotRunError(core.CodeConflict, "the contract was changed by someone else; this change was made for version %d; nothing changed", op.IfVersion)
		e.Err = r.Err
		return e
	}
	return newConflictError(core.StoredContract{Version: r.Object.Version}, op.IfVersion)
}

func newConflictError(stored core.StoredContract, expected int64) error {
	if stored.Version == platform.Absent {
		return core.NotRunError(core.CodeConflict, "the contract was changed by someone else: stored is no contract, this change was made for version %d; nothing changed", expected)
	}
	return core.NotRunError(core.CodeConflict, "the contract was changed by someone else: stored is version %d, this change was made for version %d; nothing changed", stored.Version, expected)
}

// Get reads one contract from the store. The error is not-found if there is none.
func (c *Contracts) Get(ctx context.Context, customer core.CustomerID) (core.StoredContract, error) {
	r := c.store.Do(ctx, platform.Op{Kind: platform.OpGet, Key: contractKey(customer)})
	if r.Err != nil {
		return core.StoredContract{}, readError(r.Err)
	}
	return daemon.DecodeContract(r.Object)
}

// List reads all contracts from the store, sorted by customer. It omits deleted
// ones.
func (c *Contracts) List(ctx context.Context) ([]core.StoredContract, error) {
	r := c.store.Do(ctx, platform.Op{Kind: platform.OpList, Key: daemon.ContractPrefix})
	if r.Err != nil {
		return nil, readError(r.Err)
	}
	list := make([]core.StoredContract, 0, len(r.Listing.Objects))
	for _, o := range r.Listing.Objects {
		if o.Deleted {
			continue
		}
		stored, err := daemon.DecodeContract(o)
		if err != nil {
			return nil, fmt.Errorf("contract %s: %w", o.Key, err)
		}
		list = append(list, stored)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Customer < list[j].Customer })
	return list, nil
}

// validate repeats the checks of the command-line tool, since other clients can
// send contracts without them.
func validate(contract *core.Contract) error {
	var problems Problems
	for _, e := range ValidateContract(contract) {
		problems = append(problems, Problem{Err: e})
	}
	if len(problems) == 0 {
		return nil
	}
	return InvalidContract(problems)
}

// InvalidContract returns one invalid-input error that lists all problems.
func InvalidContract(problems Problems) *core.Error {
	return &core.Error{Code: core.CodeInvalid, Verdict: core.NotRun, Field: "contract", Reason: "is refused, nothing changed", Err: problems}
}

func contractKey(customer core.CustomerID) string {
	return daemon.ContractPrefix + string(customer)
}

func readError(err error) *core.Error {
	if errors.Is(err, platform.ErrNotFound) {
		return &core.Error{Code: core.CodeNotFound, Verdict: core.NotRun, Reason: "no such contract", Err: err}
	}
	return &core.Error{Code: core.CodeUnavailable, Verdict: core.NotRun, Reason: "the store cannot be read", RetryAfter: time.Second, Err: err}
}

// writeError returns the verdict NotRun only for errors that prove that the store
// did not execute the write.
func writeError(err error) *core.Error {
	notRun := func(code core.Code, reason string) *core.Error {
		return &core.Error{Code: code, Verdict: core.NotRun, Reason: reason, Err: err}
	}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return notRun(core.CodeNotFound, "no such contract")
	case errors.Is(err, platform.ErrTooLarge):
		return notRun(core.CodeTooLarge, "the contract is too large for the store")
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited):
		e := notRun(core.CodeUnavailable, "the store cannot be written; nothing changed")
		e.RetryAfter = time.Second
		return e
	default:
		return &core.Error{
			Code: core.CodeUnavailable, Verdict: core.MayHaveRun, Err: err,
			Reason: "the store did not answer; the change may have taken effect: read the contract before you retry",
		}
	}
}
