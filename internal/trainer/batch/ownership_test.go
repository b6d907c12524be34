package batch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

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
	d.holds = func(op platform.Op) bool { return strings.HasPrefix(op.Key, resultPrefix) }
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

// Guards against a former owner that runs the items of an ended job after the sweeper has
// removed the job: without a state object the accepting daemon counts as the owner.
func TestSweptJobIsNotOwnedAgain(t *testing.T) {
	cluster := newCluster(t, 2, 5)
	former, other := cluster.daemons[0], cluster.daemons[1]
	cluster.rules.AbandonAfter = 0
	cluster.callStatus = func(*core.Call) int { return 503 }
	cluster.query(former, submitQuery("a", 4))
	former.disconnected = true
	cluster.wait(4 * time.Second)
	cluster.endJobElsewhere(other, former.manager.self)
	cluster.wait(time.Minute)
	// The sweeper removes all objects of the job, the state last.
	for key := range cluster.store.objects {
		if strings.Contains(key, "/a") {
			delete(cluster.store.objects, key)
		}
	}
	former.lastSubmit = time.Time{}
	former.disconnected = false
	former.manager.RecheckOwnership()
	cluster.wait(2 * time.Second)
	if !former.lastSubmit.IsZero() {
		t.Error("the former owner sends items of a job that was ended and swept")
	}
}

// Guards against items sent long after the acknowledged end of their job although replies
// are late or lost and writes are carried out later, at all daemons.
func TestNoItemIsSentLongAfterTheEndUnderFaults(t *testing.T) {
	longest, ends := time.Duration(0), 0
	for seed := range uint64(faultSeeds) {
		cluster := newCluster(t, 3, seed)
		former := cluster.daemons[0]
		cluster.callStatus = func(*core.Call) int { return 503 }
		if cluster.query(former, submitQuery("a", 4)).Status != StatusOK {
			continue
		}
		cluster.faultRate = 0.5
		var ended time.Time
		nextCut := map[*testDaemon]time.Time{}
		for cluster.clock.Now().Before(time.Unix(1e9, 0).Add(40 * time.Second)) {
			for _, d := range cluster.daemons {
				if cluster.clock.Now().Before(nextCut[d]) {
					continue
				}
				nextCut[d] = cluster.clock.Now().Add(time.Duration(cluster.random.Int64N(int64(6 * time.Second))))
				was := d.disconnected
				d.disconnected, d.hangs = cluster.random.IntN(2) == 0, cluster.random.IntN(2) == 0
				if was && !d.disconnected {
					d.manager.RecheckOwnership()
				}
			}
			cluster.step()
			if ended.IsZero() && cluster.random.IntN(100) == 0 {
				d := cluster.daemons[cluster.random.IntN(3)]
				q := Query{Kind: QueryResults, ID: "a"}
				if cluster.random.IntN(3) == 0 {
					q.Kind = QueryEndJob
				}
				if cluster.queryViaOwner(d, q).Status == StatusOK && q.Kind == QueryEndJob {
					ended = cluster.clock.Now()
					ends++
				}
			}
		}
		if ended.IsZero() {
			continue
		}
		for _, d := range cluster.daemons {
			after := d.lastSubmit.Sub(ended)
			longest = max(longest, after)
			if after > endBound {
				t.Errorf("seed %d: daemon %s sends an item %v after the end", seed, d.address, after)
			}
		}
	}
	t.Logf("%d ends, longest %v", ends, longest)
}

// Guards against runs and reward calls that dispatch may send whatever the ownership of
// their job: their requests have no lease, or it is not revoked when the ownership ends.
func TestCallsCarryTheLeaseOfTheirOwnership(t *testing.T) {
	for _, isReward := range []bool{false, true} {
		cluster := newCluster(t, 2, 9)
		d, other := cluster.daemons[0], cluster.daemons[1]
		d.callsStall, other.callsStall = true, true
		cluster.query(d, submitQuery("a", 1))
		if isReward {
			d.endCalls() // the text is complete
			cluster.wait(100 * time.Millisecond)
		}
		if len(d.calls) != 1 || (d.calls[0].Request.Operation != "") != isReward {
			t.Fatalf("reward %v: %d calls", isReward, len(d.calls))
		}
		lease := d.calls[0].Request.Lease
		if lease == nil || !lease.IsValid() {
			t.Fatalf("reward %v: the request has no valid lease", isReward)
		}
		cluster.endJobElsewhere(other, d.manager.self)
		cluster.wait(2 * time.Second) // within the term of the last confirmation
		if _, known := lease.Age(); known {
			t.Errorf("reward %v: the lease is not revoked", isReward)
		}
	}
}

