package engine

import (
	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
)

// params are the parameters of a query to the duty. Exactly one field is set.
type params struct {
	start     *generation
	control   *command
	order     *backendhttp.OrderMessage
	exportKV  string
	importKV  *backendhttp.KVMessage
	events    *int64 // cache events with a higher sequence number
	load      bool
	describe  bool
	counts    bool
	setFaults *Faults
}

type reply struct {
	accepted   bool
	retryAfter int // seconds
	err        *core.Error
	load       backendhttp.LoadMessage
	server     backendhttp.ServerMessage
	request    backendhttp.RequestMessage
	events     []backendhttp.CacheEventMessage
	kv         backendhttp.KVMessage
	counts     Counts
}

func (s *Server) handleQuery(ask duty.Query[params, reply]) {
	q := ask.Params
	if q.order != nil {
		s.executeOrder(*q.order, func(err *core.Error) { ask.Reply(reply{accepted: err == nil, err: err}) })
		return
	}
	r := reply{accepted: true}
	switch {
	case q.setFaults != nil:
		s.faults = *q.setFaults
	case q.load:
		r.load = s.load()
	case q.describe:
		r.server = s.model
	case q.counts:
		r.counts = s.snapshotCounts()
	case q.control != nil:
		r.request, r.accepted = s.control(*q.control)
	case q.exportKV != "":
		r.kv, r.accepted = s.exportKV(q.exportKV)
	case q.importKV != nil:
		s.importKV(*q.importKV)
	case q.events != nil:
		r.events = s.cache.eventsAfter(*q.events, s.loop.Clock().Now(), s.options.EventLag)
	case q.start != nil && s.faults.Refuse:
		r = reply{retryAfter: s.faults.RetryAfter}
	case q.start != nil:
		s.enqueue(q.start)
	}
	s.cache.publish(s.loop.Clock().Now(), s.faults.DropCacheEvents)
	ask.Reply(r)
}

func (s *Server) snapshotCounts() Counts {
	c := Counts{Runs: make(map[string]int, len(s.startCounts)), Cancels: s.cancelCount, Crashes: s.crashCount, StatusQueries: s.statusQueryCount}
	for id, n := range s.startCounts {
		c.Runs[id] = n
	}
	return c
}
