package batch

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

func submissionOf(customer core.CustomerID) Query {
	q := submitQuery("a", 3)
	q.Customer, q.Job.Customer = customer, customer
	return q
}

// queriesOf are queries about a job whose items have not run, except its submission.
func queriesOf(customer core.CustomerID) []Query {
	return []Query{
		{Kind: QueryResults, ID: "a", Customer: customer},
		{Kind: QueryItemBody, ID: "a", Item: "a.0", Customer: customer},
		{Kind: QueryEndJob, ID: "a", Customer: customer},
	}
}

// Guards against a customer who reads or ends the job of another, or whose submission
// under its id is answered as accepted: at the owner, at a daemon that reads the job from
// the store, and at one that knows its owner from an announcement.
func TestJobIsClosedToOtherCustomers(t *testing.T) {
	for _, at := range []string{"owner", "reader", "announced", "announced again"} {
		cluster := newCluster(t, 2, 1)
		owner, asked := cluster.daemons[0], cluster.daemons[1]
		cluster.callStatus = func(*core.Call) int { return 503 } // the job stays open
		owner.manager.onOwned = func(o Ownership) {
			switch at {
			case "announced":
				asked.manager.UpdateOwners([]Ownership{o})
			case "announced again":
				// A daemon of an earlier build announces no customer.
				asked.manager.UpdateOwners([]Ownership{{Job: o.Job, Owner: o.Owner}, o})
			}
		}
		if a := cluster.query(owner, submissionOf("x")); a.Status != StatusOK {
			t.Fatalf("submission answered %v", a.Status)
		}
		if at == "owner" {
			asked = owner
		}
		if a := cluster.query(asked, submissionOf("y")); a.Status != StatusConflict {
			t.Errorf("%s: the submission of another customer is answered %v", at, a.Status)
		}
		for _, q := range queriesOf("y") {
			if a := cluster.query(asked, q); a.Status != StatusNotFound || a.Total != 0 || a.Body != nil {
				t.Errorf("%s: query %d of another customer is answered %+v", at, q.Kind, a)
			}
		}
		if owner.manager.countOpenJobs() != 1 {
			t.Errorf("%s: the job was ended or taken over", at)
		}
		for _, q := range append([]Query{submissionOf("x")}, append(queriesOf(""), queriesOf("x")...)...) {
			if a := cluster.queryViaOwner(asked, q); a.Status != StatusOK {
				t.Errorf("%s: query %d of %q is answered %v", at, q.Kind, q.Customer, a.Status)
			}
		}
	}
}

// Guards against a job that another customer may use once its daemon has lost what it
// knew, or because its submission waits beside that of the job.
func TestJobStaysClosedAfterLoadAndBesideStoring(t *testing.T) {
	cluster := newCluster(t, 1, 2)
	d := cluster.daemons[0]
	cluster.callStatus = func(*core.Call) int { return 503 }
	first, err := d.manager.queries.Send(t.Context(), submissionOf("x"))
	if err != nil {
		t.Fatal(err)
	}
	if a := cluster.query(d, submissionOf("y")); a.Status != StatusConflict {
		t.Errorf("a submission beside that of another customer is answered %v", a.Status)
	}
	if a, ok := first.TryTake(); !ok || a.Status != StatusOK {
		t.Errorf("the first submission is answered %v, %v", a.Status, ok)
	}
	for _, stateIsRead := range []bool{true, false} {
		d.fails = func(op platform.Op, _ platform.Result) bool {
			return !stateIsRead && strings.HasPrefix(op.Key, statePrefix)
		}
		for _, q := range append(queriesOf("y"), submissionOf("y")) {
			d.start() // knows nothing of the job
			want := denial(&q).Status
			if a := cluster.query(d, q); a.Status != want {
				t.Errorf("state read %v: query %d of another customer is answered %v, want %v", stateIsRead, q.Kind, a.Status, want)
			}
		}
	}
}

// peerWithConflict is a peer that knows the job as another customer's.
type peerWithConflict struct{ asked Query }

func (p *peerWithConflict) Addresses() []string { return []string{"10.0.0.9:1"} }

func (p *peerWithConflict) SendQuery(_ context.Context, _ string, q Query) (Reply, error) {
	p.asked = q
	return Reply{Status: StatusConflict}, nil
}

// Guards against a delegated submission without its customer, and against a conflict that
// its trainer takes for a refusal of the moment.
func TestDelegatedSubmissionKeepsItsCustomer(t *testing.T) {
	cluster := newCluster(t, 1, 5)
	cluster.daemons[0].disconnected = true
	log := logrus.New()
	log.SetOutput(io.Discard)
	peer := &peerWithConflict{}
	router := NewRouter(cluster.daemons[0].manager, peer, logrus.NewEntry(log))
	replies := make(chan Reply, 1)
	go func() { replies <- router.HandleQuery(t.Context(), submissionOf("x")) }()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		cluster.step()
		select {
		case r := <-replies:
			if r.Status != StatusConflict || peer.asked.Customer != "x" || !peer.asked.Delegated {
				t.Errorf("answered %v after %+v", r.Status, peer.asked)
			}
			return
		case <-time.After(time.Millisecond): // the router runs on its own goroutine
		}
	}
	t.Fatal("no reply")
}

// Guards against items that run without their customer or its rank, and against reward
// calls that name one.
func TestItemsRunForTheirCustomer(t *testing.T) {
	cluster := newCluster(t, 1, 3)
	d := cluster.daemons[0]
	cluster.rules.Rank = 4
	items, rewards := 0, 0
	cluster.callStatus = func(c *core.Call) int {
		r := c.Request
		if r.IsModelCall() {
			items++
			if r.Customer != "x" || r.Rank != 4 {
				t.Errorf("item of %q with rank %d", r.Customer, r.Rank)
			}
			return 0
		}
		rewards++
		if r.Customer != "" {
			t.Errorf("reward call of %q", r.Customer)
		}
		return 0
	}
	cluster.query(d, submissionOf("x"))
	cluster.readAll(d, "a", 3)
	if items != 3 || rewards != 3 {
		t.Errorf("%d items and %d reward calls", items, rewards)
	}
}

// Guards against a job without a customer whose stored bytes change, and against one that
// is closed to customers who came later.
func TestJobOfNobodyIsOpen(t *testing.T) {
	cluster := newCluster(t, 1, 4)
	cluster.query(cluster.daemons[0], submissionOf(""))
	if value, err := json.Marshal(testJob("a", 1)); err != nil || strings.Contains(string(value), "customer") {
		t.Errorf("stored as %s, %v", value, err)
	}
	for _, q := range append(queriesOf("x"), submissionOf("x")) {
		if a := cluster.query(cluster.daemons[0], q); a.Status != StatusOK {
			t.Errorf("query %d is answered %v", q.Kind, a.Status)
		}
	}
}
