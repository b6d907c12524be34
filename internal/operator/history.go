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

// HistoryPrefix is the prefix of histories in the object API.
const HistoryPrefix = "contract-history/"

// Bounds of a history.
const (
	maxHistory = 20
	// maxHistoryBytes leaves room below the object API's limit on a value.
	maxHistoryBytes = platform.MaxValueBytes * 3 / 4
	// historyTries bounds the writes when other operators write the same history.
	historyTries = 4
	// historyTimeout bounds how long the answer to an apply waits for the history.
	historyTimeout = 3 * time.Second
)

// HistoryEntry is one change of a contract that took effect.
type HistoryEntry struct {
	Version  int64          `json:"version"`
	Time     time.Time      `json:"time"`
	Who      string         `json:"who"`
	Digest   string         `json:"digest,omitempty"` // SHA-256 of the contract, in hex
	Deleted  bool           `json:"deleted,omitempty"`
	Contract *core.Contract `json:"contract,omitempty"`
}

// History is the newest changes of one contract, oldest first.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// add inserts the entry by version and drops the oldest ones over the bounds.
func (h *History) add(e HistoryEntry) ([]byte, error) {
	for _, known := range h.Entries {
		if known.Version == e.Version {
			return json.Marshal(h)
		}
	}
	h.Entries = append(h.Entries, e)
	sort.Slice(h.Entries, func(i, j int) bool { return h.Entries[i].Version < h.Entries[j].Version })
	for {
		value, err := json.Marshal(h)
		if err != nil {
			return nil, err
		}
		if len(h.Entries) <= maxHistory && (len(value) <= maxHistoryBytes || len(h.Entries) == 1) {
			return value, nil
		}
		h.Entries = h.Entries[1:]
	}
}

// History reads the changes of the customer's contract that were recorded.
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

// record adds a change that has taken effect to the history. It is called only
// with what the store confirmed, so the history never shows a change that did
// not happen; it may lack one that did.
func (c *Contracts) record(ctx context.Context, who string, stored core.StoredContract) error {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	entry := HistoryEntry{
		Version: stored.Version, Time: c.now().UTC(), Who: who,
		Deleted: stored.Deleted, Contract: stored.Contract, Digest: Digest(stored.Contract),
	}
	var err error
	for range historyTries {
		err = c.tryRecord(ctx, stored.Customer, entry)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return err
}

func (c *Contracts) tryRecord(ctx context.Context, customer core.CustomerID, entry HistoryEntry) error {
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

// Digest returns the SHA-256 digest of the contract in hex, or "" for none.
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
