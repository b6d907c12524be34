// Package objectapi is a stand-in for the platform's object API and host list. It
// decides conditional writes, revisions, which changes a watch receives, and which
// faults apply. The duty standin.objectapi owns its state. Each successful write
// increments the revision, and the versions of a key never repeat, even after a
// deletion.
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

// hangLimit is the time after which a call that a fault leaves without a reply ends,
// so that the HTTP handlers do not accumulate.
const hangLimit = 30 * time.Second

// queryRingCapacity is the maximum number of queries in the duty's ring.
const queryRingCapacity = 8192

// maxChanges is the number of latest changes from which a watch can start.
const maxChanges = 4096

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

type params struct {
	method method
	key    string
	write  platform.Write
	after  int64
	hosts  []platform.Host
	faults Faults
}

type reply struct {
	status  int
	object  platform.Object
	listing platform.Listing
	hosts   []platform.Host
	counts  Counts
	delay   time.Duration
}

// Counts has the numbers of calls since Start.
type Counts struct {
	Reads          int64
	Writes         int64
	Watches        int64
	Rejected       int64
	PendingWatches int64
	Revision       int64
}

type watcher struct {
	query  duty.Query[params, reply]
	prefix string
	after  int64
	hung   bool // by Faults.HangWatches: not notified of changes
}

// Server is the stand-in. The duty standin.objectapi owns its state.
type Server struct {
	loop    *duty.Loop
	queries *duty.QueryRing[params, reply]
	http    *transport.Server

	objects             map[string]platform.Object
	changes             []platform.Object
	revision            int64
	compacted           int64 // watches after a lower revision fail with 410
	watchers            map[int]watcher
	nextID              int
	compactedTombstones map[string]bool // deleted keys whose tombstones are no longer listed
	hosts               []platform.Host
	listedHosts         []platform.Host // the list that callers get, which may lag behind hosts
	faults              Faults
	counts              Counts
	totalLimit          tokenBucket
	readLimit           tokenBucket
	writeLimit          tokenBucket
}

// Start listens on the address and runs the duty and the HTTP server on runner.
func Start(address string, clock duty.Clock, runner *duty.Runner) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{MaxBodyBytes: 2 * platform.MaxValueBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:     duty.New("standin.objectapi", clock),
		queries:  duty.NewQueryRing[params, reply]("objectapi.asks", queryRingCapacity),
		http:     listener,
		objects:  map[string]platform.Object{},
		watchers: map[int]watcher{},

		compactedTombstones: map[string]bool{},
	}
	duty.OnQuery(s.loop, s.queries, s.handleQuery)
	s.routes()
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	if err := runner.Serve("standin.objectapi.http", listener.Serve, listener.Close); err != nil {
		return nil, err
	}
	return s, nil
}

// URL returns the base URL of the stand-in.
func (s *Server) URL() string { return "http://" + s.http.Address() }

// SetFaults replaces all faults and resets the rate limits. It returns once they
// are in effect.
func (s *Server) SetFaults(ctx context.Context, f Faults) {
	s.query(ctx, params{method: methodSetFaults, faults: f})
}

// SetHosts replaces the host list. Faults may delay when callers see it.
func (s *Server) SetHosts(ctx context.Context, hosts []platform.Host) {
	s.query(ctx, params{method: methodSetHosts, hosts: hosts})
}

// Compact discards all changes and tombstones. Watches from an earlier revision fail
// with 410, and the client must list again.
func (s *Server) Compact(ctx context.Context) { s.query(ctx, params{method: methodCompact}) }

// Counts returns the numbers of calls since Start and the current revision.
func (s *Server) Counts(ctx context.Context) Counts {
	return s.query(ctx, params{method: methodCounts}).counts
}

func (s *Server) query(ctx context.Context, p params) reply {
	a, err := s.queries.Do(ctx, p)
	if err != nil {
		return reply{status: consts.StatusServiceUnavailable}
	}
	return a
}

func (s *Server) routes() {
	r := s.http.Router()
	r.GET("/v1/objects", func(ctx context.Context, c *app.RequestContext) {
		s.handleRequest(ctx, c, params{method: methodList, key: c.Query("prefix")})
	})
	r.GET("/v1/objects/*key", func(ctx context.Context, c *app.RequestContext) {
		s.handleRequest(ctx, c, params{method: methodGet, key: keyParameter(c)})
	})
	r.PUT("/v1/objects/*key", func(ctx context.Context, c *app.RequestContext) {
		s.handleWrite(ctx, c, methodPut)
	})
	r.DELETE("/v1/objects/*key", func(ctx context.Context, c *app.RequestContext) {
		s.handleWrite(ctx, c, methodDelete)
	})
	r.GET("/v1/watch", func(ctx context.Context, c *app.RequestContext) {
		after, _ := strconv.ParseInt(c.Query("after"), 10, 64)
		s.handleRequest(ctx, c, params{method: methodWatch, key: c.Query("prefix"), after: after})
	})
	r.GET("/v1/hosts", func(ctx context.Context, c *app.RequestContext) {
		s.handleRequest(ctx, c, params{method: methodHosts})
	})
}

func keyParameter(c *app.RequestContext) string {
	key := strings.TrimPrefix(c.Param("key"), "/")
	if decoded, err := url.PathUnescape(key); err == nil {
		return decoded
	}
	return key
}

func (s *Server) handleWrite(ctx context.Context, c *app.RequestContext, m method) {
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
	s.handleRequest(ctx, c, params{method: m, key: keyParameter(c), write: platform.Write{
		Key:       keyParameter(c),
		IfVersion: expected,
		Token:     string(c.GetHeader(platformhttp.HeaderWriteToken)),
		Value:     body.Value,
	}})
}

