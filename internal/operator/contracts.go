// Package operator holds the decisions about operators' requests: contract
// files and their checks, conflicts, history, status and the burn report. The
// wire encoding is in operatorhttp.
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

// Store is what the operator package needs of the store duty.
type Store interface {
	Do(ctx context.Context, op platform.Op) platform.Result
}

// Contracts reads and writes contracts in the object API. It holds no state, so
// any handler may use it.
type Contracts struct {
	store Store
	now   func() time.Time
	log   *logrus.Entry
}

// NewContracts returns access to the contracts in the store.
func NewContracts(s Store, now func() time.Time, log *logrus.Entry) *Contracts {
	return &Contracts{store: s, now: now, log: log}
}

// ContractChange is a change of a contract that has taken effect, or with DryRun would.
type ContractChange struct {
	Stored core.StoredContract
	DryRun bool
	// Warning says that the change is in force but missing from the history.
	Warning string
}

// Apply checks the contract and writes it if the stored version is still the
// expected one. platform.AnyVersion drops that condition.
func (c *Contracts) Apply(ctx context.Context, who string, contract *core.Contract, ifVersion int64) (ContractChange, error) {
	if err := checked(contract); err != nil {
		return ContractChange{}, err
	}
	value, err := json.Marshal(contract)
	if err != nil {
		return ContractChange{}, err
	}
	return c.change(ctx, who, platform.Op{
		Kind: platform.OpPut, Key: contractKey(contract.Customer), Value: value, IfVersion: ifVersion,
	})
}

// DryRun checks what Apply would check and changes nothing.
func (c *Contracts) DryRun(ctx context.Context, contract *core.Contract, ifVersion int64) (ContractChange, error) {
	if err := checked(contract); err != nil {
		return ContractChange{}, err
	}
	stored, err := c.Get(ctx, contract.Customer)
	if err != nil && core.CodeOf(err) != core.CodeNotFound {
		return ContractChange{}, err
	}
	if ifVersion != platform.AnyVersion && stored.Version != ifVersion {
		return ContractChange{}, conflict(stored, ifVersion)
	}
	stored.Customer = contract.Customer
	stored.Contract = contract
	return ContractChange{Stored: stored, DryRun: true}, nil
}

// Delete replaces the contract by a tombstone if the stored version is still
// the expected one.
func (c *Contracts) Delete(ctx context.Context, who string, customer core.CustomerID, ifVersion int64) (ContractChange, error) {
	return c.change(ctx, who, platform.Op{Kind: platform.OpDelete, Key: contractKey(customer), IfVersion: ifVersion})
}

func (c *Contracts) change(ctx context.Context, who string, op platform.Op) (ContractChange, error) {
	r := c.store.Do(ctx, op)
	if errors.Is(r.Err, platform.ErrConflict) {
		return ContractChange{}, c.conflict(ctx, op)
	}
	if r.Err != nil {
		return ContractChange{}, writeError(r.Err)
	}
	stored, err := daemon.DecodeContract(r.Object)
	if err != nil {
		return ContractChange{}, err
	}
	change := ContractChange{Stored: stored}
	if err := c.record(ctx, who, stored); err != nil {
		change.Warning = fmt.Sprintf("version %d is in force, but the history does not show it: %v", stored.Version, err)
		c.log.WithError(err).WithFields(logrus.Fields{"customer": stored.Customer, "version": stored.Version}).Warn("history of a contract was not written")
	}
	return change, nil
}

// conflict reads the stored contract, so that the message shows both versions.
func (c *Contracts) conflict(ctx context.Context, op platform.Op) error {
	r := c.store.Do(ctx, platform.Op{Kind: platform.OpGet, Key: op.Key})
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		e := core.NotRunError(core.CodeConflict, "the contract was changed by someone else; this change was made for version %d; nothing changed", op.IfVersion)
		e.Err = r.Err
		return e
	}
	return conflict(core.StoredContract{Version: r.Object.Version}, op.IfVersion)
}

func conflict(stored core.StoredContract, ours int64) error {
	if stored.Version == platform.Absent {
		return core.NotRunError(core.CodeConflict, "the contract was changed by someone else: stored is no contract, this change was made for version %d; nothing changed", ours)
	}
	return core.NotRunError(core.CodeConflict, "the contract was changed by someone else: stored is version %d, this change was made for version %d; nothing changed", stored.Version, ours)
}

// Get reads one contract from the store.
func (c *Contracts) Get(ctx context.Context, customer core.CustomerID) (core.StoredContract, error) {
	r := c.store.Do(ctx, platform.Op{Kind: platform.OpGet, Key: contractKey(customer)})
	if r.Err != nil {
		return core.StoredContract{}, readError(r.Err)
	}
	return daemon.DecodeContract(r.Object)
}

// List reads every contract from the store, by customer. Deleted ones are left out.
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

// checked repeats the checks of the command-line tool, since other clients may
// send contracts too.
func checked(contract *core.Contract) error {
	var problems Problems
	for _, e := range ValidateContract(contract) {
		problems = append(problems, Problem{Err: e})
	}
	if len(problems) == 0 {
		return nil
	}
	return InvalidContract(problems)
}

// InvalidContract returns one error that lists all problems.
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

// writeError never says that nothing changed unless the store proves it.
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
			Reason: "the store did not answer; the change may have taken effect: read the contract before another try",
		}
	}
}
