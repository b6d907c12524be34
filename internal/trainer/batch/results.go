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
	if e.phase != phaseOwned || e.nextPartInUse || len(e.unpublished) == 0 {
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
	sentAt := m.now()
	op := platform.Op{Kind: platform.OpPut, Key: resultPartKey(e.id, e.resultParts), Value: value, IfVersion: platform.Absent}
	m.submitNextPartOp(e, op, func(r platform.Result) { m.handlePartWritten(e, part, sentAt, r) })
}

// submitNextPartOp reads or writes the next part of the result list. There is at
// most one such operation in progress. The reply is ignored if the job was stopped
// or started again meanwhile, because the list may have been loaded since.
func (m *Manager) submitNextPartOp(e *jobEntry, op platform.Op, reply func(platform.Result)) {
	e.nextPartInUse = true
	generation := e.generation
	m.submitToStore(op, func(r platform.Result) {
		if e.generation != generation {
			e.confirmedAt = time.Time{}
			return
		}
		e.nextPartInUse = false
		reply(r)
	})
}

func (m *Manager) handlePartWritten(e *jobEntry, part resultPart, sentAt time.Time, r platform.Result) {
	switch {
	case r.Err == nil:
		e.storeUnreachable, e.confirmedAt = false, sentAt
		e.unpublished = append(e.unpublished[:0:0], e.unpublished[len(part.Results):]...)
		e.completedGroups = 0
		e.appendResultPart(part)
		m.log.WithFields(logrus.Fields{"job": e.id, "from": part.From, "results": len(part.Results), "left": e.remainingItems}).Info("results published")
		m.answerReaders(e)
		m.schedulePublish(e)
		m.answerAwaitingConfirmation(e)
	case errors.Is(r.Err, platform.ErrConflict) || errors.Is(r.Err, platform.ErrUnknownOutcome):
		m.readExistingPart(e)
	default:
		m.log.WithError(r.Err).WithField("job", e.id).Warn("results could not be published")
		m.handleStoreUnreachable(e)
		m.loop.After(publishDelay, func() { m.publishResults(e) })
	}
}

// readExistingPart reads the part at the next key, which an earlier write has
// created: by another daemon, or by this one with an unknown outcome.
func (m *Manager) readExistingPart(e *jobEntry) {
	op := platform.Op{Kind: platform.OpGet, Key: resultPartKey(e.id, e.resultParts)}
	m.submitNextPartOp(e, op, func(r platform.Result) {
		var part resultPart
		if err := decodeObject(r, &part); err != nil {
			m.loop.After(publishDelay, func() { m.publishResults(e) })
			m.answerAwaitingConfirmation(e)
			return
		}
		m.mergeExistingPart(e, part)
	})
}

// confirmList reads the next part of the result list, which does not exist if the
// list in memory is complete. Another daemon that has owned the job may have
// written a part after this one loaded the list: a write that was in progress
// during the takeover, or one of a daemon that does not know of the takeover.
func (m *Manager) confirmList(e *jobEntry) {
	if e.nextPartInUse {
		return // the end of that operation answers the waiting queries
	}
	sentAt := m.now()
	op := platform.Op{Kind: platform.OpGet, Key: resultPartKey(e.id, e.resultParts)}
	m.submitNextPartOp(e, op, func(r platform.Result) {
		var part resultPart
		err := decodeObject(r, &part)
		switch {
		case err == nil:
			m.mergeExistingPart(e, part)
			return
		case errors.Is(err, platform.ErrNotFound):
			e.confirmedAt, e.storeUnreachable = sentAt, false
			m.answerAwaitingConfirmation(e)
		default:
			m.log.WithError(err).WithField("job", e.id).Debug("the result list could not be confirmed")
			m.handleStoreUnreachable(e)
		}
		if e.publishAt.IsZero() {
			m.publishResults(e)
		}
	})
}

// mergeExistingPart appends a part that another daemon has written, and checks
// whether that daemon owns the job.
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
