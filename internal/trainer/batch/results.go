package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/platform"
)

// queueResult records the result of an item and schedules its publication.
func (m *Manager) queueResult(e *jobEntry, result Result) {
	item := e.items[result.Item]
	if item == nil || item.finished {
		return
	}
	e.markFinished(item)
	e.unpublished = append(e.unpublished, result)
	m.schedulePublish(e)
}

// markFinished cancels the run of an item that has a result and counts it as done.
func (e *jobEntry) markFinished(item *itemRun) {
	item.finished = true
	item.cancelRun()
	e.remainingItems--
	e.groupRemaining[item.item.Group]--
	if e.groupRemaining[item.item.Group] == 0 {
		e.completedGroups++
	}
}

// schedulePublish schedules the next write of unpublished results, after a delay
// in which more of them can arrive, or writes at once if no more are to come.
func (m *Manager) schedulePublish(e *jobEntry) {
	if e.remainingItems == 0 {
		m.publishResults(e)
		return
	}
	if len(e.unpublished) == 0 {
		return
	}
	delay := slowPublishDelay
	if e.completedGroups > 0 {
		delay = publishDelay
	}
	due := m.now().Add(delay)
	if !e.publishAt.IsZero() && !due.Before(e.publishAt) {
		return
	}
	e.publishAt = due
	m.loop.After(delay, func() {
		if e.publishAt.Equal(due) {
			e.publishAt = time.Time{}
			m.publishResults(e)
		}
	})
}

func resultPartKey(id JobID, part int) string {
	return fmt.Sprintf("%s%s.%05d", resultPrefix, id, part)
}

// publishResults writes unpublished results as the next part of the result list.
// The conditional write succeeds for one daemon only, which fixes the positions
// of the results.
func (m *Manager) publishResults(e *jobEntry) {
	if e.phase != phaseOwned || e.publishing > 0 || len(e.unpublished) == 0 {
		return
	}
	part := resultPart{From: len(e.published)}
	size := 0
	for _, r := range e.unpublished {
		size += len(r.Text)
		if size > maxResultPartBytes && len(part.Results) > 0 {
			break
		}
		part.Results = append(part.Results, r)
	}
	value, err := json.Marshal(part)
	if err != nil {
		m.log.WithError(err).WithField("job", e.id).Error("results cannot be encoded")
		return
	}
	e.publishing = len(part.Results)
	sentAt := m.now()
	op := platform.Op{Kind: platform.OpPut, Key: resultPartKey(e.id, e.resultParts), Value: value, IfVersion: platform.Absent}
	m.submitToStore(op, func(r platform.Result) { m.handlePartWritten(e, part, sentAt, r) })
}

func (m *Manager) handlePartWritten(e *jobEntry, part resultPart, sentAt time.Time, r platform.Result) {
	written := e.publishing
	e.publishing = 0
	if e.phase == phaseEnded && r.Err == nil {
		e.appendResultPart(part)
	}
	if e.phase != phaseOwned {
		return
	}
	switch {
	case r.Err == nil:
		e.storeUnreachable, e.confirmedAt = false, sentAt
		e.unpublished = append(e.unpublished[:0:0], e.unpublished[written:]...)
		e.completedGroups = 0
		e.appendResultPart(part)
		m.log.WithFields(logrus.Fields{"job": e.id, "from": part.From, "results": len(part.Results), "left": e.remainingItems}).Info("results published")
		m.answerReaders(e)
		m.schedulePublish(e)
	case errors.Is(r.Err, platform.ErrConflict) || errors.Is(r.Err, platform.ErrUnknownOutcome):
		m.readExistingPart(e)
	default:
		e.storeUnreachable = true
		m.log.WithError(r.Err).WithField("job", e.id).Warn("results could not be published")
		m.loop.After(publishDelay, func() { m.publishResults(e) })
	}
}

// readExistingPart reads the part at the next key, which an earlier write has
// created: by another daemon, or by this one with an unknown outcome.
func (m *Manager) readExistingPart(e *jobEntry) {
	e.publishing = len(e.unpublished)
	m.submitToStore(platform.Op{Kind: platform.OpGet, Key: resultPartKey(e.id, e.resultParts)}, func(r platform.Result) {
		e.publishing = 0
		if e.phase != phaseOwned {
			return
		}
		var part resultPart
		if err := decodeObject(r, &part); err != nil {
			m.loop.After(publishDelay, func() { m.publishResults(e) })
			return
		}
		m.mergeExistingPart(e, part)
	})
}

func (m *Manager) mergeExistingPart(e *jobEntry, part resultPart) {
	e.appendResultPart(part)
	published := map[ItemID]bool{}
	for _, result := range part.Results {
		published[result.Item] = true
		if item := e.items[result.Item]; item != nil && !item.finished {
			e.markFinished(item)
		}
	}
	kept := e.unpublished[:0]
	for _, result := range e.unpublished {
		if !published[result.Item] {
			kept = append(kept, result)
		}
	}
	e.unpublished = kept
	m.answerReaders(e)
	m.checkOwnership(e)
	m.publishResults(e)
}