// Guards against a lease that counts from the answer of the store in place of the question,
// at a check, a takeover and the creation of a job.
func TestLeaseCountsFromTheQuestion(t *testing.T) {
	const late = time.Second
	isPut := func(prefix string) func(platform.Op) bool {
		return func(op platform.Op) bool { return op.Kind == platform.OpPut && strings.HasPrefix(op.Key, prefix) }
	}
	isCheck := func(op platform.Op) bool { return op.Kind == platform.OpGet && strings.HasPrefix(op.Key, statePrefix) }
	for name, holds := range map[string]func(platform.Op) bool{
		"check": isCheck, "takeover": isPut(statePrefix), "creation": isPut(jobPrefix),
	} {
		cluster := newCluster(t, 2, 10)
		d, other := cluster.daemons[0], cluster.daemons[1]
		d.callsStall, other.callsStall = true, true
		send := func(q Query) {
			if _, err := d.manager.queries.Send(t.Context(), q); err != nil {
				t.Fatal(err)
			}
		}
		switch name {
		case "creation":
			d.holds = holds
			send(submitQuery("a", 1))
		case "check":
			cluster.query(d, submitQuery("a", 1))
			d.holds = holds
		case "takeover":
			cluster.query(other, submitQuery("a", 1))
			d.holds = holds
			send(Query{Kind: QueryItemBody, ID: "a", Item: "a.0", ReplaceOwner: other.manager.self})
		}
		for range 200 {
			if len(d.heldReplies) == 0 {
				cluster.step()
			}
		}
		if len(d.heldReplies) != 1 {
			t.Fatalf("%s: %d replies held", name, len(d.heldReplies))
		}
		d.holds = nil
		cluster.wait(late)
		d.heldReplies[0]()
		cluster.wait(100 * time.Millisecond)
		e := d.manager.jobs["a"]
		if e == nil || e.phase != phaseOwned {
			t.Fatalf("%s: the job is not owned", name)
		}
		if age, ok := e.lease.Age(); !ok || age < late {
			t.Errorf("%s: the lease is %v old (%v), want at least %v", name, age, ok, late)
		}
	}
}

// Guards against items that wait for the next tick, or for their retry, although the
// ownership of their job is confirmed again.
func TestItemsStartOnceTheirJobIsConfirmed(t *testing.T) {
	const soon = 4 * stepDuration // well below tickPeriod
	for offset := time.Duration(0); offset < tickPeriod; offset += stepDuration {
		cluster := newCluster(t, 1, 12)
		d := cluster.daemons[0]
		cluster.endOverride = func(c *core.Call) bool {
			c.Fail(core.NotRunError(core.CodeLeaseExpired, "expired"))
			return true
		}
		d.callsStall = true
		cluster.query(d, submitQuery("a", 1))
		d.disconnected = true
		cluster.wait(2*ownershipTerm + offset)
		d.callsStall = false
		cluster.step() // the item's call ends
		d.disconnected = false
		d.manager.RecheckOwnership()
		back := cluster.clock.Now()
		cluster.wait(soon)
		if d.lastSubmit.Before(back) {
			t.Errorf("offset %v: the item has not started %v after the store is back", offset, soon)
		}
	}
}

// Guards against a former owner that goes on for a second after it was told that another
// daemon has taken its job over.
func TestRelinquishChecksTheOwnership(t *testing.T) {
	cluster := newCluster(t, 2, 13)
	former, other := cluster.daemons[0], cluster.daemons[1]
	former.callsStall = true
	cluster.query(former, submitQuery("a", 1))
	cluster.endJobElsewhere(other, former.manager.self)
	if former.manager.countOpenJobs() != 1 {
		t.Fatal("the former owner has learnt the end before it was told")
	}
	cluster.query(former, Query{Kind: QueryRelinquish, ID: "a"})
	cluster.wait(2 * stepDuration)
	if former.manager.countOpenJobs() != 0 {
		t.Error("the former owner goes on")
	}
}

// Guards against a check that was sent while the store did not answer and holds up the
// check that is due because it answers again.
func TestRecheckFollowsACheckInProgress(t *testing.T) {
	cluster := newCluster(t, 1, 14)
	d := cluster.daemons[0]
	d.callsStall = true
	cluster.query(d, submitQuery("a", 1))
	cluster.wait(ownershipCheckPeriod - 3*stepDuration)
	d.disconnected, d.hangs = true, true
	e := d.manager.jobs["a"]
	for range 100 {
		if !e.checkingOwnership {
			cluster.step()
		}
	}
	if !e.checkingOwnership {
		t.Fatal("no check is in progress")
	}
	d.disconnected = false
	d.manager.RecheckOwnership()
	for range 100 {
		if e.checkFailures.count == 0 {
			cluster.step()
		}
	}
	if e.checkFailures.count != 1 || !e.checkingOwnership {
		t.Errorf("%d checks have failed, next check in progress: %v", e.checkFailures.count, e.checkingOwnership)
	}
}

// Guards against a log line for each failed check of an outage: the errors of refused
// operations say how long the store has not answered.
func TestFailedChecksAreLoggedOncePerReason(t *testing.T) {
	cluster := newCluster(t, 1, 15)
	d := cluster.daemons[0]
	cluster.query(d, submitQuery("a", 1))
	log, lines := logtest.NewNullLogger()
	d.manager.log = log.WithField("duty", "jobs")
	e := d.manager.jobs["a"]
	for i := range 20 {
		err := fmt.Errorf("%w; no answer known for %d ms", platform.ErrStoreDown, i)
		if i >= 10 {
			err = fmt.Errorf("%w; read from port %d", platform.ErrUnavailable, i)
		}
		d.manager.recordCheckFailure(e, err)
	}
	if n := len(lines.AllEntries()); n != 2 || e.checkFailures.count != 20 {
		t.Errorf("%d lines for %d failed checks of two reasons", n, e.checkFailures.count)
	}
}
