package batch

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// rerunDelay is the pause before an item runs again after its call failed.
	rerunDelay = 150 * time.Millisecond
	// rewardTimeout bounds one reward call on a route without a timeout.
	rewardTimeout = 2 * time.Second
	// maxDispatchAttempts bounds the servers that one run of an item is sent
	// to; a stream that breaks goes on at the next one.
	maxDispatchAttempts = 6
	statusFailed        = 500 // of a server that ran the item and failed
	statusImpossible    = 422 // of an item that can never be done
)

// itemRun is the progress of an item that is not listed.
type itemRun struct {
	item     *Item
	finished bool
	running  bool
	cancel   context.CancelFunc
	run      int       // number of the newest run
	notUntil time.Time // of the next run

	text           *core.End // set once the text is whole
	events         []int32   // ids of the events received
	pieces         []string  // their data
	versions       []core.Version
	failures       int // answers with statusFailed
	rewardFailures int
}

func (r *itemRun) stop() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// restart forgets the text received so far.
func (r *itemRun) restart() {
	r.text, r.events, r.pieces, r.versions = nil, nil, nil, nil
}

// itemEnd is the end of a run of an item or of its reward call.
type itemEnd struct {
	job      JobID
	item     ItemID
	run      int
	reward   bool
	end      core.End
	events   []int32
	pieces   []string
	versions []core.Version
	mixed    bool // the run was stopped for a version that does not fit
}

// open starts to run a job.
func (k *Manager) open(e *entry) {
	e.phase = phaseOwned
	e.usedAt = k.now()
	done := map[ItemID]bool{}
	for _, r := range e.listed {
		done[r.Item] = true
	}
	e.items = map[ItemID]*itemRun{}
	e.pending, e.writing = nil, 0
	for i := range e.job.Items {
		item := &e.job.Items[i]
		if !done[item.ID] {
			e.items[item.ID] = &itemRun{item: item}
		}
	}
	e.order = launchOrder(e.job.Items)
	e.groups = map[string]int{}
	for _, r := range e.items {
		e.groups[r.item.Group]++
	}
	e.unlisted = len(e.items)
	e.cutOff = false
	if k.onOwner != nil {
		k.onOwner(Ownership{Job: e.id, Owner: k.self, Model: e.job.Model, RemainingTokens: e.work()})
	}
	k.adoptHandover(e)
	k.settleWaiting(e)
	k.launchWaiting(e)
}

// work returns the output tokens of the items without a result, as guessed.
func (e *entry) work() int64 {
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

// launchOrder puts the items first that are expected to take longest, since a
// step waits for the last item of its groups.
func launchOrder(items []Item) []ItemID {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b Item) int { return b.LengthHint - a.LengthHint })
	order := make([]ItemID, 0, len(sorted))
	for i := range sorted {
		order = append(order, sorted[i].ID)
	}
	return order
}

// adoptHandover lists the results that the former owner could not list.
func (k *Manager) adoptHandover(e *entry) {
	for _, result := range e.handover {
		k.addResult(e, result)
	}
	e.handover = nil
}

// launchWaiting runs the items that are due and gives up those whose time is over.
func (k *Manager) launchWaiting(e *entry) {
	if e.phase != phaseOwned || k.released {
		return
	}
	rules, ok := k.routes.JobRules(e.job.Host, e.job.Target)
	now := k.now()
	expired := ok && rules.AbandonAfter > 0 && now.After(e.job.AcceptedAt.Add(rules.AbandonAfter))
	for _, id := range e.order {
		r := e.items[id]
		if r == nil || r.finished {
			continue
		}
		if expired {
			k.giveUp(e, r, "its time is over")
			continue
		}
		if !ok || r.running || now.Before(r.notUntil) {
			continue
		}
		k.launch(e, r, rules)
	}
}

