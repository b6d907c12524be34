// Package objectapi is a stand-in for the platform's object API and host list.
package objectapi

import (
	"context"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/platform/platformhttp"
	"github.com/berylfall/berylfall/internal/transport"
)

// hangBound ends a call that a fault leaves without an answer, so that the
// stand-in's handlers do not pile up.
const hangBound = 30 * time.Second

// askCapacity bounds the calls that wait for the stand-in's duty.
const askCapacity = 8192

// keptChanges is how many changes a watch can go back.
const keptChanges = 4096

type method int

const (
	methodGet method = iota
	methodList
	methodPut
	methodDelete
	methodWatch
	methodHosts
	methodSetHosts
	methodSetFaults
	methodCounts
	methodCompact
)

type query struct {
	method method
	key    string
	write  platform.Write
	after  int64
	hosts  []platform.Host
	faults Faults
}

type answer struct {
	status  int
	object  platform.Object
	listing platform.Listing
	hosts   []platform.Host
	counts  Counts
	delay   time.Duration
}

// Counts is the number of calls so far.
type Counts struct {
	Reads    int64
	Writes   int64
	Watches  int64
	Refused  int64
	Waiting  int64 // watches waiting now
	Revision int64
}

type waiter struct {
	ask    duty.Query[query, answer]
	prefix string
	after  int64
	hung   bool // never told of changes
}

// Server is the stand-in. One duty owns its state.
type Server struct {
	loop *duty.Loop
	asks *duty.QueryRing[query, answer]
	http *transport.Server

	objects   map[string]platform.Object
	changes   []platform.Object
	revision  int64
	compacted int64 // highest revision that a watch can no longer go back to
	waiters   map[int]waiter
	nextID    int
	forgotten map[string]bool // keys whose tombstones were compacted
	hosts     []platform.Host
	listed    []platform.Host // what the host list shows, which may lag behind hosts
	faults    Faults
	counts    Counts
	total     bucket
	reads     bucket
	writes    bucket
}

// Start listens on the address and serves on the runner's threads.
func Start(address string, clock duty.Clock, runner *duty.Runner) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{MaxBodyBytes: 2 * platform.MaxValueBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:    duty.New("standin.objectapi", clock),
		asks:    duty.NewQueryRing[query, answer]("objectapi.asks", askCapacity),
		http:    listener,
		objects: map[string]platform.Object{},
		waiters: map[int]waiter{},

		forgotten: map[string]bool{},
	}
	duty.OnQuery(s.loop, s.asks, s.handle)
	s.routes()
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	if err := runner.Serve("standin.objectapi.http", listener.Serve, listener.Close); err != nil {
		return nil, err
	}
	return s, nil
}

