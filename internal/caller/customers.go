package caller

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"github.com/berylfall/berylfall/internal/core"
)

// Customer is a customer that the configuration names, with the keys of its callers.
type Customer struct {
	Name core.CustomerID
	Keys []string
	Rank core.Rank // goes before the rank of a route; unranked takes that of the route
}

// Customers are the customers of one version of the configuration. They are immutable.
type Customers struct {
	byKey  map[string]*Customer // nil for a key of two customers
	byName map[core.CustomerID]*Customer
}

// CustomerFault says why a customer, or a part of its entry, is not used. It holds no key.
type CustomerFault struct {
	Position int    // of the entry in the configuration, from 0
	Name     string // as the configuration has it; empty if it has none
	Err      *core.Error
}

// maxCustomerNameBytes bounds a name, which is sent as a header.
const maxCustomerNameBytes = 256

// NewCustomers returns the customers that can be used, and the faults of the others. A
// fault concerns one entry or one key and leaves the rest as it is. The positions of the
// faults are those in list. A key that is ""
// stands for one that could not be decoded and is reported as a fault.
func NewCustomers(list []Customer) (*Customers, []CustomerFault) {
	c := &Customers{byKey: make(map[string]*Customer, len(list)), byName: make(map[core.CustomerID]*Customer, len(list))}
	var faults []CustomerFault
	for i := range list {
		report := func(err *core.Error) {
			faults = append(faults, CustomerFault{Position: i, Name: string(list[i].Name), Err: err})
		}
		if err := c.checkName(list[i].Name); err != nil {
			report(err)
			continue
		}
		c.add(list[i], report)
	}
	return c, faults
}

func (c *Customers) checkName(name core.CustomerID) *core.Error {
	hasControl := strings.IndexFunc(string(name), unicode.IsControl) >= 0
	isOdd := hasControl || strings.TrimSpace(string(name)) != string(name)
	switch {
	case name == "" || isOdd || len(name) > maxCustomerNameBytes:
		return core.InvalidError("name", "", fmt.Sprintf("1 to %d bytes without control characters or spaces around", maxCustomerNameBytes), "is no name of a customer")
	case c.byName[name] != nil:
		return core.InvalidError("name", "", "a name that no other customer has", "is that of an earlier entry")
	}
	return nil
}

func (c *Customers) add(customer Customer, report func(*core.Error)) {
	c.byName[customer.Name] = &customer
	for i, key := range customer.Keys {
		holder, isHeld := c.byKey[key]
		switch {
		case key == "":
			report(keyError(i, "a text that is not empty", "is no key"))
		case !isHeld:
			c.byKey[key] = &customer
		case holder != &customer:
			c.byKey[key] = nil
			report(keyError(i, "a key that no other customer has", "is also a key of another customer and authorizes neither"))
		}
	}
	// byKey has the keys; no second copy of them is kept.
	customer.Keys = nil
}

// keyError names a key by its position: a key must not reach the log.
func keyError(position int, allowed, reason string) *core.Error {
	return core.InvalidError("keys["+strconv.Itoa(position)+"]", "", allowed, reason)
}

// Identity says on whose behalf a request runs.
type Identity struct {
	Customer core.CustomerID // "" where there are no customers, and for a public route without a known key
	Rank     core.Rank
}

// Refusals of Authorize. They are shared: nobody changes them.
var (
	errNoKey      = core.NotRunError(core.CodeUnauthorized, "the request carries no key")
	errUnknownKey = core.NotRunError(core.CodeUnauthorized, "no customer holds the key of the request")
)

// Authorize decides whether a request with the key may use the route, and for whom. key
// is "" without one. route is nil for a request that needs none, which is never public.
// Without customers in the configuration each request is authorized. It allocates nothing.
func (s *RouteSet) Authorize(route *Route, key string) (Identity, *core.Error) {
	if s.Customers == nil {
		return Identity{Rank: s.RankOf(route, "")}, nil
	}
	if holder := s.Customers.byKey[key]; holder != nil {
		return Identity{Customer: holder.Name, Rank: s.RankOf(route, holder.Name)}, nil
	}
	switch {
	case route != nil && route.Public:
		return Identity{Rank: route.Rank}, nil
	case key == "":
		return Identity{}, errNoKey
	}
	return Identity{}, errUnknownKey
}

// RankOf returns the rank of a customer's request on the route: that of the customer goes
// before that of the route. route may be nil, and customer "".
func (s *RouteSet) RankOf(route *Route, customer core.CustomerID) core.Rank {
	if s.Customers != nil {
		if c := s.Customers.byName[customer]; c != nil && c.Rank != core.Unranked {
			return c.Rank
		}
	}
	if route == nil {
		return core.Unranked
	}
	return route.Rank
}
