package usage

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	begunCapacity = 8192
	sentCapacity  = 1024
	// MaxSendDelay bounds the time from a count until its message is sent. Counts of this
	// time are lost with a daemon that is killed.
	MaxSendDelay = 200 * time.Millisecond
	// peerTimeout bounds one message to another daemon.
	peerTimeout = 500 * time.Millisecond
	// failedReceiverPause is how long another daemon takes the place of one that did not
	// answer. The first one has the counts again before their report is decided.
	failedReceiverPause = 2 * time.Second
	// prunePeriod is the time between removals of old windows and request ids.
	prunePeriod = 30 * time.Second
)

// Begun says that a backend server began to run a request of a customer.
type Begun struct {
	Request  core.RequestID
	Customer core.CustomerID
	SentAt   time.Time // wall-clock time at which the request was sent to the server
}

// errNoRoom means that this daemon could not hold its own totals.
var errNoRoom = errors.New("usage: no room for the totals")

// countedRequest identifies a request that was counted. Callers choose its ID, so that of
// another customer may be the same.
type countedRequest struct {
	customer core.CustomerID
	id       core.RequestID
}

// countedWindow is what this run of the daemon counted in a window.
type countedWindow struct {
	counts  CustomerCounts
	changes int // grows with each request
}

// receiver is a daemon that holds the totals of this one.
type receiver struct {
	known      map[Window]int // changes that it has
	isSending  bool
	pausedTill time.Time
}

// totalsSent is the outcome of a message with totals.
type totalsSent struct {
	address string
	sent    map[Window]int // changes that the message contained
	err     error
}

// CountsOptions are what the duty needs.
type CountsOptions struct {
	Clock  duty.Clock // wall-clock time
	Window time.Duration
	Run    string // names this run of the daemon
	Self   string // address of this daemon, as the others know it
	Peers  Peers
	// Deliver receives the totals if this daemon is one of the receivers, and reports
	// whether there was room for them.
	Deliver func([]Totals) bool
	TryGo   func(f func()) bool // runs a blocking function on a pool
	// OnDropped is called if a request is not counted because a ring is full.
	OnDropped func()
}

// Counts is the duty that counts the requests of this run of the daemon and sends the
// totals to Receivers daemons. Totals only grow, and the larger one holds, so a message
// may be lost, repeated or overtaken by a later one.
type Counts struct {
	o           CountsOptions
	loop        *duty.Loop
	begun       *ring.Ring[Begun]
	sent        *ring.Ring[totalsSent]
	windows     map[Window]*countedWindow
	receivers   map[string]*receiver
	seen        map[countedRequest]struct{}
	seenBefore  map[countedRequest]struct{} // those of the period before
	isScheduled bool
	hasUnsent   atomic.Bool
}

// NewCounts returns the duty.
func NewCounts(o CountsOptions) *Counts {
	c := &Counts{
		o: o, loop: duty.New("usage.counts", o.Clock),
		begun:   ring.New[Begun]("usage.begun", begunCapacity),
		sent:    ring.New[totalsSent]("usage.sent", sentCapacity),
		windows: map[Window]*countedWindow{}, receivers: map[string]*receiver{},
		seen: map[countedRequest]struct{}{}, seenBefore: map[countedRequest]struct{}{},
	}
	duty.On(c.loop, c.begun, c.handleBegun)
	duty.On(c.loop, c.sent, c.handleSent)
	c.loop.Every(prunePeriod, c.prune)
	return c
}

// Loop returns the duty's loop.
func (c *Counts) Loop() *duty.Loop { return c.loop }

// Record counts the request unless it was counted before. It never blocks; a full ring
// drops the request.
func (c *Counts) Record(b Begun) {
	if !c.begun.TryPut(b) {
		c.o.OnDropped()
	}
}

// HasUnsent reports whether a receiver lacks counts. Any goroutine may call it.
func (c *Counts) HasUnsent() bool { return c.hasUnsent.Load() || c.begun.Stats().Depth > 0 }

