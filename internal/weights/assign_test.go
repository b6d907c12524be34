package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func eightEngines(versions func(i int) map[string]core.Version) []MultiModelEngine {
	var list []MultiModelEngine
	for i := range 8 {
		list = append(list, MultiModelEngine{ID: core.ServerID(fmt.Sprintf("e%d", i)), DataCentre: fmt.Sprintf("dc%d", i/2), Versions: versions(i)})
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

// Guards against a data centre without an engine for a model, and against an
// uneven assignment without demand.
func TestAssignSplitsEvenly(t *testing.T) {
	engines := eightEngines(func(int) map[string]core.Version { return map[string]core.Version{"a": 1, "b": 1} })
	assigned := NewAssigner().Assign(engines, []string{"b", "a"}, nil)
	if c := countModels(assigned); c["a"] != 4 || c["b"] != 4 {
		t.Fatalf("engines by model: %v, want 4 each", c)
	}
	for i := 0; i < 8; i += 2 {
		if assigned[engines[i].ID] == assigned[engines[i+1].ID] {
			t.Errorf("both engines of %s are assigned to %s", engines[i].DataCentre, assigned[engines[i].ID])
		}
	}
}

// Guards against a new lease holder that reassigns engines although they hold the
// newest version of a model. Each reassignment costs a load.
func TestAssignPrefersNewestVersions(t *testing.T) {
	engines := eightEngines(func(i int) map[string]core.Version {
		if i < 4 {
			return map[string]core.Version{"a": 9, "b": 1}
		}
		return map[string]core.Version{"a": 2, "b": 4}
	})
	assigned := NewAssigner().Assign(engines, []string{"a", "b"}, nil)
	for i, e := range engines {
		want := map[bool]string{true: "a", false: "b"}[i < 4]
		if assigned[e.ID] != want {
			t.Errorf("engine %s is assigned to %s, want %s", e.ID, assigned[e.ID], want)
		}
	}
}

// Guards against engines that are reassigned when another engine is removed.
func TestAssignMovesNoOtherEngines(t *testing.T) {
	engines := eightEngines(func(int) map[string]core.Version { return map[string]core.Version{"a": 1, "b": 1} })
	a := NewAssigner()
	before := a.Assign(engines, []string{"a", "b"}, nil)
	after := a.Assign(engines[1:], []string{"a", "b"}, nil)
	for id, m := range after {
		if before[id] != m {
			t.Errorf("engine %s moved from %s to %s", id, before[id], m)
		}
	}
}

// Guards against late steps of a model with several times the work of the others,
// and against engines that are reassigned back and forth when the demand varies
// slightly.
func TestAssignFollowsDemand(t *testing.T) {
	var engines []MultiModelEngine
	for i := range 45 {
		engines = append(engines, MultiModelEngine{ID: core.ServerID(fmt.Sprintf("e%02d", i)), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	models := []string{"light", "heavy", "other"}
	a := NewAssigner()
	a.Assign(engines, models, nil)
	before := a.Assign(engines, models, map[string]float64{"light": 1536, "heavy": 3968, "other": 3584})
	// Half of the engines are split evenly, the other half by demand.
	for m, share := range map[string]float64{"light": 11.3, "heavy": 17.3, "other": 16.4} {
		if c := float64(countModels(before)[m]); c < share-1 || c > share+1 {
			t.Errorf("%v engines for %s, its share is %v", c, m, share)
		}
	}
	after := a.Assign(engines, models, map[string]float64{"light": 1700, "heavy": 3800, "other": 3700})
	for id, m := range after {
		if before[id] != m {
			t.Errorf("engine %s moved from %s to %s", id, before[id], m)
		}
	}
	alone := countModels(a.Assign(engines, models, map[string]float64{"heavy": 100}))
	if alone["light"] < 7 || alone["other"] < 7 {
		t.Errorf("models without recent work have %v", alone)
	}
}

// Guards against demand that never expires, so that a model keeps engines that
// others need.
func TestDemandExpires(t *testing.T) {
	var d Demand
	start := time.Unix(1000, 0)
	d.Add(start, "a", 5)
	d.Add(start.Add(demandWindow/2), "b", 7)
	if r := d.Recent(start.Add(demandWindow)); r["a"] != 5 || r["b"] != 7 {
		t.Errorf("recent demand %v", r)
	}
	if r := d.Recent(start.Add(demandWindow + time.Second)); r["a"] != 0 || r["b"] != 7 {
		t.Errorf("recent demand after the window %v", r)
	}
}

// Guards against a daemon that has just started and reassigns engines evenly that
// the previous lease holder had assigned by demand.
func TestAssignKeepsAssignmentWithoutDemand(t *testing.T) {
	engines := eightEngines(func(i int) map[string]core.Version {
		if i < 5 {
			return map[string]core.Version{"a": 9, "b": 1}
		}
		return map[string]core.Version{"a": 2, "b": 4}
	})
	if c := countModels(NewAssigner().Assign(engines, []string{"a", "b"}, nil)); c["a"] != 5 || c["b"] != 3 {
		t.Errorf("engines by model: %v, want 5 for a and 3 for b", c)
	}
}
