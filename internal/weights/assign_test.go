package weights

import (
	"fmt"
	"testing"

	"github.com/berylfall/berylfall/internal/core"
)

func engines8(versions func(i int) map[string]core.Version) []Engine {
	var list []Engine
	for i := range 8 {
		list = append(list, Engine{ID: core.ServerID(fmt.Sprintf("e%d", i)), DataCentre: fmt.Sprintf("dc%d", i/2), Versions: versions(i)})
	}
	return list
}

func countModels(assigned map[core.ServerID]string) map[string]int {
	counts := map[string]int{}
	for _, m := range assigned {
		counts[m]++
	}
	return counts
}

// Guards against a model without engines in a data centre, and against a split
// that costs more loads than an even one.
func TestAssignSplitsEvenly(t *testing.T) {
	engines := engines8(func(int) map[string]core.Version { return map[string]core.Version{"a": 1, "b": 1} })
	assigned := NewAssigner().Assign(engines, []string{"b", "a"})
	if c := countModels(assigned); c["a"] != 4 || c["b"] != 4 {
		t.Fatalf("split %v", c)
	}
	for i := 0; i < 8; i += 2 {
		if assigned[engines[i].ID] == assigned[engines[i+1].ID] {
			t.Errorf("both engines of %s are kept for %s", engines[i].DataCentre, assigned[engines[i].ID])
		}
	}
}

// Guards against a new holder that moves engines from the model that they were
// loaded for, which costs a load each.
func TestAssignFollowsVersions(t *testing.T) {
	engines := engines8(func(i int) map[string]core.Version {
		if i < 4 {
			return map[string]core.Version{"a": 9, "b": 1}
		}
		return map[string]core.Version{"a": 2, "b": 4}
	})
	assigned := NewAssigner().Assign(engines, []string{"a", "b"})
	for i, e := range engines {
		want := map[bool]string{true: "a", false: "b"}[i < 4]
		if assigned[e.ID] != want {
			t.Errorf("engine %s is kept for %s, want %s", e.ID, assigned[e.ID], want)
		}
	}
}

// Guards against engines that change their model when another one leaves.
func TestAssignMovesFew(t *testing.T) {
	engines := engines8(func(int) map[string]core.Version { return map[string]core.Version{"a": 1, "b": 1} })
	a := NewAssigner()
	before := a.Assign(engines, []string{"a", "b"})
	after := a.Assign(engines[1:], []string{"a", "b"})
	for id, m := range after {
		if before[id] != m {
			t.Errorf("engine %s moved from %s to %s", id, before[id], m)
		}
	}
}