func (c *Counts) handleBegun(b Begun) {
	request := countedRequest{customer: b.Customer, id: b.Request}
	if b.Customer == "" || c.isSeen(request) {
		return
	}
	c.seen[request] = struct{}{}
	w := WindowAt(b.SentAt, c.o.Window)
	counted := c.windows[w]
	if counted == nil {
		counted = &countedWindow{counts: CustomerCounts{}}
		c.windows[w] = counted
	}
	counted.counts[b.Customer]++
	counted.changes++
	c.hasUnsent.Store(true)
	c.schedule()
}

func (c *Counts) isSeen(r countedRequest) bool {
	_, now := c.seen[r]
	_, before := c.seenBefore[r]
	return now || before
}

// schedule sends the totals within MaxSendDelay, together with those that change
// meanwhile.
func (c *Counts) schedule() {
	if !c.isScheduled {
		c.isScheduled = true
		c.loop.After(MaxSendDelay, c.send)
	}
}

func (c *Counts) send() {
	c.isScheduled = false
	chosen := c.chooseReceivers()
	for _, address := range chosen {
		c.sendTo(address)
	}
	c.hasUnsent.Store(c.isAnyUnsent(chosen))
	if len(chosen) == 0 {
		c.schedule()
	}
}

// chooseReceivers returns the first daemons of the rank that answer.
func (c *Counts) chooseReceivers() []string {
	now := c.loop.Clock().Now()
	var chosen []string
	for _, address := range c.o.Peers.Ranked() {
		if len(chosen) == Receivers {
			break
		}
		if r := c.receivers[address]; r == nil || !now.Before(r.pausedTill) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

func (c *Counts) isAnyUnsent(addresses []string) bool {
	for _, address := range addresses {
		if r := c.receivers[address]; r == nil || len(c.unsentTo(r)) > 0 {
			return true
		}
	}
	return len(addresses) == 0 && len(c.windows) > 0
}

func (c *Counts) unsentTo(r *receiver) []Window {
	var list []Window
	for w, counted := range c.windows {
		if r.known[w] < counted.changes {
			list = append(list, w)
		}
	}
	return list
}

func (c *Counts) sendTo(address string) {
	r := c.receivers[address]
	if r == nil {
		r = &receiver{known: map[Window]int{}}
		c.receivers[address] = r
	}
	windows := c.unsentTo(r)
	if r.isSending || len(windows) == 0 {
		return
	}
	e := totalsSent{address: address, sent: map[Window]int{}}
	totals := make([]Totals, 0, len(windows))
	for _, w := range windows {
		e.sent[w] = c.windows[w].changes
		totals = append(totals, Totals{Run: c.o.Run, Window: w, Counts: maps.Clone(c.windows[w].counts)})
	}
	r.isSending = true
	if address == c.o.Self {
		if !c.o.Deliver(totals) {
			e.err = errNoRoom
		}
		c.handleSent(e)
		return
	}
	started := c.o.TryGo(func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		e.err = c.o.Peers.SendTotals(ctx, address, totals)
		c.sent.TryPut(e)
	})
	if !started {
		r.isSending = false
		c.schedule()
	}
}

// handleSent notes what a receiver has. Another daemon takes the place of one that did
// not answer.
func (c *Counts) handleSent(e totalsSent) {
	r := c.receivers[e.address]
	if r == nil {
		return
	}
	r.isSending = false
	if e.err != nil {
		// The daemon may have started again and lost what it had.
		r.known = map[Window]int{}
		r.pausedTill = c.loop.Clock().Now().Add(failedReceiverPause)
		c.schedule()
		c.loop.After(failedReceiverPause, c.schedule)
		return
	}
	for w, changes := range e.sent {
		r.known[w] = max(r.known[w], changes)
	}
	isUnsent := c.isAnyUnsent(c.chooseReceivers())
	c.hasUnsent.Store(isUnsent)
	if isUnsent {
		c.schedule()
	}
}

// prune removes what is too old. Request ids are kept for one to two periods.
func (c *Counts) prune() {
	now := c.loop.Clock().Now()
	c.seen, c.seenBefore = map[countedRequest]struct{}{}, c.seen
	maps.DeleteFunc(c.windows, func(w Window, _ *countedWindow) bool { return !w.isCurrent(now, c.o.Window) })
	for _, r := range c.receivers {
		maps.DeleteFunc(r.known, func(w Window, _ int) bool { return c.windows[w] == nil })
	}
}
