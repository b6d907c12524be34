package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/platform"
)

// addResult puts the result of an item on the way to the list.
func (k *Manager) addResult(e *entry, result Result) {
	item := e.items[result.Item]
	if item == nil || item.finished {
		return
	}
	e.finish(item)
	e.pending = append(e.pending, result)
	k.listSoon(e)
}

// finish ends the runs of an item that has its result.
func (e *entry) finish(item *itemRun) {
	item.finished = true
	item.stop()
	e.unlisted--
	e.groups[item.item.Group]--
	if e.groups[item.item.Group] == 0 {
		e.wholes++
	}
}

// listSoon writes the pending results once more have had time to collect, or
// at once when there are no more to come.
func (k *Manager) listSoon(e *entry) {
	if e.unlisted == 0 {
		k.list(e)
		return
	}
	if len(e.pending) == 0 {
		return
	}
	delay := slowListDelay
	if e.wholes > 0 {
		delay = listDelay
	}
	due := k.now().Add(delay)
	if !e.listAt.IsZero() && !due.Before(e.listAt) {
		return
	}
	e.listAt = due
	k.loop.After(delay, func() {
		if e.listAt.Equal(due) {
			e.listAt = time.Time{}
			k.list(e)
		}
	})
}

func partKey(id JobID, part int) string { return fmt.Sprintf("%s%s.%05d", resultPrefix, id, part) }

// list writes the pending results as the next part of the list. Creating the
// part succeeds for one daemon only, which fixes the positions.
func (k *Manager) list(e *entry) {
	if e.phase != phaseOwned || e.writing > 0 || len(e.pending) == 0 {
		return
	}
	part := resultPart{From: len(e.listed)}
	size := 0
	for _, r := range e.pending {
		size += len(r.Text)
		if size > maxPartBytes && len(part.Results) > 0 {
			break
		}
		part.Results = append(part.Results, r)
	}
	value, err := json.Marshal(part)
	if err != nil {
		k.log.WithError(err).WithField("job", e.id).Error("results cannot be encoded")
		return
	}
	e.writing = len(part.Results)
	asked := k.now()
	op := platform.Op{Kind: platform.OpPut, Key: partKey(e.id, e.parts), Value: value, IfVersion: platform.Absent}
	k.submit(op, func(r platform.Result) { k.partWritten(e, part, asked, r) })
}

func (k *Manager) partWritten(e *entry, part resultPart, asked time.Time, r platform.Result) {
	written := e.writing
	e.writing = 0
	if e.phase == phaseEnded && r.Err == nil {
		e.appendPart(part)
	}
	if e.phase != phaseOwned {
		return
	}
	switch {
	case r.Err == nil:
		e.cutOff, e.confirmedAt = false, asked
		e.pending = append(e.pending[:0:0], e.pending[written:]...)
		e.wholes = 0
		e.appendPart(part)
		k.log.WithFields(logrus.Fields{"job": e.id, "from": part.From, "results": len(part.Results), "left": e.unlisted}).Info("results listed")
		k.wakeReaders(e)
		k.listSoon(e)
	case errors.Is(r.Err, platform.ErrConflict) || errors.Is(r.Err, platform.ErrUnknownOutcome):
		k.readPart(e)
	default:
		e.cutOff = true
		k.log.WithError(r.Err).WithField("job", e.id).Warn("results could not be listed")
		k.loop.After(listDelay, func() { k.list(e) })
	}
}

// readPart reads the part that another write has created, which may be an
// earlier copy of the own one.
func (k *Manager) readPart(e *entry) {
	e.writing = len(e.pending)
	k.submit(platform.Op{Kind: platform.OpGet, Key: partKey(e.id, e.parts)}, func(r platform.Result) {
		e.writing = 0
		if e.phase != phaseOwned {
			return
		}
		var part resultPart
		if err := decode(r, &part); err != nil {
			k.loop.After(listDelay, func() { k.list(e) })
			return
		}
		k.mergePart(e, part)
	})
}

func (k *Manager) mergePart(e *entry, part resultPart) {
	e.appendPart(part)
	listed := map[ItemID]bool{}
	for _, result := range part.Results {
		listed[result.Item] = true
		if item := e.items[result.Item]; item != nil && !item.finished {
			e.finish(item)
		}
	}
	kept := e.pending[:0]
	for _, result := range e.pending {
		if !listed[result.Item] {
			kept = append(kept, result)
		}
	}
	e.pending = kept
	k.wakeReaders(e)
	k.checkOwner(e)
	k.list(e)
}