func (k *Manager) giveUp(e *entry, r *itemRun, reason string) {
	fields := logrus.Fields{"job": e.id, "request": r.item.ID, "reason": reason, "events": len(r.events), "failures": r.failures}
	if r.item.Reward != nil {
		fields["reward_request"], fields["reward_failures"] = r.item.Reward.ID, r.rewardFailures
	}
	k.log.WithFields(fields).Warn("item given up")
	k.addResult(e, Result{Item: r.item.ID})
}

func (k *Manager) launch(e *entry, r *itemRun, rules JobRules) {
	if r.text != nil {
		k.launchReward(e, r)
		return
	}
	request := &core.Request{
		Service:     rules.Service,
		Model:       r.item.Model,
		MinVersion:  e.job.MinVersion,
		Class:       core.ClassRollout,
		Repeatable:  true,
		Body:        r.item.Body,
		MaxTokens:   r.item.MaxTokens,
		Stream:      true,
		Resume:      slices.Clone(r.events),
		MaxAttempts: maxDispatchAttempts,
		Forward: &core.ForwardedMessage{
			ID: string(r.item.ID), Method: "POST", Target: r.item.Target, Host: e.job.Host, Headers: r.item.Headers,
		},
	}
	if rules.AbandonAfter > 0 {
		request.Deadline = e.job.AcceptedAt.Add(rules.AbandonAfter)
	}
	k.run(e, r, request, rules.SingleVersion)
}

func (k *Manager) launchReward(e *entry, r *itemRun) {
	reward := r.item.Reward
	rules, ok := k.routes.RewardRules(reward.Host, reward.Target)
	if !ok {
		r.notUntil = k.now().Add(rerunDelay)
		return
	}
	timeout := rules.Timeout
	if timeout <= 0 {
		timeout = rewardTimeout
	}
	request := &core.Request{
		Service:     rules.Service,
		Operation:   core.OperationForward,
		Class:       core.ClassBackground,
		Repeatable:  true,
		Body:        reward.Body,
		Deadline:    k.now().Add(timeout),
		MaxAttempts: 1,
		Forward:     &core.ForwardedMessage{ID: reward.ID, Method: "POST", Target: reward.Target, Host: reward.Host},
	}
	k.run(e, r, request, false)
}

// run sends the request and has its answer collected on the pool.
func (k *Manager) run(e *entry, r *itemRun, request *core.Request, singleVersion bool) {
	r.run++
	request.ID = core.RequestID(string(e.id) + "/" + string(r.item.ID) + "/" + strconv.Itoa(r.run))
	request.Fingerprint = request.ComputeFingerprint()
	ctx, cancel := request.WithDeadline(context.Background())
	c := collector{
		call: core.NewCall(ctx, request), single: singleVersion, oldest: request.MinVersion, stop: cancel,
		end: itemEnd{job: e.id, item: r.item.ID, run: r.run, reward: r.text != nil},
	}
	if n := len(r.versions); n > 0 {
		c.seen = r.versions[n-1]
	}
	if !k.pool.TryGo(func() { k.ends.TryPut(c.collect()) }) {
		cancel()
		r.notUntil = k.now().Add(rerunDelay)
		return
	}
	r.running, r.cancel = true, cancel
	if !k.calls.Submit(c.call) {
		c.call.Fail(core.NotRunError(core.CodeOverloaded, "the dispatch ring is full"))
	}
}

// collector gathers the answer of one call on a pool worker.
type collector struct {
	call   *core.Call
	single bool         // every event must come from one version
	oldest core.Version // that may make an event
	seen   core.Version // of the last event; 0 before the first
	stop   context.CancelFunc
	end    itemEnd
}

func (c *collector) collect() itemEnd {
	defer c.stop()
	for {
		// The call always ends: its context bounds it. A wait without a bound
		// of its own takes the last chunks after the context has ended.
		chunk, end, ok := c.call.Answer.Next(context.Background())
		if end != nil {
			c.end.end = *end
			return c.end
		}
		if !ok || c.end.mixed {
			continue
		}
		c.take(chunk)
	}
}