func (s *Server) handleRequest(ctx context.Context, c *app.RequestContext, p params) {
	a := s.query(ctx, p)
	if a.delay > 0 {
		time.Sleep(a.delay)
	}
	if a.status != consts.StatusOK {
		c.SetStatusCode(a.status)
		return
	}
	switch p.method {
	case methodList, methodWatch:
		c.JSON(a.status, a.listing)
	case methodHosts:
		c.JSON(a.status, a.hosts)
	default:
		c.JSON(a.status, a.object)
	}
}

func (s *Server) handleQuery(query duty.Query[params, reply]) {
	p := query.Params
	switch p.method {
	case methodSetHosts:
		s.setHosts(p.hosts)
		query.Reply(reply{status: consts.StatusOK})
		return
	case methodSetFaults:
		s.setFaults(p.faults)
		query.Reply(reply{status: consts.StatusOK})
		return
	case methodCompact:
		s.compact()
		query.Reply(reply{status: consts.StatusOK})
		return
	case methodCounts:
		s.counts.PendingWatches = int64(len(s.watchers))
		s.counts.Revision = s.revision
		query.Reply(reply{status: consts.StatusOK, counts: s.counts})
		return
	}
	if s.faults.Down {
		s.counts.Rejected++
		query.Reply(reply{status: consts.StatusServiceUnavailable})
		return
	}
	if s.faults.Hang {
		s.delayReply(query)
		return
	}
	if !s.checkRateLimits(p.method) {
		s.counts.Rejected++
		query.Reply(reply{status: consts.StatusTooManyRequests})
		return
	}
	s.execute(query)
}

func (s *Server) execute(query duty.Query[params, reply]) {
	p := query.Params
	switch p.method {
	case methodGet:
		s.counts.Reads++
		o, ok := s.objects[p.key]
		if !ok || o.Deleted {
			query.Reply(reply{status: consts.StatusNotFound, delay: s.faults.Delay})
			return
		}
		query.Reply(reply{status: consts.StatusOK, object: o, delay: s.faults.Delay})
	case methodList:
		s.counts.Reads++
		query.Reply(reply{status: consts.StatusOK, listing: s.list(p.key), delay: s.faults.Delay})
	case methodPut, methodDelete:
		s.counts.Writes++
		a := s.writeWithFaults(p)
		a.delay = s.faults.Delay
		query.Reply(a)
	case methodWatch:
		s.counts.Watches++
		s.watch(query)
	case methodHosts:
		s.counts.Reads++
		query.Reply(reply{status: consts.StatusOK, hosts: append([]platform.Host{}, s.listedHosts...), delay: s.faults.Delay})
	}
}

func (s *Server) list(prefix string) platform.Listing {
	l := platform.Listing{Objects: []platform.Object{}, Revision: s.revision}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && !s.compactedTombstones[key] {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l
}

func (s *Server) write(p params) reply {
	current := s.objects[p.key]
	liveVersion := current.Version
	if current.Deleted {
		liveVersion = platform.Absent
	}
	if p.write.IfVersion != platform.AnyVersion && p.write.IfVersion != liveVersion {
		return reply{status: consts.StatusConflict}
	}
	if p.method == methodDelete && liveVersion == platform.Absent {
		return reply{status: consts.StatusNotFound}
	}
	s.revision++
	next := platform.Object{
		Key:      p.key,
		Version:  current.Version + 1,
		Revision: s.revision,
		Token:    p.write.Token,
		Value:    p.write.Value,
		Deleted:  p.method == methodDelete,
	}
	s.objects[p.key] = next
	delete(s.compactedTombstones, p.key)
	s.recordChange(next)
	return reply{status: consts.StatusOK, object: next}
}

func (s *Server) recordChange(o platform.Object) {
	s.changes = append(s.changes, o)
	if len(s.changes) > maxChanges {
		s.compacted = s.changes[0].Revision
		s.changes = s.changes[1:]
	}
	for id, w := range s.watchers {
		if strings.HasPrefix(o.Key, w.prefix) && !w.hung {
			delete(s.watchers, id)
			w.query.Reply(reply{status: consts.StatusOK, listing: s.changesAfter(w.prefix, w.after)})
		}
	}
}

func (s *Server) changesAfter(prefix string, after int64) platform.Listing {
	l := platform.Listing{Objects: []platform.Object{}, Revision: s.revision}
	for _, o := range s.changes {
		if o.Revision > after && strings.HasPrefix(o.Key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

func (s *Server) watch(query duty.Query[params, reply]) {
	p := query.Params
	if s.faults.HangWatches {
		s.addWatcher(query, true)
		return
	}
	if p.after < s.compacted {
		query.Reply(reply{status: consts.StatusGone})
		return
	}
	if l := s.changesAfter(p.key, p.after); len(l.Objects) > 0 {
		query.Reply(reply{status: consts.StatusOK, listing: l})
		return
	}
	s.addWatcher(query, false)
}

// addWatcher keeps the query until a change answers it or its time is up:
// MaxWatchWait, or hangLimit if it hangs.
func (s *Server) addWatcher(query duty.Query[params, reply], hung bool) {
	p := query.Params
	s.nextID++
	id := s.nextID
	s.watchers[id] = watcher{query: query, prefix: p.key, after: p.after, hung: hung}
	bound := platformhttp.MaxWatchWait
	if hung {
		bound = hangLimit
	}
	s.loop.After(bound, func() {
		if w, waiting := s.watchers[id]; waiting {
			delete(s.watchers, id)
			w.query.Reply(reply{status: consts.StatusOK, listing: platform.Listing{Revision: w.after}})
		}
	})
}
