package caller

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// RouteKind determines how the requests of a route may be executed.
type RouteKind int

// Kinds of routes.
const (
	RouteAtMostOnce RouteKind = iota // a request may run at most once
	RouteRepeatable                  // a request may run more than once
	RouteStream                      // the answer is a stream of events
	RouteBatch                       // the requests are batch jobs of trainers
)

// Target is one of the services of a route, with its relative share of the
// requests.
type Target struct {
	Service string
	Weight  float64
}

// Route determines how the requests of a host and path prefix are handled.
type Route struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             RouteKind
	Targets          []Target
	Timeout          time.Duration // longest wait for an answer; 0 is unlimited
	LatencyObjective time.Duration // response-time objective
	MaxAttempts      int           // largest number of attempts for a request
	Resumable        bool          // a stream may be resumed at another backend server
	SingleVersion    bool          // one weight version must generate a whole sample
	AbandonAfter     time.Duration // age of a batch job from which its items may be abandoned
	Public           bool          // needs no key
	Rank             core.Rank     // of its requests, unless their customer has one
}

// Service is a service in the routing configuration.
type Service struct {
	Name   string
	Slots  int // requests that an engine runs at once; 0 for a plain service
	Models []string
}

// RouteSet is one version of the routing configuration. It is immutable.
type RouteSet struct {
	Version  int64
	Services map[string]Service
	// MaxBodyBytes and MaxHeaderBytes bound a request; 0 is unlimited.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// Customers are those who may send requests; nil if the configuration names none.
	Customers *Customers
	byHost    map[string][]Route
	// singleVersionServices are the services of routes with SingleVersion.
	singleVersionServices map[string]bool
}

// NewRouteSet returns the set with the routes grouped by host. MaxHeaderBytes is
// unlimited and Customers nil.
func NewRouteSet(version int64, routes []Route, services map[string]Service, maxBody int) *RouteSet {
	set := &RouteSet{Version: version, Services: services, MaxBodyBytes: maxBody, byHost: map[string][]Route{}, singleVersionServices: map[string]bool{}}
	for _, r := range routes {
		set.byHost[r.Host] = append(set.byHost[r.Host], r)
		for _, t := range r.Targets {
			set.singleVersionServices[t.Service] = set.singleVersionServices[t.Service] || r.SingleVersion
		}
	}
	return set
}

// RequiresSingleVersion reports whether one weight version must generate each
// sample of the service.
func (s *RouteSet) RequiresSingleVersion(service string) bool {
	return s.singleVersionServices[service]
}

// Match returns the route of the host with the longest prefix of the path, or nil.
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

// ChooseService returns a service of the route by weight. draw is a random number
// in [0, 1).
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

// leadsTo reports whether the route sends requests to the service.
func (r *Route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// RouteTable holds the newest routing configuration. Its version never decreases
// during the life of the process, in whatever order updates arrive.
type RouteTable struct {
	current atomic.Pointer[RouteSet]
}

// Current returns the configuration in force, or nil before the first one.
func (t *RouteTable) Current() *RouteSet { return t.current.Load() }

// Apply puts the configuration into force if its version is newer, and reports
// whether it did. Only one duty may call it.
func (t *RouteTable) Apply(s *RouteSet) bool {
	current := t.current.Load()
	if current != nil && s.Version <= current.Version {
		return false
	}
	t.current.Store(s)
	return true
}
