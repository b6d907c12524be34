package backend

import (
	"slices"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// maxClasses bounds the cached classes of servers.
	maxClasses = 1024
	// maxKindBits is the number of kinds that the bit mask of a classKey can
	// represent.
	maxKindBits = 64
)

// classKey is the part of a request that the capability filters examine.
// Requests with equal keys can run on the same servers.
type classKey struct {
	service, operation, model, adapter string
	minVersion                         core.Version
	kinds                              uint64 // bit mask of the permitted kinds
	contextRank                        int    // number of distinct context lengths in the table that are too short
}

// serverClass holds the servers that can run the requests of one key.
type serverClass struct {
	local              []*Candidate // in the daemon's own data centre
	remote             []*Candidate
	all                []*Candidate
	missingRequirement string // requirement that no server meets, if the class is empty
	capable            []bool // by position in the index
}

// classIndex finds the servers for a request without evaluating the filters on
// each of them. It is valid until the capabilities of a server change.
type classIndex struct {
	dataCentre string
	filters    []Filter
	servers    []*Candidate
	kinds      map[string]int // number of the bit of each kind in classKey.kinds
	contexts   []int          // distinct context lengths, ascending
	classes    map[classKey]*serverClass
}

func newClassIndex(filters []Filter) *classIndex {
	return &classIndex{filters: filters, kinds: map[string]int{}, classes: map[classKey]*serverClass{}}
}

// rebuild replaces the servers and discards the cached classes.
func (x *classIndex) rebuild(servers []*Candidate) {
	x.servers = append(x.servers[:0], servers...)
	x.contexts = x.contexts[:0]
	clear(x.kinds)
	clear(x.classes)
	for i, c := range servers {
		c.indexPosition = i
		d := &c.Server.Description
		x.contexts = append(x.contexts, d.ContextTokens)
		if _, known := x.kinds[d.Kind]; !known {
			x.kinds[d.Kind] = len(x.kinds)
		}
	}
	slices.Sort(x.contexts)
	x.contexts = slices.Compact(x.contexts)
}

// classFor returns the servers that can run the request.
func (x *classIndex) classFor(r *core.Request) *serverClass {
	key, exact := x.keyFor(r)
	if !exact {
		return x.buildClass(r)
	}
	if class := x.classes[key]; class != nil {
		return class
	}
	if len(x.classes) >= maxClasses {
		clear(x.classes)
	}
	class := x.buildClass(r)
	x.classes[key] = class
	return class
}

// keyFor returns the request's key; exact is false when the bit mask cannot
// represent the permitted kinds.
func (x *classIndex) keyFor(r *core.Request) (k classKey, exact bool) {
	k = classKey{service: r.Service, operation: r.Operation}
	if r.IsModelCall() {
		k.model, k.adapter, k.minVersion = r.Model, r.Adapter, r.MinVersion
		k.contextRank, _ = slices.BinarySearch(x.contexts, requiredContextTokens(r))
	} else {
		k.adapter = r.Adapter
	}
	if len(r.BackendKinds) == 0 {
		k.kinds = ^uint64(0)
		return k, true
	}
	for _, kind := range r.BackendKinds {
		number, known := x.kinds[kind]
		if number >= maxKindBits {
			return k, false
		}
		if known {
			k.kinds |= 1 << number
		}
	}
	return k, true
}

// buildClass evaluates the filters on every server.
func (x *classIndex) buildClass(r *core.Request) *serverClass {
	class := &serverClass{}
	matching := slices.Clone(x.servers)
	for _, f := range x.filters {
		matching = slices.DeleteFunc(matching, func(c *Candidate) bool { return !f.Matches(r, c) })
		if len(matching) == 0 {
			class.missingRequirement = f.Requirement()
			return class
		}
	}
	class.capable = make([]bool, len(x.servers))
	for _, c := range matching {
		class.capable[c.indexPosition] = true
		class.all = append(class.all, c)
		if c.Server.DataCentre == x.dataCentre || x.dataCentre == "" {
			class.local = append(class.local, c)
		} else {
			class.remote = append(class.remote, c)
		}
	}
	return class
}

// contains reports whether the server can run the requests of the class. A
// server that is no longer listed has a stale position and belongs to no class.
func (x *classIndex) contains(class *serverClass, c *Candidate) bool {
	p := c.indexPosition
	return p < len(x.servers) && x.servers[p] == c && class.capable[p]
}

// hasSameCapability reports whether two servers pass the same filters.
func hasSameCapability(a, b *Server) bool {
	x, y := &a.Description, &b.Description
	return a.Leaving == b.Leaving && a.DataCentre == b.DataCentre &&
		x.Kind == y.Kind && x.Service == y.Service && x.Role == y.Role && x.ContextTokens == y.ContextTokens &&
		slices.Equal(x.Operations, y.Operations) && slices.EqualFunc(x.Models, y.Models, isSameModel)
}

func isSameModel(a, b ModelDescription) bool {
	return a.Name == b.Name && a.Version == b.Version && a.Loading == b.Loading && slices.Equal(a.Adapters, b.Adapters)
}
