package backend

import (
	"fmt"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// EntryTerm is how long the entries of servers are relied upon after they were confirmed.
// The store is contacted each second, and an answer may take almost another one.
const EntryTerm = 3 * time.Second

// replacedRunBackoff is the time for which no stream continues on a server that was found
// to be another run than its entry describes. Its new entry arrives earlier at a daemon
// that is in step; at one that is not, the server is asked again.
const replacedRunBackoff = 2 * time.Second

// NeedsRun reports whether the server must be asked for its run before the request is
// sent. The entry of a server tells which software version it runs, but a server may have
// started again since with another version. That matters for answers that another server
// may have to continue: those that have begun are sent to the described run only, and
// those that begin are when the entry is relied upon no longer.
//
// A connection ends with the process at its other end. So the run that the server names
// on a connection is the one that gets the request sent on it afterwards, however long
// this daemon stands still between the two.
func (a *Attempt) NeedsRun() bool {
	r := a.Call.Request
	mayBeContinued := r.IsModelCall() || (r.Stream && r.Repeatable)
	return mayBeContinued && a.Software != "" && (a.MustAskRun || !a.Entry.IsValid())
}

// ReachRun applies the run that the server named; "" if it named none. The error says
// that the request must not be sent to it.
func (a *Attempt) ReachRun(run string) *core.Error {
	switch {
	case run == a.DescribedRun, run == "" && a.Entry.IsValid():
		return nil
	case run == "":
		run = fmt.Sprintf("%s at attempt %d of %s", a.Server, a.Number, a.Call.Request.ID)
	default:
		a.IsRunReplaced = true
	}
	a.Software = core.UnknownSoftware(run)
	if a.Resume.MayContinueOn(a.Software) {
		return nil
	}
	return core.NotRunError(core.CodeNotContinued, "the stream cannot continue on %s: its software version is not known for sure to be %q", run, a.Resume.Software)
}

// SetEntryTerm sets how long the entries of servers are relied upon after they were
// confirmed last (see ConfirmServers). The clock must include the time for which the host
// is suspended. Without a term the entries are relied upon for ever. SetEntryTerm must be
// called before the duty starts.
func (d *Dispatcher) SetEntryTerm(term time.Duration, now func() time.Time) {
	d.newEntryLease = func() *core.Lease { return core.NewLease(term, now) }
}

// ConfirmServers records that the servers of the newest table were all servers, with the
// newest entries, at the time.
func (d *Dispatcher) ConfirmServers(at time.Time) { d.servers.PutLatest(serverTable{confirmedAt: at}) }

func (d *Dispatcher) confirmEntries(at time.Time) {
	if d.newEntryLease == nil {
		return
	}
	for _, c := range d.listed {
		c.entry.Confirm(at)
	}
}

// renewEntryLease replaces the lease of an entry that describes another run than before.
// Attempts that were started by the former entry must not rely on the new one.
func (d *Dispatcher) renewEntryLease(c *Candidate) {
	if d.newEntryLease == nil {
		return
	}
	if c.entry != nil {
		c.entry.Revoke()
	}
	c.entry = d.newEntryLease()
}

// softwareOf returns the software version that began the answer that the request
// continues. A caller's stream may have begun on a run whose version the daemon did not
// know then; the entry of that run may be here by now. Parts of jobs are compared by their
// owner, which does not know it.
func (d *Dispatcher) softwareOf(r *core.Request) core.SoftwareVersion {
	run, isUnknown := r.Resume.Software.UnknownRun()
	if !isUnknown || r.IsModelCall() {
		return r.Resume.Software
	}
	for _, c := range d.listed {
		if c.Server.Description.Incarnation == run {
			return c.Server.Description.Software
		}
	}
	return r.Resume.Software
}

// recordReplacedRun records that an attempt found another run than the described one.
func (s *serverHealth) recordReplacedRun(a *Attempt, now time.Time) {
	if a.IsRunReplaced {
		s.replacedRun, s.replacedUntil = a.DescribedRun, now.Add(replacedRunBackoff)
	}
}

// isRunReplaced reports whether the server was lately found to be another run than its
// entry describes.
func (h *health) isRunReplaced(c *Candidate, now time.Time) bool {
	state := h.servers[c.Server.ID]
	return state != nil && now.Before(state.replacedUntil) && state.replacedRun == c.Server.Description.Incarnation
}
