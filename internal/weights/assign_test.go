package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

func engines8(versions func(i int) map[string]core.Version) []MultiModelEngine {
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

// Guards against a model without engines in a data centre, and against a split
// that costs more loads than an even one.
func TestAssignSplitsEvenly(t *testing.T) {
	engines := engines8(func(int) map[string]core.Version { return map[string]core.Version{"a": 1, "b": 1} })
	assigned := NewAssigner().Assign(engines, []string{"b", "a"}, nil)
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
	assigned := NewAssigner().Assign(engines, []string{"a", "b"}, nil)
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
	before := a.Assign(engines, []string{"a", "b"}, nil)
	after := a.Assign(engines[1:], []string{"a", "b"}, nil)
	for id, m := range after {
		if before[id] != m {
			t.Errorf("engine %s moved from %s to %s", id, before[id], m)
		}
	}
}

// Guards against a model whose steps come too late because its work is several
// times that of the others, and against engines that move back and forth when
// the demand varies a little.
func TestAssignFollowsDemand(t *testing.T) {
	var engines []MultiModelEngine
	for i := range 45 {
		engines = append(engines, MultiModelEngine{ID: core.ServerID(fmt.Sprintf("e%02d", i)), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	models := []string{"light", "heavy", "other"}
	a := NewAssigner()
	a.Assign(engines, models, nil)
	before := a.Assign(engines, models, map[string]float64{"light": 1536, "heavy": 3968, "other": 3584})
	// Half of the engines evenly, the other half by the work.
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

// Guards against a demand that never ends, so that a model keeps engines that
// others need.
func TestDemandForgets(t *testing.T) {
	var d Demand
	start := time.Unix(1000, 0)
	d.Add(start, "a", 5)
	d.Add(start.Add(demandWindow/2), "b", 7)
	if r := d.Recent(start.Add(demandWindow)); r["a"] != 5 || r["b"] != 7 {
		t.Errorf("recent %v", r)
	}
	if r := d.Recent(start.Add(demandWindow + time.Second)); r["a"] != 0 || r["b"] != 7 {
		t.Errorf("recent after the window %v", r)
	}
}

// Guards against a daemon that has just started and splits evenly what the
// holder before had split by the work.
func TestAssignKeepsTheSplitWithoutDemand(t *testing.T) {
	engines := engines8(func(i int) map[string]core.Version {
		if i < 5 {
			return map[string]core.Version{"a": 9, "b": 1}
		}
		return map[string]core.Version{"a": 2, "b": 4}
	})
	if c := countModels(NewAssigner().Assign(engines, []string{"a", "b"}, nil)); c["a"] != 5 || c["b"] != 3 {
		t.Errorf("split %v", c)
	}
}
