package caller

import (
	"fmt"
	"testing"

	"github.com/berylfall/berylfall/internal/core"
)

func newCustomerRoutes(list ...Customer) (*RouteSet, []CustomerFault) {
	set := NewRouteSet(1, []Route{{Host: "h", Prefix: "/a/", Rank: 6}, {Host: "h", Prefix: "/p/", Public: true, Rank: 6}}, nil, 0)
	customers, faults := NewCustomers(list)
	set.Customers = customers
	return set, faults
}

// Guards against a request that is authorized by the key of nobody or of two customers,
// that runs for another customer, or whose route goes before its customer's priority.
func TestAuthorize(t *testing.T) {
	set, faults := newCustomerRoutes(Customer{Name: "a", Keys: []string{"k1", "k1", "both"}, Rank: 1}, Customer{Name: "b", Keys: []string{"k2", "both"}})
	if len(faults) != 1 || faults[0].Name != "b" {
		t.Errorf("faults %+v, want one of the key of two customers", faults)
	}
	open := NewRouteSet(1, nil, nil, 0)
	plain, public := set.Match("h", "/a/x"), set.Match("h", "/p/x")
	for _, c := range []struct {
		what  string
		set   *RouteSet
		route *Route
		key   string
		want  Identity
		err   *core.Error
	}{
		{"key", set, plain, "k1", Identity{"a", 1}, nil},
		{"key of a customer without a rank", set, plain, "k2", Identity{"b", 6}, nil},
		{"key of two customers", set, plain, "both", Identity{}, errUnknownKey},
		{"unknown key", set, plain, "k", Identity{}, errUnknownKey},
		{"no key", set, plain, "", Identity{}, errNoKey},
		{"public without a key", set, public, "", Identity{"", 6}, nil},
		{"public with an unknown key", set, public, "k", Identity{"", 6}, nil},
		{"public with a key", set, public, "k1", Identity{"a", 1}, nil},
		{"no route", set, nil, "k2", Identity{"b", 0}, nil},
		{"no route, no key", set, nil, "", Identity{}, errNoKey},
		{"no customers", open, plain, "k", Identity{"", 6}, nil},
		{"no customers, no route", open, nil, "", Identity{}, nil},
	} {
		if got, err := c.set.Authorize(c.route, c.key); got != c.want || err != c.err {
			t.Errorf("%s: %+v, %v; want %+v, %v", c.what, got, err, c.want, c.err)
		}
	}
	if allocations := testing.AllocsPerRun(100, func() { _, _ = set.Authorize(plain, "k1"); _, _ = set.Authorize(plain, "k") }); allocations > 0 {
		t.Errorf("%v allocations for a decision", allocations)
	}
}

// Guards against an odd customer that takes others with it, or that is used under a name
// that cannot be sent as a header.
func TestOddCustomersAreRefusedAlone(t *testing.T) {
	for _, name := range []string{"", " ", "a ", "a\r\nX: y", "a\x00", fmt.Sprintf("%257d", 1)} {
		set, faults := newCustomerRoutes(Customer{Name: core.CustomerID(name), Keys: []string{"k1"}}, Customer{Name: "b", Keys: []string{"", "k2"}}, Customer{Name: "b", Keys: []string{"k3"}})
		if len(faults) != 3 || faults[0].Position != 0 || faults[1].Position != 1 || faults[2].Position != 2 {
			t.Errorf("%q: faults %+v", name, faults)
		}
		for key, isGood := range map[string]bool{"k1": false, "k2": true, "k3": false, "": false} {
			if _, err := set.Authorize(nil, key); (err == nil) != isGood {
				t.Errorf("%q: key %q: %v", name, key, err)
			}
		}
	}
}

// BenchmarkAuthorize compares a decision among 10,000 customers with one among two.
func BenchmarkAuthorize(b *testing.B) {
	for _, count := range []int{2, 10_000} {
		var list []Customer
		for i := range count {
			list = append(list, Customer{Name: core.CustomerID(fmt.Sprint("c", i)), Keys: []string{fmt.Sprintf("key-%032d", i)}})
		}
		set, _ := newCustomerRoutes(list...)
		route := set.Match("h", "/a/x")
		b.Run(fmt.Sprintf("customers=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if _, err := set.Authorize(route, list[i%count].Keys[0]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