func (c *collector) take(chunk core.Chunk) {
	stale := chunk.Version < c.oldest
	mixed := c.single && c.seen != 0 && c.seen != chunk.Version
	if stale || mixed {
		c.end.mixed = true
		c.stop()
		return
	}
	c.seen = chunk.Version
	c.end.events = append(c.end.events, chunk.Tokens...)
	c.end.pieces = append(c.end.pieces, chunk.Text)
	c.end.versions = addVersions(c.end.versions, chunk.Version)
}

// addVersions adds the versions that the list lacks.
func addVersions(list []core.Version, versions ...core.Version) []core.Version {
	for _, v := range versions {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

func (k *Manager) handleItemEnd(end itemEnd) {
	e := k.jobs[end.job]
	if e == nil || e.phase != phaseOwned {
		return
	}
	r := e.items[end.item]
	if r == nil || r.finished || r.run != end.run {
		return
	}
	r.running, r.cancel = false, nil
	if end.reward {
		k.rewardEnded(e, r, end.end)
	} else {
		k.textEnded(e, r, end)
	}
	if !r.finished {
		k.relaunch(e, r)
	}
}

// relaunch runs the item again at its time.
func (k *Manager) relaunch(e *entry, r *itemRun) {
	if !k.now().Before(r.notUntil) {
		k.launchWaiting(e)
	}
}

func (k *Manager) textEnded(e *entry, r *itemRun, end itemEnd) {
	if end.mixed {
		r.restart()
		r.notUntil = k.now().Add(rerunDelay)
		return
	}
	r.events = append(r.events, end.events...)
	r.pieces = append(r.pieces, end.pieces...)
	r.versions = addVersions(r.versions, end.versions...)
	log := k.log.WithFields(logrus.Fields{"job": e.id, "request": r.item.ID, "run": r.run, "backend_server": end.end.Server, "events": len(r.events)})
	switch {
	case end.end.Err != nil:
		log.WithError(end.end.Err).Debug("run of an item failed")
		r.notUntil = k.now().Add(rerunDelay)
	case end.end.Status == 200 || end.end.Status == 0:
		k.textWhole(e, r, end.end)
	case end.end.Status == statusImpossible:
		k.giveUp(e, r, "the backend server says that it is impossible")
	default:
		r.failures++
		log.WithFields(logrus.Fields{"status": end.end.Status, "failures": r.failures}).Warn("backend server failed an item")
		r.restart()
		r.notUntil = k.now().Add(rerunDelay)
		rules, ok := k.routes.JobRules(e.job.Host, e.job.Target)
		if ok && end.end.Status == statusFailed && r.failures >= max(1, rules.MaxAttempts) {
			k.giveUp(e, r, "it failed too often")
		}
	}
}

func (k *Manager) textWhole(e *entry, r *itemRun, end core.End) {
	if r.item.Reward == nil {
		k.finish(e, r, "")
		return
	}
	r.text = &end
}

func (k *Manager) rewardEnded(e *entry, r *itemRun, end core.End) {
	if end.Status >= 200 && end.Status < 300 && end.Signature != "" && end.Err == nil {
		k.finish(e, r, end.Signature)
		return
	}
	r.notUntil = k.now().Add(rerunDelay)
	if end.Status != statusFailed {
		return
	}
	r.rewardFailures++
	rules, ok := k.routes.RewardRules(r.item.Reward.Host, r.item.Reward.Target)
	if ok && r.rewardFailures >= max(1, rules.MaxAttempts) {
		k.giveUp(e, r, "its reward call failed too often")
	}
}

func (k *Manager) finish(e *entry, r *itemRun, score string) {
	slices.Sort(r.versions)
	k.addResult(e, Result{
		Item: r.item.ID, Done: true, Text: strings.Join(r.pieces, "\n"), Versions: r.versions, Score: score,
	})
}
