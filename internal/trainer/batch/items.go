package batch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// itemRetryDelay is the delay before an item runs again after its call failed.
	itemRetryDelay = 150 * time.Millisecond
	// defaultRewardTimeout bounds one reward call on a route without a timeout.
	defaultRewardTimeout = 2 * time.Second
	// maxAttemptsPerRun bounds the attempts of one run of an item. A stream that
	// breaks is resumed at another engine.
	maxAttemptsPerRun    = 6
	statusItemFailed     = 500 // HTTP status of an engine that ran the item and failed
	statusItemImpossible = 422 // HTTP status of an item that no engine can run
)

// itemRun is the progress of an item whose result is not published.
type itemRun struct {
	item      *Item
	finished  bool
	running   bool
	cancel    context.CancelFunc
	number    int       // of the newest run, from 1
	notBefore time.Time // earliest time of the next run

	textEnd        *core.End     // end of the answer, once the text is complete
	progress       core.Progress // events received
	texts          []string      // text of each chunk received
	versions       []core.Version
	failures       int // answers with statusItemFailed
	rewardFailures int
}

func (r *itemRun) cancelRun() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// discardText discards what was received, so that the next run generates the item
// from its start.
func (r *itemRun) discardText() {
	r.textEnd, r.progress, r.texts, r.versions = nil, core.Progress{}, nil, nil
}

// runEnd is the outcome of one run of an item or of its reward call.
type runEnd struct {
	job             JobID
	item            ItemID
	generation      int // of the job when the run started
	run             int
	reward          bool
	callEnd         core.End
	progress        core.Progress // with the events of earlier runs
	texts           []string
	versions        []core.Version
	versionMismatch bool // the run was cancelled because of its weight or software version
}

// startJob makes this daemon run the items of a job that it owns.
func (m *Manager) startJob(e *jobEntry) {
	e.phase = phaseOwned
	e.lastQueryAt = m.now()
	done := map[ItemID]bool{}
	for _, r := range e.published {
		done[r.Item] = true
	}
	e.items = map[ItemID]*itemRun{}
	e.unpublished, e.nextPartInUse = nil, false
	e.generation++
	for i := range e.job.Items {
		item := &e.job.Items[i]
		if !done[item.ID] {
			e.items[item.ID] = &itemRun{item: item}
		}
	}
	e.launchOrder = launchOrder(e.job.Items)
	e.groupRemaining = map[string]int{}
	for _, r := range e.items {
		e.groupRemaining[r.item.Group]++
	}
	e.remainingItems = len(e.items)
	e.storeUnreachable = false
	if m.onOwned != nil {
		m.onOwned(Ownership{Job: e.id, Owner: m.self, Model: e.job.Model, Customer: e.customer, RemainingTokens: e.remainingTokens()})
	}
	m.queueInherited(e)
	m.answerAwaitingLoad(e)
	m.launchDueItems(e)
}

// remainingTokens returns the estimated output tokens of the items without a
// result.
func (e *jobEntry) remainingTokens() int64 {
	sum := int64(0)
	for _, r := range e.items {
		tokens := r.item.LengthHint
		if tokens <= 0 {
			tokens = r.item.MaxTokens
		}
		sum += int64(tokens)
	}
	return sum
}

// launchOrder sorts the items by expected length, longest first, since a step
// waits for the last item of its groups.
func launchOrder(items []Item) []ItemID {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b Item) int { return b.LengthHint - a.LengthHint })
	order := make([]ItemID, 0, len(sorted))
	for i := range sorted {
		order = append(order, sorted[i].ID)
	}
	return order
}

// queueInherited queues the results that the former owner could not publish.
func (m *Manager) queueInherited(e *jobEntry) {
	for _, result := range e.inherited {
		m.queueResult(e, result)
	}
	e.inherited = nil
}

// launchDueItems starts the items that are due, and abandons all unfinished items
// once the job's time limit has passed. While the lease of the job is not valid, runs in
// progress go on, but nothing starts.
func (m *Manager) launchDueItems(e *jobEntry) {
	if e.phase != phaseOwned || m.released {
		return
	}
	rules, ok := m.routes.JobRules(e.job.Host, e.job.Target, e.customer)
	now := m.now()
	expired := ok && rules.AbandonAfter > 0 && now.After(e.job.AcceptedAt.Add(rules.AbandonAfter))
	mayLaunch := ok && e.lease.IsValid()
	for _, id := range e.launchOrder {
		r := e.items[id]
		if r == nil || r.finished {
			continue
		}
		if expired {
			m.abandonItem(e, r, "time limit of the job has passed")
			continue
		}
		if !mayLaunch || r.running || now.Before(r.notBefore) {
			continue
		}
		m.launchItem(e, r, rules)
	}
}

