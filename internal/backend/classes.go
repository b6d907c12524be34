package backend

import (
	"slices"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	// maxClasses bounds the classes of servers that are kept between changes
	// of the table.
	maxClasses = 1024
	// maxKinds is the number of kinds that a mask can tell apart.
	maxKinds = 64
)

// classKey is what the capability filters look at in a request. Requests with
// equal keys can run on the same servers.
type classKey struct {
	service, operation, model, adapter string
	minVersion                         core.Version
	kinds                              uint64 // permitted kinds, by number
	contextRank                        int    // context lengths in the table that are too short
}

// serverClass holds the servers that can run the requests of one key.
type serverClass struct {
	local   []*Candidate // in the daemon's own data centre
	remote  []*Candidate
	all     []*Candidate
	missing string // what no server has, when there are none
	capable []bool // by position in the index
}

// classIndex finds the servers for a request without running the filters on
// each of them. It is valid until the capabilities of a server change.
type classIndex struct {
	dataCentre string
	filters    []Filter
	servers    []*Candidate
	kinds      map[string]int
	contexts   []int // distinct context lengths, ascending
	classes    map[classKey]*serverClass
}

func newClassIndex(filters []Filter) *classIndex {
	return &classIndex{filters: filters, kinds: map[string]int{}, classes: map[classKey]*serverClass{}}
}

// rebuild takes the servers of a changed table.
func (x *classIndex) rebuild(servers []*Candidate) {
	x.servers = append(x.servers[:0], servers...)
	x.contexts = x.contexts[:0]
	clear(x.kinds)
	clear(x.classes)
	for i, c := range servers {
		c.position = i
		d := &c.Server.Description
		x.contexts = append(x.contexts, d.ContextTokens)
		if _, known := x.kinds[d.Kind]; !known {
			x.kinds[d.Kind] = len(x.kinds)
		}
	}
	slices.Sort(x.contexts)
	x.contexts = slices.Compact(x.contexts)
}

// find returns the servers that can run the request.
func (x *classIndex) find(r *core.Request) *serverClass {
	key, exact := x.key(r)
	if !exact {
		return x.build(r)
	}
	if class := x.classes[key]; class != nil {
		return class
	}
	if len(x.classes) >= maxClasses {
		clear(x.classes)
	}
	class := x.build(r)
	x.classes[key] = class
	return class
}

// key returns the request's key; exact is false when a mask cannot hold the kinds.
func (x *classIndex) key(r *core.Request) (k classKey, exact bool) {
	k = classKey{service: r.Service, operation: r.Operation}
	if r.IsModelCall() {
		k.model, k.adapter, k.minVersion = r.Model, r.Adapter, r.MinVersion
		k.contextRank, _ = slices.BinarySearch(x.contexts, contextNeeded(r))
	} else {
		k.adapter = r.Adapter
	}
	if len(r.BackendKinds) == 0 {
		k.kinds = ^uint64(0)
		return k, true
	}
	for _, kind := range r.BackendKinds {
		number, known := x.kinds[kind]
		if number >= maxKinds {
			return k, false
		}
		if known {
			k.kinds |= 1 << number
		}
	}
	return k, true
}

// build runs the filters on every server.
func (x *classIndex) build(r *core.Request) *serverClass {
	class := &serverClass{}
	kept := slices.Clone(x.servers)
	for _, f := range x.filters {
		kept = slices.DeleteFunc(kept, func(c *Candidate) bool { return !f.Keep(r, c) })
		if len(kept) == 0 {
			class.missing = f.Reason()
			return class
		}
	}
	class.capable = make([]bool, len(x.servers))
	for _, c := range kept {
		class.capable[c.position] = true
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
// server that is no longer listed has a stale position and is in no class.
func (x *classIndex) contains(class *serverClass, c *Candidate) bool {
	p := c.position
	return p < len(x.servers) && x.servers[p] == c && class.capable[p]
}

// sameCapability reports whether two descriptions pass the same filters.
func sameCapability(a, b *Server) bool {
	x, y := &a.Description, &b.Description
	return a.Leaving == b.Leaving && a.DataCentre == b.DataCentre &&
		x.Kind == y.Kind && x.Service == y.Service && x.Role == y.Role && x.ContextTokens == y.ContextTokens &&
		slices.Equal(x.Operations, y.Operations) && slices.EqualFunc(x.Models, y.Models, sameModel)
}

func sameModel(a, b ModelDescription) bool {
	return a.Name == b.Name && a.Version == b.Version && a.Loading == b.Loading && slices.Equal(a.Adapters, b.Adapters)
}
