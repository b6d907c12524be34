// Package trainer holds the decisions about trainers: steps, groups, labels,
// freshness and delivery. The wire encoding is in trainerhttp.
package trainer

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// Limits of the trainer duty.
const (
	askRingCapacity = 1024
	// maxSamplesInFlight bounds the samples that run at once. The ring of
	// results has the same capacity, so a result is never refused.
	maxSamplesInFlight = 4096
	deliveryWait       = 10 * time.Second
	sampleDeadline     = 5 * time.Minute
)

// GroupSpec is one prompt and the number of samples wanted of it.
type GroupSpec struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// StepSpec opens a step.
type StepSpec struct {
	Customer  core.CustomerID `json:"customer"`
	Step      int64           `json:"step"`
	Model     string          `json:"model"`
	Adapter   string          `json:"adapter,omitempty"`
	MaxTokens int             `json:"maxTokens"`
	Groups    []GroupSpec     `json:"groups"`
}

// Delivery is one group with its place in the trainer's stream.
type Delivery struct {
	Sequence int64      `json:"sequence"` // from 1, per trainer
	Step     int64      `json:"step"`
	Group    core.Group `json:"group"`
}

// Acknowledgement says which deliveries the trainer holds.
type Acknowledgement struct {
	Customer core.CustomerID `json:"customer"`
	Cursor   int64           `json:"cursor"` // every sequence up to it
}

// Open asks the duty to open a step.
type Open struct {
	Trainer string
	Spec    StepSpec
}

// Fetch asks the duty for deliveries after a sequence.
type Fetch struct {
	Trainer  string
	Customer core.CustomerID
	After    int64
}

// Ack tells the duty what the trainer holds.
type Ack struct {
	Trainer string
	Ack     Acknowledgement
}

// Query is one of Open, Fetch and Ack.
type Query struct {
	Open  *Open
	Fetch *Fetch
	Ack   *Ack
}

// Reply answers a Query.
type Reply struct {
	Deliveries []Delivery
	Err        *core.Error
}

type streamKey struct {
	customer core.CustomerID
	trainer  string
}

type groupState struct {
	spec    GroupSpec
	samples []core.Sample
	missing int
}

type stream struct {
	step     StepSpec
	groups   []*groupState
	ready    []Delivery // handed out or waiting, not yet acknowledged
	sequence int64
	cursor   int64
	waiting  []duty.Ask[Query, Reply]
}

type sampleTask struct {
	key    streamKey
	step   int64
	group  int
	index  int
	prompt string
}

type sampleResult struct {
	task   sampleTask
	sample core.Sample
	err    *core.Error
}

// Trainer is the duty that serves trainers.
type Trainer struct {
	loop    *duty.Loop
	submit  core.Submitter
	pool    *duty.Pool
	asks    *duty.AskRing[Query, Reply]
	results *ring.Ring[sampleResult]

	streams map[streamKey]*stream
	queue   []sampleTask
	running int
	limit   int
}

// New returns the trainer duty. Samples run through submit; the pool has a
// worker for each sample in flight.
func New(clock duty.Clock, submit core.Submitter, pool *duty.Pool, limit int) *Trainer {
	t := &Trainer{
		loop:    duty.New("trainer", clock),
		submit:  submit,
		pool:    pool,
		asks:    duty.NewAskRing[Query, Reply]("trainer.asks", askRingCapacity),
		results: ring.New[sampleResult]("trainer.results", maxSamplesInFlight),
		streams: map[streamKey]*stream{},
		limit:   min(limit, maxSamplesInFlight),
	}
	duty.OnAsk(t.loop, t.asks, t.handleAsk)
	duty.On(t.loop, t.results, t.handleResult)
	return t
}

// Loop returns the duty's loop.
func (t *Trainer) Loop() *duty.Loop { return t.loop }

// Ask puts a query to the duty and waits for the reply. Only handlers may call it.
func (t *Trainer) Ask(ctx context.Context, q Query) Reply {
	r, err := t.asks.Ask(ctx, q)
	if err != nil {
		return Reply{Err: core.AsError(err)}
	}
	return r
}

func (t *Trainer) handleAsk(ask duty.Ask[Query, Reply]) {
	q := ask.Query
	switch {
	case q.Open != nil:
		ask.Reply(Reply{Err: t.open(q.Open)})
	case q.Fetch != nil:
		t.fetch(ask, q.Fetch)
	case q.Ack != nil:
		ask.Reply(Reply{Err: t.acknowledge(q.Ack)})
	}
}

func (t *Trainer) open(o *Open) *core.Error {
	key := streamKey{o.Spec.Customer, o.Trainer}
	s := t.streams[key]
	if s == nil {
		s = &stream{}
		t.streams[key] = s
	}
	if o.Spec.Step == s.step.Step {
		return nil
	}
	if o.Spec.Step < s.step.Step {
		return core.InvalidError("step", fmt.Sprint(o.Spec.Step), fmt.Sprintf("%d or more", s.step.Step), "is older than the open step")
	}
	s.step = o.Spec
	s.groups = nil
	for id, spec := range o.Spec.Groups {
		s.groups = append(s.groups, &groupState{spec: spec, missing: spec.Samples, samples: make([]core.Sample, spec.Samples)})
		for index := range spec.Samples {
			t.queue = append(t.queue, sampleTask{key: key, step: o.Spec.Step, group: id, index: index, prompt: spec.Prompt})
		}
	}
	t.startSamples()
	return nil
}

