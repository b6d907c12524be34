package backend

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	// minServersToBatch is the number of servers from which changes are
	// batched, for batchDelayPerServer times the number of servers. With 1,000
	// servers a delivery costs its receivers some milliseconds, and version
	// changes alone arrive many times a second.
	minServersToBatch     = 64
	batchDelayPerServer   = 100 * time.Microsecond
	directoryRingCapacity = 1024
	// lapsedEntryGrace is the time after the store's return within which the
	// servers renew entries that lapsed while it was unavailable.
	lapsedEntryGrace = 2300 * time.Millisecond
	// republishPeriod is the interval at which the list is delivered again, for
	// receivers that discard entries that are not repeated.
	republishPeriod = 2 * time.Second
)

// loadingTimeout bounds how long a model counts as loading. A load takes about
// a second; the daemon that would report its end may have stopped.
const loadingTimeout = 3 * time.Second

// ModelStatus is the status of a model on one engine, as known to the daemon
// that orders the load. It is newer than the engine's own entry.
type ModelStatus struct {
	Server  core.ServerID
	Model   string
	Version core.Version // 0 if unknown
	Loading bool
	// Observed reports that the engine named the version in its own answer,
	// which overrides versions reported before.
	Observed bool
}

// modelState is the newest status of a model on one incarnation of a server.
type modelState struct {
	incarnation  string
	version      core.Version
	loadingUntil time.Time
}

type modelKey struct {
	server core.ServerID
	model  string
}

// ServerChange is a change of one entry of the list of servers.
type ServerChange struct {
	ID      core.ServerID
	Server  Server
	Removed bool
}

// directoryChange is a batch of changes, or the time up to which all changes were
// submitted before.
type directoryChange struct {
	changes []ServerChange
	readAt  time.Time // zero for changes
}

// Directory is the duty that maintains the list of backend servers from the
// changes of their entries in the platform's store.
//
// It knows up to which time it has received all changes, and confirms the list to its
// receiver accordingly. After a time without that knowledge the servers first get
// lapsedEntryGrace to write their entries: one that started again while the store was
// unavailable still has its former entry when the store returns.
type Directory struct {
	loop              *duty.Loop
	log               *logrus.Entry
	deliver           func([]Server)
	confirm           func(at time.Time) // receives the time at which the delivered list was the newest; nil for no receiver
	changes           *ring.Ring[directoryChange]
	storeAvailability *ring.Ring[bool]
	modelStatus       *ring.Ring[[]ModelStatus]
	leavingNotices    *ring.Ring[LeavingNotice]

	servers     map[core.ServerID]Server
	modelStates map[modelKey]modelState
	leaving     map[LeavingNotice]time.Time // when the notice arrived
	lapsedUntil map[core.ServerID]time.Time // when a server with a lapsed entry is removed unless its entry is renewed
	// lapseGraceUntil is the end of the time in which a lapsed entry may be
	// renewed.
	lapseGraceUntil  time.Time
	isStoreAvailable bool
	publishPending   bool // a delivery is scheduled

	followed       *core.Lease // all changes up to its confirmation were received
	readAt         time.Time   // its newest confirmation
	reliedUponFrom time.Time   // when the servers have had time to write their entries
	isUpToDate     bool        // the list was confirmed within EntryTerm
	confirmedAt    time.Time   // newest confirmation that was passed on
}

// NewDirectory returns the duty. deliver receives the whole list, sorted by ID,
// after changes and each republishPeriod; it must not block. The clock must include the
// time for which the host is suspended.
func NewDirectory(clock duty.Clock, log *logrus.Entry, deliver func([]Server)) *Directory {
	d := &Directory{
		loop:              duty.New("directory", clock),
		log:               log,
		deliver:           deliver,
		changes:           ring.New[directoryChange]("directory.changes", directoryRingCapacity),
		storeAvailability: ring.New[bool]("directory.store", directoryRingCapacity),
		modelStatus:       ring.New[[]ModelStatus]("directory.notices", directoryRingCapacity),
		leavingNotices:    ring.New[LeavingNotice]("directory.leaving", directoryRingCapacity),
		servers:           map[core.ServerID]Server{},
		leaving:           map[LeavingNotice]time.Time{},
		modelStates:       map[modelKey]modelState{},
		lapsedUntil:       map[core.ServerID]time.Time{},
		isStoreAvailable:  true,
		followed:          core.NewLease(EntryTerm, clock.Now),
	}
	duty.On(d.loop, d.storeAvailability, d.handleStoreAvailability)
	duty.On(d.loop, d.changes, d.handleChange)
	duty.On(d.loop, d.modelStatus, d.handleModelStatus)
	duty.On(d.loop, d.leavingNotices, d.handleLeavingNotice)
	d.loop.Every(republishPeriod, d.publish)
	d.loop.Every(leavingNoticeTTL, d.forgetOldNotices)
	return d
}

// Loop returns the duty's loop, which the caller runs.
func (d *Directory) Loop() *duty.Loop { return d.loop }

// SubmitChanges queues changes of entries in their order. It returns false if
// the ring is full.
func (d *Directory) SubmitChanges(changes []ServerChange) bool {
	return d.changes.TryPut(directoryChange{changes: changes})
}

