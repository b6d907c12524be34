package daemonrpc

import (
	"reflect"
	"testing"

	"github.com/berylfall/berylfall/internal/trainer/batch"
)

// Guards against a customer that is lost between daemons, so that a job is open to all, and
// against a refusal for another customer that its receiver takes for something else.
func TestCustomerTravelsWithJobs(t *testing.T) {
	want := batch.Query{Kind: batch.QueryEndJob, ID: "j", Customer: "x", Delegated: true}
	m, err := encodeJobRequest(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeJobRequest(m.GetJob()); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("query is read as %+v, %v", got, err)
	}
	owners := []batch.Ownership{{Job: "j", Customer: "x"}}
	notifications := encodeNotifications(Notifications{Owners: owners})
	if got := decodeNotifications(notifications.GetNotices()); !reflect.DeepEqual(got.Owners, owners) {
		t.Errorf("owners are read as %+v", got.Owners)
	}
	if got := decodeJobResponse(encodeJobResponse(batch.Reply{Status: batch.StatusConflict})); got.Status != batch.StatusConflict {
		t.Errorf("a conflict is read as %v", got.Status)
	}
}
