package caller

import (
	"strings"
	"sync/atomic"
	"time"
)

// RouteKind says what may be done with the requests of a route.
type RouteKind int

// Kinds of routes.
const (
	RouteAtMostOnce RouteKind = iota // a request may run at most once
	RouteRepeatable                  // a request may run more than once
	RouteStream                      // the answer is a stream of events
	RouteBatch                       // requests are batch jobs of trainers
)

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Route is where the requests of a host and path go.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             RouteKind
	Targets          []Target
	Timeout          time.Duration // longest wait for an answer; 0 is no bound
	LatencyObjective time.Duration // response-time objective
	MaxAttempts      int           // backend servers that one request is sent to
	Resumable        bool          // a stream may go on at another server
	SingleVersion    bool          // one weight version makes a whole sample
	AbandonAfter     time.Duration // an item of a batch job may be given up so long after its submission
}

// Service is a service as the configuration describes it.
type Service struct {
	Name   string
	Slots  int // requests that an engine runs at once; 0 for a plain service
	Models []string
}

// RouteSet is one version of the routing configuration. It does not change.
type RouteSet struct {
	Version  int64
	Services map[string]Service
	// MaxBodyBytes and MaxHeader bound a request in bytes; 0 is no bound.
	MaxBodyBytes   int
	MaxHeaderBytes int
	byHost         map[string][]Route
	// single are the services of routes on which one weight version makes a
	// whole sample.
	single map[string]bool
}

// NewRouteSet returns the set of the routes.
func NewRouteSet(version int64, routes []Route, services map[string]Service, maxBody int) *RouteSet {
	set := &RouteSet{Version: version, Services: services, MaxBodyBytes: maxBody, byHost: map[string][]Route{}, single: map[string]bool{}}
	for _, r := range routes {
		set.byHost[r.Host] = append(set.byHost[r.Host], r)
		for _, t := range r.Targets {
			set.single[t.Service] = set.single[t.Service] || r.SingleVersion
		}
	}
	return set
}

// RequiresSingleVersion reports whether samples of the service are made by one
// weight version each.
func (s *RouteSet) RequiresSingleVersion(service string) bool { return s.single[service] }

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (s *RouteSet) Match(host, path string) *Route {
	var best *Route
	routes := s.byHost[host]
	for i := range routes {
		r := &routes[i]
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// ChooseService returns a service of the route by weight; draw is in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	draw *= total
	for _, t := range r.Targets {
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// RouteTable holds the newest configuration. Its version never falls during
// the life of the process, whatever order the changes arrive in.
type RouteTable struct {
	current atomic.Pointer[RouteSet]
}

// Current returns the configuration in force, or nil when none is known yet.
func (t *RouteTable) Current() *RouteSet { return t.current.Load() }

// Apply puts a newer version into force and reports whether it did. One duty
// calls it.
func (t *RouteTable) Apply(s *RouteSet) bool {
	current := t.current.Load()
	if current != nil && s.Version <= current.Version {
		return false
	}
	t.current.Store(s)
	return true
}
