package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// HistoryPrefix is the key prefix of contract histories in the object API.
const HistoryPrefix = "contract-history/"

// Bounds of a history.
const (
	maxHistoryEntries = 20 // newest changes of a contract
	// maxHistoryBytes leaves a margin below the object API's limit on a value.
	maxHistoryBytes = platform.MaxValueBytes * 3 / 4
	// maxHistoryAttempts bounds the attempts when concurrent changes write the same
	// history.
	maxHistoryAttempts = 4
	// historyTimeout bounds how long the answer to a change is delayed by the write
	// of the history.
	historyTimeout = 3 * time.Second
)

// HistoryEntry is one change of a contract that took effect.
type HistoryEntry struct {
	Version  int64          `json:"version"`
	Time     time.Time      `json:"time"`
	Author   string         `json:"who"`
	Digest   string         `json:"digest,omitempty"` // SHA-256 of the contract, in hex
	Deleted  bool           `json:"deleted,omitempty"`
	Contract *core.Contract `json:"contract,omitempty"`
}

// History lists the newest changes of one contract, ordered by version.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// add inserts the entry unless its version is already present, removes the oldest
// entries that exceed the bounds and returns the encoded history.
func (h *History) add(entry HistoryEntry) ([]byte, error) {
	for _, existing := range h.Entries {
		if existing.Version == entry.Version {
			return json.Marshal(h)
		}
	}
	h.Entries = append(h.Entries, entry)
	sort.Slice(h.Entries, func(i, j int) bool { return h.Entries[i].Version < h.Entries[j].Version })
	for {
		value, err := json.Marshal(h)
		if err != nil {
			return nil, err
		}
		if len(h.Entries) <= maxHistoryEntries && (len(value) <= maxHistoryBytes || len(h.Entries) == 1) {
			return value, nil
		}
		h.Entries = h.Entries[1:]
	}
}

// History reads the recorded changes of the customer's contract. It is empty if none
// was recorded.
func (c *Contracts) History(ctx context.Context, customer core.CustomerID) (History, error) {
	h, _, err := c.readHistory(ctx, customer)
	if err != nil {
		return h, readError(err)
	}
	return h, nil
}

func (c *Contracts) readHistory(ctx context.Context, customer core.CustomerID) (History, int64, error) {
	var h History
	r := c.store.Do(ctx, platform.Op{Kind: platform.OpGet, Key: HistoryPrefix + string(customer)})
	if errors.Is(r.Err, platform.ErrNotFound) {
		return h, platform.Absent, nil
	}
	if r.Err != nil {
		return h, 0, r.Err
	}
	err := json.Unmarshal(r.Object.Value, &h)
	return h, r.Object.Version, err
}

// appendHistory adds a change to the history. It is called only for changes that the
// store confirmed, so the history never lists a change that did not take effect,
// but may lack one that did.
func (c *Contracts) appendHistory(ctx context.Context, author string, stored core.StoredContract) error {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	entry := HistoryEntry{
		Version: stored.Version, Time: c.now().UTC(), Author: author,
		Deleted: stored.Deleted, Contract: stored.Contract, Digest: Digest(stored.Contract),
	}
	var err error
	for range maxHistoryAttempts {
		err = c.tryAppendHistory(ctx, stored.Customer, entry)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return err
}

func (c *Contracts) tryAppendHistory(ctx context.Context, customer core.CustomerID, entry HistoryEntry) error {
	h, version, err := c.readHistory(ctx, customer)
	if err != nil {
		return err
	}
	value, err := h.add(entry)
	if err != nil {
		return err
	}
	return c.store.Do(ctx, platform.Op{
		Kind: platform.OpPut, Key: HistoryPrefix + string(customer), Value: value, IfVersion: version,
	}).Err
}

// Digest returns the SHA-256 digest of the contract's JSON in hex, or "" for a nil
// contract.
func Digest(contract *core.Contract) string {
	if contract == nil {
		return ""
	}
	value, err := json.Marshal(contract)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}