func (t *Trainer) startSamples() {
	for len(t.queue) > 0 && t.running < t.limit {
		task := t.queue[0]
		s := t.streams[task.key]
		if !t.pool.TryGo(func() { t.results.TryPut(t.run(task, s.step)) }) {
			t.loop.After(time.Second, t.startSamples)
			return
		}
		t.queue = t.queue[1:]
		t.running++
	}
}

// run produces one sample. It runs on the pool.
func (t *Trainer) run(task sampleTask, step StepSpec) sampleResult {
	started := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(sampleDeadline))
	defer cancel()
	call := core.NewCall(ctx, &core.Request{
		ID:        core.RequestID(uuid.NewString()),
		Customer:  task.key.customer,
		Model:     step.Model,
		Adapter:   step.Adapter,
		Class:     core.ClassRollout,
		Deadline:  started.Add(sampleDeadline),
		Prompt:    task.prompt,
		MaxTokens: step.MaxTokens,
	})
	call.Request.Fingerprint = call.Request.ComputeFingerprint()
	if !t.submit.Submit(call) {
		return sampleResult{task: task, err: core.NotRunError(core.CodeOverloaded, "admission queue is full")}
	}
	sample, err := collect(ctx, call)
	sample.Group, sample.Index, sample.Prompt, sample.Started = task.group, task.index, task.prompt, started
	return sampleResult{task: task, sample: sample, err: err}
}

// collect reads the whole answer and checks its labels.
func collect(ctx context.Context, call *core.Call) (core.Sample, *core.Error) {
	var assembled core.Assembler
	for {
		chunk, end, ok := call.Answer.Next(ctx)
		if !ok {
			return core.Sample{}, core.MayHaveRunError(core.CodeDeadline, "no whole sample before the deadline")
		}
		if end != nil && end.Err != nil {
			return core.Sample{}, end.Err
		}
		if end != nil {
			break
		}
		if _, err := assembled.Accept(chunk); err != nil {
			return core.Sample{}, core.AsError(err)
		}
	}
	sample := core.Sample{Text: assembled.Text(), Tokens: assembled.Tokens(), Spans: assembled.Spans()}
	if err := core.CheckSpans(sample.Spans, len(sample.Tokens)); err != nil {
		return sample, core.MayHaveRunError(core.CodeBroken, "sample has no true label: %v", err)
	}
	return sample, nil
}

func (t *Trainer) handleResult(r sampleResult) {
	t.running--
	s := t.streams[r.task.key]
	switch {
	case s == nil || s.step.Step != r.task.step:
	case r.err != nil:
		t.loop.After(time.Second, func() {
			t.queue = append(t.queue, r.task)
			t.startSamples()
		})
	default:
		t.addSample(s, r)
	}
	t.startSamples()
}

func (t *Trainer) addSample(s *stream, r sampleResult) {
	g := s.groups[r.task.group]
	g.samples[r.task.index] = r.sample
	g.missing--
	if g.missing > 0 {
		return
	}
	s.sequence++
	s.ready = append(s.ready, Delivery{
		Sequence: s.sequence,
		Step:     r.task.step,
		Group:    core.Group{ID: r.task.group, Samples: g.samples},
	})
	for _, ask := range s.waiting {
		ask.Reply(Reply{Deliveries: s.after(ask.Query.Fetch.After)})
	}
	s.waiting = nil
}

func (s *stream) after(sequence int64) []Delivery {
	var deliveries []Delivery
	for _, d := range s.ready {
		if d.Sequence > sequence {
			deliveries = append(deliveries, d)
		}
	}
	return deliveries
}

func (t *Trainer) fetch(ask duty.Ask[Query, Reply], f *Fetch) {
	s := t.streams[streamKey{f.Customer, f.Trainer}]
	if s == nil {
		ask.Reply(Reply{Err: core.NotRunError(core.CodeNotFound, "trainer %q has no open step", f.Trainer)})
		return
	}
	if deliveries := s.after(f.After); len(deliveries) > 0 {
		ask.Reply(Reply{Deliveries: deliveries})
		return
	}
	s.waiting = append(s.waiting, ask)
	t.loop.After(deliveryWait, func() { ask.Reply(Reply{}) })
}

func (t *Trainer) acknowledge(a *Ack) *core.Error {
	s := t.streams[streamKey{a.Ack.Customer, a.Trainer}]
	if s == nil || a.Ack.Cursor > s.sequence {
		return core.NotRunError(core.CodeConflict, "cursor %d was not handed out", a.Ack.Cursor)
	}
	s.cursor = max(s.cursor, a.Ack.Cursor)
	kept := s.ready[:0]
	for _, d := range s.ready {
		if d.Sequence > s.cursor {
			kept = append(kept, d)
		}
	}
	s.ready = kept
	return nil
}
