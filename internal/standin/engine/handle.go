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
	endless    string // kind of the response that never ends
}

func (s *Server) handleQuery(query duty.Query[params, reply]) {
	p := query.Params
	if p.order != nil {
		s.executeOrder(*p.order, func(err *core.Error) { query.Reply(reply{accepted: err == nil, err: err}) })
		return
	}
	r := reply{accepted: true}
	switch {
	case p.setFaults != nil:
		s.faults = *p.setFaults
	case p.load:
		r.load = s.load()
	case p.describe:
		r.server = s.model
	case p.counts:
		r.counts = s.snapshotCounts()
	case p.control != nil:
		r.request, r.accepted = s.executeCommand(*p.control)
	case p.exportKV != "":
		r.kv, r.accepted = s.exportKV(p.exportKV)
	case p.importKV != nil:
		s.importKV(*p.importKV)
	case p.events != nil:
		r.events = s.cache.eventsAfter(*p.events, s.loop.Clock().Now(), s.options.EventLag)
	case p.start != nil && s.faults.Refuse:
		r = reply{retryAfter: s.faults.RetryAfter}
	case p.start != nil:
		s.enqueue(p.start)
		r.endless = s.faults.Endless
	}
	s.cache.publish(s.loop.Clock().Now(), s.faults.DropCacheEvents)
	query.Reply(r)
}

func (s *Server) snapshotCounts() Counts {
	c := Counts{Runs: make(map[string]int, len(s.startCounts)), Cancels: s.cancelCount, Crashes: s.crashCount, StatusQueries: s.statusQueryCount}
	for id, n := range s.startCounts {
		c.Runs[id] = n
	}
	return c
}
