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
	// partPrefix holds the items of jobs that are too large for one object.
	partPrefix = "jobitems/"
	// defaultObjectBytes bounds an object of a job. The store adds its own
	// fields, and its bound is 1 MB.
	defaultObjectBytes = 900 << 10
)

// splitItems returns the encoded items in parts below the bound, and a name for
// them. The same items make the same name and parts, so that two daemons that
// store one job write the same objects.
func splitItems(items []Item, bound int) (parts [][]byte, name string, err error) {
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
		// A digest takes every byte.
		_, _ = hash.Write(value)
		if size > 0 && size+len(value) > bound {
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

func (j *Job) partsKey() string { return fmt.Sprintf("%s%s.%s.", partPrefix, j.ID, j.ItemsDigest) }

// storeParts writes the items of a large job, and then the job without them.
func (k *Manager) storeParts(e *entry, job *Job) {
	parts, name, err := splitItems(job.Items, k.objectBytes)
	if err != nil {
		k.accepted(e, job, platform.Result{Err: fmt.Errorf("%w: %w", platform.ErrRejected, err)})
		return
	}
	job.ItemParts, job.ItemsDigest = len(parts), name
	k.storePart(e, job, parts, 0)
}

func (k *Manager) storePart(e *entry, job *Job, parts [][]byte, n int) {
	if n == len(parts) {
		header := *job
		header.Items = nil
		k.createJob(e, job, &header)
		return
	}
	op := platform.Op{Kind: platform.OpPut, Key: fmt.Sprintf("%s%05d", job.partsKey(), n), Value: parts[n], IfVersion: platform.Absent}
	k.submit(op, func(r platform.Result) {
		switch {
		case r.Err == nil || errors.Is(r.Err, platform.ErrConflict):
			// Another submission of the same job has written the same part.
			k.storePart(e, job, parts, n+1)
		case errors.Is(r.Err, platform.ErrUnknownOutcome):
			// Parts alone are no acceptance, so this one is a plain refusal.
			k.accepted(e, job, platform.Result{Err: fmt.Errorf("%w: %w", platform.ErrUnavailable, r.Err)})
		default:
			k.accepted(e, job, r)
		}
	})
}

// loadParts reads the items of a large job.
func (k *Manager) loadParts(e *entry, job *Job) {
	k.submit(platform.Op{Kind: platform.OpList, Key: job.partsKey()}, func(r platform.Result) {
		if r.Err == nil && len(r.Listing.Objects) < job.ItemParts {
			r.Err = fmt.Errorf("%w: %d of %d parts of the items", platform.ErrNotFound, len(r.Listing.Objects), job.ItemParts)
		}
		if r.Err != nil {
			k.loadFailed(e, r.Err)
			return
		}
		for _, o := range r.Listing.Objects {
			var items []Item
			if err := json.Unmarshal(o.Value, &items); err != nil {
				k.loadFailed(e, fmt.Errorf("decode %s: %w", o.Key, err))
				return
			}
			job.Items = append(job.Items, items...)
		}
		e.job = job
		k.loadState(e)
	})
}
