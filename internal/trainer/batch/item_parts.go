package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/berylfall/berylfall/internal/platform"
)

const (
	// itemPartPrefix is the key prefix of items of jobs that are too large for one
	// object.
	itemPartPrefix = "jobitems/"
	// defaultObjectBytes bounds an object of a job. It is below the store's limit
	// of 1 MB, because the store adds fields of its own.
	defaultObjectBytes = 900 << 10
)

// splitItems encodes the items as parts of at most maxBytes, unless one item is
// larger, and returns a digest of all items, which becomes part of their keys.
// The same items always give the same digest and parts, so that two daemons that
// store the same job write identical objects.
func splitItems(items []Item, maxBytes int) (parts [][]byte, digest string, err error) {
	hash := xxhash.New()
	var part []json.RawMessage
	size := 0
	flush := func() error {
		value, err := json.Marshal(part)
		if err == nil {
			parts = append(parts, value)
		}
		part, size = nil, 0
		return err
	}
	for i := range items {
		value, err := json.Marshal(&items[i])
		if err != nil {
			return nil, "", fmt.Errorf("encode item %s: %w", items[i].ID, err)
		}
		// Writes to a hash never fail.
		_, _ = hash.Write(value)
		if size > 0 && size+len(value) > maxBytes {
			if err := flush(); err != nil {
				return nil, "", err
			}
		}
		part = append(part, value)
		size += len(value) + 1
	}
	if err := flush(); err != nil {
		return nil, "", err
	}
	return parts, strconv.FormatUint(hash.Sum64(), 16), nil
}

func (j *Job) itemPartsKey() string {
	return fmt.Sprintf("%s%s.%s.", itemPartPrefix, j.ID, j.ItemsDigest)
}

// storeItemParts writes the items of a large job as objects of their own, and then
// the job without them.
func (m *Manager) storeItemParts(e *jobEntry, job *Job) {
	parts, digest, err := splitItems(job.Items, m.maxObjectBytes)
	if err != nil {
		m.handleAccepted(e, job, platform.Result{Err: fmt.Errorf("%w: %w", platform.ErrRejected, err)})
		return
	}
	job.ItemParts, job.ItemsDigest = len(parts), digest
	m.storeItemPart(e, job, parts, 0)
}

func (m *Manager) storeItemPart(e *jobEntry, job *Job, parts [][]byte, index int) {
	if index == len(parts) {
		header := *job
		header.Items = nil
		value, err := json.Marshal(&header)
		if err != nil {
			m.handleAccepted(e, job, platform.Result{Err: fmt.Errorf("%w: %w", platform.ErrRejected, err)})
			return
		}
		m.createJob(e, job, value)
		return
	}
	op := platform.Op{Kind: platform.OpPut, Key: job.itemPartKey(index), Value: parts[index], IfVersion: platform.Absent}
	m.submitToStore(op, func(r platform.Result) {
		switch {
		case r.Err == nil || errors.Is(r.Err, platform.ErrConflict):
			// On a conflict, another submission of the job has written this part.
			m.storeItemPart(e, job, parts, index+1)
		case errors.Is(r.Err, platform.ErrUnknownOutcome):
			// The job is accepted by its own object only, so the submission can
			// be refused for certain.
			m.handleAccepted(e, job, platform.Result{Err: fmt.Errorf("%w: %w", platform.ErrUnavailable, r.Err)})
		default:
			m.handleAccepted(e, job, r)
		}
	})
}

// itemPartKey returns the key of the object with the part of the job's items.
func (j *Job) itemPartKey(part int) string { return fmt.Sprintf("%s%05d", j.itemPartsKey(), part) }

// loadItemParts reads the items of a large job that are not in memory, one object after
// another, and then its state.
func (m *Manager) loadItemParts(e *jobEntry) {
	e.loadStep = loadStepItems
	job, part := e.loadedItems, e.loadedItemParts
	if part == job.ItemParts {
		e.setJob(job)
		e.loadedItems, e.loadedItemParts = nil, 0
		m.loadState(e)
		return
	}
	m.submitLoadOp(e, platform.Op{Kind: platform.OpGet, Key: job.itemPartKey(part)}, func(r platform.Result) {
		var items []Item
		if err := decodeObject(r, &items); err != nil {
			m.failLoad(e, fmt.Errorf("part %d of the items: %w", part, err))
			return
		}
		job.Items = append(job.Items, items...)
		e.loadedItemParts++
		m.loadItemParts(e)
	})
}