func (m *Manager) abandonItem(e *jobEntry, r *itemRun, reason string) {
	fields := logrus.Fields{"job": e.id, "request": r.item.ID, "reason": reason, "events": len(r.progress.Tokens), "failures": r.failures}
	if r.item.Reward != nil {
		fields["reward_request"], fields["reward_failures"] = r.item.Reward.ID, r.rewardFailures
	}
	m.log.WithFields(fields).Warn("item abandoned")
	m.queueResult(e, Result{Item: r.item.ID})
}

func (m *Manager) launchItem(e *jobEntry, r *itemRun, rules JobRules) {
	if r.textEnd != nil {
		m.launchReward(e, r)
		return
	}
	request := &core.Request{
		Customer:    e.customer,
		Rank:        rules.Rank,
		Service:     rules.Service,
		Model:       r.item.Model,
		MinVersion:  e.job.MinVersion,
		Class:       core.ClassRollout,
		Repeatable:  true,
		Accepted:    true,
		Lease:       e.lease,
		Body:        r.item.Body,
		MaxTokens:   r.item.MaxTokens,
		Stream:      true,
		Resume:      r.progress.Clone(),
		MaxAttempts: maxAttemptsPerRun,
		Forward: &core.ForwardedMessage{
			ID: string(r.item.ID), Method: "POST", Target: r.item.Target, Host: e.job.Host, Headers: r.item.Headers,
		},
	}
	if rules.AbandonAfter > 0 {
		request.Deadline = e.job.AcceptedAt.Add(rules.AbandonAfter)
	}
	m.startRun(e, r, request, rules.SingleVersion)
}

func (m *Manager) launchReward(e *jobEntry, r *itemRun) {
	reward := r.item.Reward
	rules, ok := m.routes.RewardRules(reward.Host, reward.Target)
	if !ok {
		r.notBefore = m.now().Add(itemRetryDelay)
		return
	}
	timeout := rules.Timeout
	if timeout <= 0 {
		timeout = defaultRewardTimeout
	}
	request := &core.Request{
		Service:     rules.Service,
		Operation:   core.OperationForward,
		Class:       core.ClassBackground,
		Repeatable:  true,
		Accepted:    true,
		Lease:       e.lease,
		Body:        reward.Body,
		Deadline:    m.now().Add(timeout),
		MaxAttempts: 1,
		Forward:     &core.ForwardedMessage{ID: reward.ID, Method: "POST", Target: reward.Target, Host: reward.Host},
	}
	m.startRun(e, r, request, false)
}

// startRun submits the request and collects its answer on the pool.
func (m *Manager) startRun(e *jobEntry, r *itemRun, request *core.Request, singleVersion bool) {
	r.number++
	request.ID = core.RequestID(fmt.Sprintf("%s/%s/%d.%d", e.id, r.item.ID, e.generation, r.number))
	request.Fingerprint = request.ComputeFingerprint()
	ctx, cancel := request.WithDeadline(context.Background())
	c := answerCollector{
		call: core.NewCall(ctx, request), singleVersion: singleVersion, minVersion: request.MinVersion, cancel: cancel,
		result: runEnd{job: e.id, item: r.item.ID, generation: e.generation, run: r.number, reward: r.textEnd != nil, progress: r.progress.Clone()},
	}
	if n := len(r.versions); n > 0 {
		c.lastVersion = r.versions[n-1]
	}
	if !m.pool.TryGo(func() { m.runEnds.TryPut(c.collect()) }) {
		cancel()
		r.notBefore = m.now().Add(itemRetryDelay)
		return
	}
	r.running, r.cancel = true, cancel
	if !m.calls.Submit(c.call) {
		c.call.Fail(core.NotRunError(core.CodeOverloaded, "the dispatch ring is full"))
	}
}

// answerCollector reads the answer of one call on a pool goroutine.
type answerCollector struct {
	call          *core.Call
	singleVersion bool         // all tokens must come from one weight version
	minVersion    core.Version // oldest weight version allowed
	lastVersion   core.Version // of the last chunk; 0 before the first
	cancel        context.CancelFunc
	result        runEnd
}

func (c *answerCollector) collect() runEnd {
	defer c.cancel()
	for {
		// The call always ends, because its own context is bounded. Waiting
		// without a bound here still receives the last chunks after that
		// context has ended.
		chunk, end, ok := c.call.Answer.Next(context.Background())
		if end != nil {
			c.result.callEnd = *end
			return c.result
		}
		if !ok || c.result.versionMismatch {
			continue
		}
		c.acceptChunk(chunk)
	}
}

