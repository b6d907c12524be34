package batch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// endBound is the time after the acknowledged end of a job from which no item of it may
// be sent.
const endBound = 3 * time.Second

// endJobElsewhere makes another daemon take the job over and end it, and returns the
// time of the acknowledgement.
func (cluster *testCluster) endJobElsewhere(d *testDaemon, former Owner) time.Time {
	cluster.t.Helper()
	end := Query{Kind: QueryEndJob, ID: "a", Reload: true, ReplaceOwner: former}
	for range 20 {
		if cluster.query(d, end).Status == StatusOK {
			return cluster.clock.Now()
		}
	}
	cluster.t.Fatal("the job could not be ended")
	return time.Time{}
}

// Guards against items that a former owner sends seconds after the acknowledged end of
// their job: it is cut off from the store while another daemon takes the job over and
// ends it, and its checks of ownership stay refused or lost for a while afterwards.
func TestNoItemIsSentLongAfterTheEndOfItsJob(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(faultSeeds) {
		cluster := newCluster(t, 2, seed)
		former, other := cluster.daemons[0], cluster.daemons[1]
		cluster.callStatus = func(*core.Call) int { return 503 } // items are sent again and again
		cluster.query(former, submitQuery("a", 4))
		cluster.wait(time.Duration(cluster.random.Int64N(int64(2 * time.Second))))
		former.disconnected, former.hangs = true, seed%2 == 0
		cluster.wait(time.Duration(cluster.random.Int64N(int64(4 * time.Second))))
		ended := cluster.endJobElsewhere(other, former.manager.self)
		reconnectAt := ended.Add(time.Duration(cluster.random.Int64N(int64(8 * time.Second))))
		for cluster.clock.Now().Before(ended.Add(10 * time.Second)) {
			if former.disconnected && !cluster.clock.Now().Before(reconnectAt) {
				former.disconnected = false
				former.manager.RecheckOwnership()
			}
			cluster.step()
		}
		for _, d := range cluster.daemons {
			after := d.lastSubmit.Sub(ended)
			longest = max(longest, after)
			if after > endBound {
				t.Errorf("seed %d: daemon %s sends an item %v after the end of its job, at most %v is allowed", seed, d.address, after, endBound)
			}
		}
	}
	t.Logf("longest time between the end of a job and the last item sent: %v", longest)
}

// Guards against an owner that relies on the state that it read before its result list
// was loaded: the job is ended by another daemon meanwhile.
func TestLeaseOfLoadedJobCountsFromItsState(t *testing.T) {
	cluster := newCluster(t, 1, 3)
	d := cluster.daemons[0]
	cluster.callStatus = func(*core.Call) int { return 503 }
	cluster.query(d, submitQuery("a", 4))
	d.start() // it owns the job again once it has read the state and the results
	d.holds = func(op platform.Op) bool { return op.Kind == platform.OpList }
	replies, err := d.manager.queries.Send(t.Context(), Query{Kind: QueryResults, ID: "a"})
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if len(d.heldReplies) == 0 {
			cluster.step()
		}
	}
	if len(d.heldReplies) != 1 {
		t.Fatal("the result list is not read")
	}
	cluster.wait(ownershipTerm)
	d.disconnected, d.lastSubmit = true, time.Time{}
	d.heldReplies[0]()
	cluster.step()
	if _, ok := replies.TryTake(); !ok || d.manager.countOpenJobs() != 1 {
		t.Fatal("the job is not loaded")
	}
	if !d.lastSubmit.IsZero() {
		t.Errorf("items are sent %v after the state of their job was read", ownershipTerm)
	}
}

// Guards against an owner that sends items right after its host was suspended, before it
// has asked whether it still owns their job: all its timers are due then.
func TestSuspendedOwnerAsksBeforeItSends(t *testing.T) {
	cluster := newCluster(t, 2, 4)
	former, other := cluster.daemons[0], cluster.daemons[1]
	cluster.callStatus = func(*core.Call) int { return 503 }
	cluster.query(former, submitQuery("a", 4))
	value, err := json.Marshal(state{Owner: other.manager.self, Ended: true})
	if err != nil {
		t.Fatal(err)
	}
	cluster.store.apply(platform.Op{Kind: platform.OpPut, Key: statePrefix + "a", Value: value, IfVersion: platform.Absent})
	former.suspended, former.lastSubmit = 5*time.Second, time.Time{}
	cluster.wait(time.Second)
	if !former.lastSubmit.IsZero() {
		t.Error("the owner sends items of an ended job after it was suspended")
	}
	if former.manager.countOpenJobs() != 0 {
		t.Error("the owner does not learn that the job has ended")
	}
}
