// Package usage decides what the platform's accounting API is told: how many requests
// of each customer began to run at a backend server in each window of the wall clock.
//
// Counts owns the totals of this run of the daemon and sends them to the daemons that
// may report them. Reporter owns the totals that it received and, while this daemon
// holds the lease, the reports. Each is one duty. The wire encodings are elsewhere.
//
// A window has one content: the one that was created first in the store. A Reporter
// sends nothing else, and only while it holds the lease. So reports of one window are
// equal, whoever sends them and however often.
package usage

import (
	"context"
	"errors"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// windowTTL is the age of a window, from its end, from which it is neither counted
	// nor reported.
	windowTTL = time.Minute
	// Receivers is the number of daemons that hold the totals of each daemon.
	Receivers = 3
)

// Window is the number of a window. Window k begins k times the length of a window
// after the start of 1970.
type Window int64

// WindowAt returns the window that contains the time.
func WindowAt(at time.Time, length time.Duration) Window {
	n := at.UnixNano()
	w := n / int64(length)
	if n%int64(length) < 0 {
		w--
	}
	return Window(w)
}

// End returns the end of the window.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// isCurrent reports whether the window is neither too old nor in the future at the time.
func (w Window) isCurrent(at time.Time, length time.Duration) bool {
	end := w.End(length)
	return at.Before(end.Add(windowTTL)) && end.Before(at.Add(windowTTL+length))
}

// CustomerCounts are the requests of each customer that began to run.
type CustomerCounts map[core.CustomerID]int64

// Sum returns the requests of all customers.
func (c CustomerCounts) Sum() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// Totals are all requests that one run of a daemon has counted in a window so far.
type Totals struct {
	Run    string // of the daemon that counted
	Window Window
	Counts CustomerCounts
}

// Report is what the accounting API is told of a window.
type Report struct {
	Window Window
	Counts CustomerCounts
}

// Errors of the interfaces.
var (
	// ErrDecided means that the store holds a report of the window.
	ErrDecided = errors.New("usage: the report of the window is decided")
	// ErrNotSent means that the call was not sent, since it was not permitted any more.
	ErrNotSent = errors.New("usage: the lease does not permit the call any more")
	// ErrRateLimited means that the accounting API refused the call for its rate.
	ErrRateLimited = errors.New("usage: the accounting API refused the call for its rate")
)

// Peers are the daemons that exchange totals.
type Peers interface {
	// Ranked returns the addresses of all daemons, this one included, in the order in
	// which they receive totals; nil if the list of daemons is not known. All daemons
	// compute the same order. It must not block.
	Ranked() []string
	// SendTotals makes the daemon at the address hold the totals. It blocks.
	SendTotals(ctx context.Context, address string, totals []Totals) error
	// PullTotals returns the totals that the daemon at the address holds. It blocks.
	PullTotals(ctx context.Context, address string) ([]Totals, error)
}

// Store holds the reports. Its methods must not block; reply may be called on any
// goroutine, also before the method returns.
type Store interface {
	// CreateReport stores the report unless the store holds one of the window, which
	// ErrDecided says. After any other error either may be the case.
	CreateReport(r Report, reply func(error))
	// LoadReport reads the report of the window; found is false without an error if the
	// store holds none.
	LoadReport(w Window, reply func(r Report, found bool, err error))
	// RemoveReport removes the report of a window that is not sent any more.
	RemoveReport(w Window)
}

// Sender calls the accounting API.
type Sender interface {
	// Send sends the report under the fencing number. It calls mayStart directly before
	// the first byte is written, and sends nothing if that returns false. It blocks until
	// ctx ends at the latest; nil means that the report was accepted.
	Send(ctx context.Context, r Report, fence int64, mayStart func() bool) error
}