func (c *answerCollector) acceptChunk(chunk core.Chunk) {
	stale := chunk.Version < c.minVersion
	mixed := c.singleVersion && c.lastVersion != 0 && c.lastVersion != chunk.Version
	if stale || mixed || !c.result.progress.MayContinueOn(chunk.Software) {
		c.result.versionMismatch = true
		c.cancel()
		return
	}
	c.lastVersion = chunk.Version
	c.result.progress = c.result.progress.Append(chunk.Software, chunk.Tokens...)
	c.result.texts = append(c.result.texts, chunk.Text)
	c.result.versions = mergeVersions(c.result.versions, chunk.Version)
}

// mergeVersions appends the versions that the list does not contain.
func mergeVersions(list []core.Version, versions ...core.Version) []core.Version {
	for _, v := range versions {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

func (m *Manager) handleRunEnd(end runEnd) {
	e := m.jobs[end.job]
	if e == nil || e.phase != phaseOwned || e.generation != end.generation {
		return
	}
	r := e.items[end.item]
	if r == nil || r.finished || r.number != end.run {
		return
	}
	r.running, r.cancel = false, nil
	if end.reward {
		m.handleRewardEnd(e, r, end.callEnd)
	} else {
		m.handleTextEnd(e, r, end)
	}
	if !r.finished {
		m.relaunchIfDue(e, r)
	}
}

// relaunchIfDue launches the due items of the job if this one may run again at
// once; otherwise the tick launches it.
func (m *Manager) relaunchIfDue(e *jobEntry, r *itemRun) {
	if !m.now().Before(r.notBefore) {
		m.launchDueItems(e)
	}
}

func (m *Manager) handleTextEnd(e *jobEntry, r *itemRun, end runEnd) {
	if end.versionMismatch {
		r.discardText()
		r.notBefore = m.now().Add(itemRetryDelay)
		return
	}
	r.progress = end.progress
	r.texts = append(r.texts, end.texts...)
	r.versions = mergeVersions(r.versions, end.versions...)
	log := m.log.WithFields(logrus.Fields{"job": e.id, "request": r.item.ID, "run": r.number, "backend_server": end.callEnd.Server, "events": len(r.progress.Tokens)})
	switch {
	case end.callEnd.Err != nil && end.callEnd.Err.Code == core.CodeNotContinued:
		log.WithError(end.callEnd.Err).Info("item starts anew")
		r.discardText()
	case end.callEnd.Err != nil && end.callEnd.Err.Code == core.CodeLeaseExpired:
		log.WithError(end.callEnd.Err).Info("item waits until the ownership of its job is confirmed")
	case end.callEnd.Err != nil:
		if end.callEnd.Attempts == 0 {
			// No attempt failed that would be in the log.
			log.WithError(end.callEnd.Err).Info("run of an item was not placed")
		}
		r.notBefore = m.now().Add(itemRetryDelay)
	case end.callEnd.Status == 200 || end.callEnd.Status == 0:
		m.completeText(e, r, end.callEnd)
	case end.callEnd.Status == statusItemImpossible:
		m.abandonItem(e, r, "backend server rejected the item as impossible")
	default:
		r.failures++
		log.WithFields(logrus.Fields{"status": end.callEnd.Status, "failures": r.failures}).Warn("backend server failed to run an item")
		r.discardText()
		r.notBefore = m.now().Add(itemRetryDelay)
		rules, ok := m.routes.JobRules(e.job.Host, e.job.Target, e.customer)
		if ok && end.callEnd.Status == statusItemFailed && r.failures >= max(1, rules.MaxAttempts) {
			m.abandonItem(e, r, "it failed too often")
		}
	}
}

// completeText continues with the reward call, or finishes an item without one.
func (m *Manager) completeText(e *jobEntry, r *itemRun, end core.End) {
	if r.item.Reward == nil {
		m.completeItem(e, r, "")
		return
	}
	r.textEnd = &end
}

func (m *Manager) handleRewardEnd(e *jobEntry, r *itemRun, end core.End) {
	if end.Status >= 200 && end.Status < 300 && end.Signature != "" && end.Err == nil {
		m.completeItem(e, r, end.Signature)
		return
	}
	r.notBefore = m.now().Add(itemRetryDelay)
	if end.Status != statusItemFailed {
		return
	}
	r.rewardFailures++
	rules, ok := m.routes.RewardRules(r.item.Reward.Host, r.item.Reward.Target)
	if ok && r.rewardFailures >= max(1, rules.MaxAttempts) {
		m.abandonItem(e, r, "its reward call failed too often")
	}
}

func (m *Manager) completeItem(e *jobEntry, r *itemRun, score string) {
	slices.Sort(r.versions)
	m.queueResult(e, Result{
		Item: r.item.ID, Done: true, Text: strings.Join(r.texts, "\n"), Versions: r.versions, Score: score,
	})
}
