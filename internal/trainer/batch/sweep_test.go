package batch

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// listStore is a store that replies at once. With fail set, every operation fails.
type listStore struct {
	objects map[string]platform.Object
	fail    bool
}

func (s *listStore) Submit(op platform.Op) bool {
	switch {
	case strings.Count(op.Key, "/") > 1:
		op.Reply(platform.Result{Err: platform.ErrRejected})
	case s.fail:
		op.Reply(platform.Result{Err: platform.ErrUnavailable})
	case op.Kind == platform.OpList:
		var l platform.Listing
		for key, o := range s.objects {
			if strings.HasPrefix(key, op.Key) {
				l.Objects = append(l.Objects, o)
			}
		}
		op.Reply(platform.Result{Listing: l})
	case op.Kind == platform.OpDelete:
		delete(s.objects, op.Key)
		op.Reply(platform.Result{})
	}
	return true
}

func (s *listStore) put(key, value string) {
	s.objects[key] = platform.Object{Key: key, Value: []byte(value)}
}

func (s *listStore) keysOf(id string) []string {
	var keys []string
	for key := range s.objects {
		if strings.Contains(key, "/"+id) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Guards against a store that fills up with ended jobs, against results that are
// removed before their retention time or while the job is open, and against an
// interrupted sweep that is never resumed.
func TestSweeperRemovesEndedJobs(t *testing.T) {
	const retention = 2 * time.Minute
	clock := duty.NewManualClock(time.Unix(1e9, 0))
	store := &listStore{objects: map[string]platform.Object{}}
	ended := func(age time.Duration) string {
		return fmt.Sprintf(`{"ended":true,"endedAt":%q}`, clock.Now().Add(-age).Format(time.RFC3339Nano))
	}
	for id, value := range map[string]string{"old": ended(time.Hour), "new": ended(-time.Hour), "open": `{"ended":false}`, "undated": `{"ended":true}`, "broken": `7`} {
		store.put("jobstates/"+id, value)
		store.put("jobs/"+id, `{}`)
		store.put("results/"+id+".00000", `{}`)
		store.put("results/"+id+".00001", `{}`)
		store.put("jobitems/"+id+".ab.00000", `[]`)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	active := false
	s := NewSweeper(SweeperOptions{Clock: clock, Log: logrus.NewEntry(log), Store: store, Retention: retention, IsSweeper: func() bool { return active }})
	advance := func(d time.Duration) {
		for ; d > 0; d -= sweepPause {
			clock.Advance(sweepPause)
			s.Loop().RunPending()
		}
	}
	advance(2 * sweepPeriod)
	if got := store.keysOf("old"); len(got) != 5 {
		t.Fatalf("objects after the sweep period of an inactive daemon: %v", got)
	}
	active = true
	advance(sweepPeriod - sweepPause)
	advance(2 * sweepPause)
	store.fail = true
	advance(sweepPeriod)
	if got := store.keysOf("old"); !slices.Contains(got, "jobstates/old") || len(got) == 5 {
		t.Fatalf("objects after an interrupted sweep: %v", got)
	}
	store.fail = false
	advance(2 * sweepPeriod)
	if got := store.keysOf("old"); len(got) > 0 {
		t.Errorf("objects of an expired job: %v", got)
	}
	for _, id := range []string{"new", "open", "undated", "broken"} {
		if got := store.keysOf(id); len(got) != 5 {
			t.Errorf("objects of job %s: %v", id, got)
		}
	}
}

// Guards against a sweep that ends at a state of another writer whose name is no job's,
// so that ended jobs are never removed.
func TestSweepGoesOnAfterAnOddState(t *testing.T) {
	clock := duty.NewManualClock(time.Unix(1e9, 0))
	store := &listStore{objects: map[string]platform.Object{}}
	ended := fmt.Sprintf(`{"ended":true,"endedAt":%q}`, clock.Now().Add(-time.Hour).Format(time.RFC3339Nano))
	for i := range 8 {
		store.put(fmt.Sprintf("jobstates/odd/%d", i), ended)
		store.put(fmt.Sprintf("jobstates/job%d", i), ended)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewSweeper(SweeperOptions{Clock: clock, Log: logrus.NewEntry(log), Store: store, IsSweeper: func() bool { return true }})
	for at := time.Duration(0); at < sweepPeriod+time.Minute; at += sweepPause {
		clock.Advance(sweepPause)
		s.Loop().RunPending()
	}
	if left := store.keysOf("job"); len(left) > 0 {
		t.Errorf("states left after a sweep: %v", left)
	}
}