// URL returns the base address of the stand-in.
func (s *Server) URL() string { return "http://" + s.http.Address() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(ctx context.Context, f Faults) {
	s.ask(ctx, query{method: methodSetFaults, faults: f})
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(ctx context.Context, hosts []platform.Host) {
	s.ask(ctx, query{method: methodSetHosts, hosts: hosts})
}

// Compact forgets the changes up to now and the tombstones, so that a watch
// from an earlier revision must list again.
func (s *Server) Compact(ctx context.Context) { s.ask(ctx, query{method: methodCompact}) }

// Counts returns the calls so far.
func (s *Server) Counts(ctx context.Context) Counts {
	return s.ask(ctx, query{method: methodCounts}).counts
}

func (s *Server) ask(ctx context.Context, q query) answer {
	a, err := s.asks.Do(ctx, q)
	if err != nil {
		return answer{status: consts.StatusServiceUnavailable}
	}
	return a
}

func (s *Server) routes() {
	r := s.http.Router()
	r.GET("/v1/objects", func(ctx context.Context, c *app.RequestContext) {
		s.serve(ctx, c, query{method: methodList, key: c.Query("prefix")})
	})
	r.GET("/v1/objects/*key", func(ctx context.Context, c *app.RequestContext) {
		s.serve(ctx, c, query{method: methodGet, key: keyOf(c)})
	})
	r.PUT("/v1/objects/*key", func(ctx context.Context, c *app.RequestContext) {
		s.serveWrite(ctx, c, methodPut)
	})
	r.DELETE("/v1/objects/*key", func(ctx context.Context, c *app.RequestContext) {
		s.serveWrite(ctx, c, methodDelete)
	})
	r.GET("/v1/watch", func(ctx context.Context, c *app.RequestContext) {
		after, _ := strconv.ParseInt(c.Query("after"), 10, 64)
		s.serve(ctx, c, query{method: methodWatch, key: c.Query("prefix"), after: after})
	})
	r.GET("/v1/hosts", func(ctx context.Context, c *app.RequestContext) {
		s.serve(ctx, c, query{method: methodHosts})
	})
}

func keyOf(c *app.RequestContext) string {
	key := strings.TrimPrefix(c.Param("key"), "/")
	if decoded, err := url.PathUnescape(key); err == nil {
		return decoded
	}
	return key
}

func (s *Server) serveWrite(ctx context.Context, c *app.RequestContext, m method) {
	var body platformhttp.WriteBody
	if err := transport.ReadJSON(c, &body); err != nil {
		transport.WriteError(c, err)
		return
	}
	if len(body.Value) > platform.MaxValueBytes {
		c.SetStatusCode(consts.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseInt(string(c.GetHeader(platformhttp.HeaderIfVersion)), 10, 64)
	if err != nil {
		expected = platform.AnyVersion
	}
	s.serve(ctx, c, query{method: m, key: keyOf(c), write: platform.Write{
		Key:       keyOf(c),
		IfVersion: expected,
		Token:     string(c.GetHeader(platformhttp.HeaderWriteToken)),
		Value:     body.Value,
	}})
}

func (s *Server) serve(ctx context.Context, c *app.RequestContext, q query) {
	a := s.ask(ctx, q)
	if a.delay > 0 {
		time.Sleep(a.delay)
	}
	if a.status != consts.StatusOK {
		c.SetStatusCode(a.status)
		return
	}
	switch q.method {
	case methodList, methodWatch:
		c.JSON(a.status, a.listing)
	case methodHosts:
		c.JSON(a.status, a.hosts)
	default:
		c.JSON(a.status, a.object)
	}
}

func (s *Server) handle(ask duty.Query[query, answer]) {
	q := ask.Params
	switch q.method {
	case methodSetHosts:
		s.setHosts(q.hosts)
		ask.Reply(answer{status: consts.StatusOK})
		return
	case methodSetFaults:
		s.setFaults(q.faults)
		ask.Reply(answer{status: consts.StatusOK})
		return
	case methodCompact:
		s.compact()
		ask.Reply(answer{status: consts.StatusOK})
		return
	case methodCounts:
		s.counts.Waiting = int64(len(s.waiters))
		s.counts.Revision = s.revision
		ask.Reply(answer{status: consts.StatusOK, counts: s.counts})
		return
	}
	if s.faults.Down {
		s.counts.Refused++
		ask.Reply(answer{status: consts.StatusServiceUnavailable})
		return
	}
	if s.faults.Hang {
		s.hang(ask)
		return
	}
	if !s.takeToken(q.method) {
		s.counts.Refused++
		ask.Reply(answer{status: consts.StatusTooManyRequests})
		return
	}
	s.carryOut(ask)
}

func (s *Server) carryOut(ask duty.Query[query, answer]) {
	q := ask.Params
	switch q.method {
	case methodGet:
		s.counts.Reads++
		o, ok := s.objects[q.key]
		if !ok || o.Deleted {
			ask.Reply(answer{status: consts.StatusNotFound, delay: s.faults.Delay})
			return
		}
		ask.Reply(answer{status: consts.StatusOK, object: o, delay: s.faults.Delay})
	case methodList:
		s.counts.Reads++
		ask.Reply(answer{status: consts.StatusOK, listing: s.list(q.key), delay: s.faults.Delay})
	case methodPut, methodDelete:
		s.counts.Writes++
		a := s.writeWithFaults(q)
		a.delay = s.faults.Delay
		ask.Reply(a)
	case methodWatch:
		s.counts.Watches++
		s.watch(ask)
	case methodHosts:
		s.counts.Reads++
		ask.Reply(answer{status: consts.StatusOK, hosts: append([]platform.Host{}, s.listed...), delay: s.faults.Delay})
	}
}

func (s *Server) list(prefix string) platform.Listing {
	l := platform.Listing{Objects: []platform.Object{}, Revision: s.revision}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && !s.forgotten[key] {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l
}

func (s *Server) write(q query) answer {
	current := s.objects[q.key]
	live := current.Version
	if current.Deleted {
		live = platform.Absent
	}
	if q.write.IfVersion != platform.AnyVersion && q.write.IfVersion != live {
		return answer{status: consts.StatusConflict}
	}
	if q.method == methodDelete && live == platform.Absent {
		return answer{status: consts.StatusNotFound}
	}
	s.revision++
	next := platform.Object{
		Key:      q.key,
		Version:  current.Version + 1,
		Revision: s.revision,
		Token:    q.write.Token,
		Value:    q.write.Value,
		Deleted:  q.method == methodDelete,
	}
	s.objects[q.key] = next
	delete(s.forgotten, q.key)
	s.record(next)
	return answer{status: consts.StatusOK, object: next}
}

func (s *Server) record(o platform.Object) {
	s.changes = append(s.changes, o)
	if len(s.changes) > keptChanges {
		s.compacted = s.changes[0].Revision
		s.changes = s.changes[1:]
	}
	for id, w := range s.waiters {
		if strings.HasPrefix(o.Key, w.prefix) && !w.hung {
			delete(s.waiters, id)
			w.ask.Reply(answer{status: consts.StatusOK, listing: s.since(w.prefix, w.after)})
		}
	}
}

func (s *Server) since(prefix string, after int64) platform.Listing {
	l := platform.Listing{Objects: []platform.Object{}, Revision: s.revision}
	for _, o := range s.changes {
		if o.Revision > after && strings.HasPrefix(o.Key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

func (s *Server) watch(ask duty.Query[query, answer]) {
	q := ask.Params
	if s.faults.HangWatches {
		s.wait(ask, true)
		return
	}
	if q.after < s.compacted {
		ask.Reply(answer{status: consts.StatusGone})
		return
	}
	if l := s.since(q.key, q.after); len(l.Objects) > 0 {
		ask.Reply(answer{status: consts.StatusOK, listing: l})
		return
	}
	s.wait(ask, false)
}

// wait keeps the watch until a change or the end of its time.
func (s *Server) wait(ask duty.Query[query, answer], hung bool) {
	q := ask.Params
	s.nextID++
	id := s.nextID
	s.waiters[id] = waiter{ask: ask, prefix: q.key, after: q.after, hung: hung}
	bound := platformhttp.MaxWatchWait
	if hung {
		bound = hangBound
	}
	s.loop.After(bound, func() {
		if w, waiting := s.waiters[id]; waiting {
			delete(s.waiters, id)
			w.ask.Reply(answer{status: consts.StatusOK, listing: platform.Listing{Revision: w.after}})
		}
	})
}
