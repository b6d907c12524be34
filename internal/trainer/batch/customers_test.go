package batch

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/berylfall/berylfall/internal/core"
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
	for _, at := range []string{"owner", "reader", "announced"} {
		cluster := newCluster(t, 2, 1)
		owner, asked := cluster.daemons[0], cluster.daemons[1]
		cluster.callStatus = func(*core.Call) int { return 503 } // the job stays open
		if a := cluster.query(owner, submissionOf("x")); a.Status != StatusOK {
			t.Fatalf("submission answered %v", a.Status)
		}
		switch at {
		case "owner":
			asked = owner
		case "announced":
			asked.manager.UpdateOwners([]Ownership{{Job: "a", Owner: owner.manager.self, Customer: "x"}})
		}
		for _, q := range queriesOf("y") {
			if a := cluster.queryViaOwner(asked, q); a.Status != StatusNotFound || a.Total != 0 || a.Body != nil {
				t.Errorf("%s: query %d of another customer is answered %+v", at, q.Kind, a)
			}
		}
		if a := cluster.query(asked, submissionOf("y")); a.Status != StatusConflict {
			t.Errorf("%s: the submission of another customer is answered %v", at, a.Status)
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
	d.start()
	for _, q := range append(queriesOf("y"), submissionOf("y")) {
		want := denial(&q).Status
		if a := cluster.query(d, q); a.Status != want {
			t.Errorf("after a restart, query %d of another customer is answered %v, want %v", q.Kind, a.Status, want)
		}
	}
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