// SetStoreAvailable records whether the store is reachable. The newest value
// wins if the ring is full.
func (d *Directory) SetStoreAvailable(isAvailable bool) { d.storeAvailability.PutLatest(isAvailable) }

// UpdateModelStatus queues statuses of models in their order. If the ring is
// full, the oldest are discarded.
func (d *Directory) UpdateModelStatus(statuses []ModelStatus) { d.modelStatus.PutLatest(statuses) }

func (d *Directory) handleModelStatus(statuses []ModelStatus) {
	now := d.loop.Clock().Now()
	for _, status := range statuses {
		server, isListed := d.servers[status.Server]
		if !isListed {
			continue
		}
		key := modelKey{status.Server, status.Model}
		state := d.modelStates[key]
		if state.incarnation != server.Description.Incarnation {
			state = modelState{incarnation: server.Description.Incarnation}
		}
		switch {
		case status.Observed:
			state.version = status.Version
		case status.Loading:
			state.version, state.loadingUntil = max(state.version, status.Version), now.Add(loadingTimeout)
		default:
			state.version, state.loadingUntil = max(state.version, status.Version), time.Time{}
		}
		d.modelStates[key] = state
		d.log.WithFields(logrus.Fields{"backend_server": status.Server, "model": status.Model, "version": state.version, "loading": status.Loading, "observed": status.Observed}).Info("engine version updated")
	}
	d.schedulePublish()
}

// withModelStates returns the server with the reported status of its models. A
// version is never lower than the one in the server's entry, because an engine
// keeps its version across a restart.
func (d *Directory) withModelStates(s Server, now time.Time) Server {
	models := slices.Clone(s.Description.Models)
	for i := range models {
		state, ok := d.modelStates[modelKey{s.ID, models[i].Name}]
		if !ok || state.incarnation != s.Description.Incarnation {
			continue
		}
		models[i].Version = max(models[i].Version, state.version)
		models[i].Loading = now.Before(state.loadingUntil)
	}
	s.Description.Models = models
	return s
}

// removeServer removes a server and the status of its models.
func (d *Directory) removeServer(id core.ServerID) {
	delete(d.servers, id)
	for key := range d.modelStates {
		if key.server == id {
			delete(d.modelStates, key)
		}
	}
}

func (d *Directory) handleStoreAvailability(isAvailable bool) {
	if isAvailable && !d.isStoreAvailable {
		d.lapseGraceUntil = d.loop.Clock().Now().Add(lapsedEntryGrace)
		d.reliedUponFrom = d.lapseGraceUntil
	}
	d.isStoreAvailable = isAvailable
}

func (d *Directory) handleChanges(changes []ServerChange) {
	now := d.loop.Clock().Now()
	for _, c := range changes {
		log := d.log.WithField("backend_server", c.ID)
		previous, isListed := d.servers[c.ID]
		switch {
		case !c.Removed:
			delete(d.lapsedUntil, c.ID)
			d.servers[c.ID] = c.Server
			if !isListed || isNotable(&previous, &c.Server) {
				log.WithFields(logrus.Fields{"service": c.Server.Description.Service, "address": c.Server.Address, "software": c.Server.Description.Software, "leaving": c.Server.Leaving}).Info("backend server changed")
			}
		case !isListed:
		case !previous.Leaving && now.Before(d.lapseGraceUntil):
			d.lapsedUntil[c.ID] = d.lapseGraceUntil
			d.loop.After(d.lapseGraceUntil.Sub(now), d.removeLapsed)
			log.WithField("until", d.lapseGraceUntil).Info("backend server entry lapsed while the store was unavailable; the server is kept for now")
		default:
			d.removeServer(c.ID)
			log.Info("backend server removed")
		}
	}
	d.schedulePublish()
}

// isNotable reports whether the change of an entry is logged. Changes of models are not:
// they are frequent, and roll-outs log them.
func isNotable(before, after *Server) bool {
	b, a := &before.Description, &after.Description
	return before.Leaving != after.Leaving || before.Address != after.Address || b.Incarnation != a.Incarnation || b.Software != a.Software
}

func (d *Directory) removeLapsed() {
	now := d.loop.Clock().Now()
	for id, at := range d.lapsedUntil {
		if at.After(now) {
			continue
		}
		delete(d.lapsedUntil, id)
		d.removeServer(id)
		d.log.WithField("backend_server", id).Info("backend server removed")
	}
	d.schedulePublish()
}

// schedulePublish batches changes when there are many servers, because the cost
// of a delivery to its receivers is proportional to the number of servers.
func (d *Directory) schedulePublish() {
	if len(d.servers) < minServersToBatch {
		d.publish()
		return
	}
	if d.publishPending {
		return
	}
	d.publishPending = true
	d.loop.After(time.Duration(len(d.servers))*batchDelayPerServer, d.publish)
}

// publish delivers the servers in the order of their IDs.
func (d *Directory) publish() {
	d.publishPending = false
	d.logUpToDate()
	now := d.loop.Clock().Now()
	list := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		s.Leaving = d.isLeaving(&s)
		list = append(list, d.withModelStates(s, now))
	}
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	d.deliver(list)
	d.passConfirmation()
}
