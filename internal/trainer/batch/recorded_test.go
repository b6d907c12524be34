package batch

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// The files in testdata hold the values of objects as an earlier build wrote
// them: a running daemon wrote job.json and results.json, and a test of that
// build wrote the others, since the running daemon had written none of these.
func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	value, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// recordedStore replies to reads at once and keeps the writes, which get a reply
// only from the test.
type recordedStore struct {
	fakeStore
	puts []platform.Op
}

func (s *recordedStore) Submit(op platform.Op) bool {
	if op.Kind == platform.OpGet || op.Kind == platform.OpList {
		op.Reply(s.apply(op))
		return true
	}
	s.puts = append(s.puts, op)
	return true
}

// requirePut checks the newest write, and that there was no other since the
// earlier ones.
func (s *recordedStore) requirePut(t *testing.T, earlier int, key string, want []byte) {
	t.Helper()
	if len(s.puts) != earlier+1 {
		t.Fatalf("%d writes, want %d", len(s.puts), earlier+1)
	}
	if op := s.puts[earlier]; op.Kind != platform.OpPut || op.Key != key || string(op.Value) != string(want) {
		t.Errorf("write of kind %v to %s:\n%s\nwant a put to %s:\n%s", op.Kind, op.Key, op.Value, key, want)
	}
}

var recordedOwner = Owner{Address: "127.0.0.1:36600", Run: "front-0/18ee108b7de4305a-933de537"}

// largeJobKey is the key of the item parts of job-large.json.
const largeJobKey = "jobitems/j9.2b795522872fa3c6."

func newRecordedManager(s *recordedStore, self Owner, maxObjectBytes int) *Manager {
	return NewManager(Options{
		Clock: duty.NewManualClock(time.Unix(1e9, 0)), Log: logrus.NewEntry(logrus.New()), Store: s, Self: self, MaxObjectBytes: maxObjectBytes,
	})
}

// loadRecorded loads the job at a daemon that doesn't own it, from objects of
// version 7.
func loadRecorded(id JobID, values map[string][]byte) *jobEntry {
	store := &recordedStore{fakeStore: fakeStore{objects: map[string]platform.Object{}}}
	for key, value := range values {
		store.objects[key] = platform.Object{Key: key, Version: 7, Value: value}
	}
	m := newRecordedManager(store, Owner{Address: "127.0.0.1:36610", Run: "front-1/1"}, 0)
	e := &jobEntry{id: id, stateVersion: platform.Absent}
	m.loadJob(e)
	for m.loop.RunPending() > 0 {
	}
	return e
}

// recordedJob returns the value in job.json.
func recordedJob() *Job {
	job := &Job{
		ID: "j1", Host: "h", Target: "/batch/j1", Model: "m", MinVersion: 1, WantedGroups: 2,
		AcceptedAt: time.Date(2026, 12, 4, 13, 38, 12, 680340550, time.UTC), AcceptedBy: recordedOwner,
	}
	model, tokens := core.Header{Name: "Model", Value: "m"}, core.Header{Name: "Token-Count", Value: "1,5"}
	for id, headers := range [][]core.Header{{model, tokens}, {model, tokens}, {tokens, model}, {model, tokens}} {
		group := []string{"j1-0", "j1-1"}[id/2]
		name := group + []string{"-0", "-1"}[id%2]
		job.Items = append(job.Items, Item{
			ID: ItemID(name), Target: "/batch/i/" + name, Headers: headers, Body: []byte("body of " + name),
			Model: "m", MaxTokens: 5, Group: group,
			Reward: &RewardRequest{ID: "r-" + name, Host: "h", Target: "/plain/r", Body: []byte(name)},
		})
	}
	return job
}

// recordedLargeJob returns the job in job-large.json with the items of its
// parts, as it is before it is stored.
func recordedLargeJob() *Job {
	headers := []core.Header{{Name: "Model", Value: "m"}}
	return &Job{
		ID: "j9", Host: "h", Target: "/batch/j9", Step: 8, Model: "m", MinVersion: 1, WantedGroups: 2,
		AcceptedAt: time.Date(2026, 12, 4, 13, 38, 12, 7, time.UTC), AcceptedBy: recordedOwner,
		Items: []Item{
			{
				ID: "j9-0-0", Target: "/batch/i/j9-0-0", Headers: headers, Body: []byte("body of j9-0-0"),
				Model: "m", MaxTokens: 5, LengthHint: 3, Group: "j9-0",
				Reward: &RewardRequest{ID: "r-j9-0-0", Host: "h", Target: "/plain/r", Body: []byte("j9-0-0")},
			},
			{
				ID: "j9-0-1", Target: "/batch/i/j9-0-1", Headers: headers, Body: []byte("body of j9-0-1"),
				Model: "m", MaxTokens: 5, LengthHint: 4, Group: "j9-0",
			},
		},
	}
}

// Guards against a renamed field or key of a job, after which a job that an
// older build has accepted can't be run to its end.
func TestRecordedJob(t *testing.T) {
	value := readRecorded(t, "job.json")
	e := loadRecorded("j1", map[string][]byte{"jobs/j1": value})
	if want := recordedJob(); !reflect.DeepEqual(e.job, want) {
		t.Errorf("the job is read as %+v, want %+v", e.job, want)
	}
	if e.phase != phaseNotOwner || e.state.Owner != recordedOwner {
		t.Errorf("phase %v, owner %+v; want a job that %+v owns", e.phase, e.state.Owner, recordedOwner)
	}
	store := &recordedStore{}
	newRecordedManager(store, recordedOwner, 0).acceptJob(&jobEntry{id: "j1"}, recordedJob())
	store.requirePut(t, 0, "jobs/j1", value)
}

// Guards against a renamed field or key of a large job and its item parts,
// after which its items are lost.
func TestRecordedLargeJob(t *testing.T) {
	header := readRecorded(t, "job-large.json")
	parts := [][]byte{readRecorded(t, "items-0.json"), readRecorded(t, "items-1.json")}
	e := loadRecorded("j9", map[string][]byte{"jobs/j9": header, largeJobKey + "00000": parts[0], largeJobKey + "00001": parts[1]})
	want := recordedLargeJob()
	want.ItemParts, want.ItemsDigest = 2, "2b795522872fa3c6"
	if !reflect.DeepEqual(e.job, want) {
		t.Errorf("the job is read as %+v, want %+v", e.job, want)
	}
	store := &recordedStore{}
	m := newRecordedManager(store, recordedOwner, 100)
	m.acceptJob(&jobEntry{id: "j9"}, recordedLargeJob())
	for i, part := range parts {
		store.requirePut(t, i, largeJobKey+[]string{"00000", "00001"}[i], part)
		store.puts[i].Reply(platform.Result{})
		m.loop.RunPending()
	}
	store.requirePut(t, len(parts), "jobs/j9", header)
}

// Guards against a renamed field or key of a job's state, after which two
// daemons run one job, or a job that has ended runs again.
func TestRecordedStates(t *testing.T) {
	for name, want := range map[string]state{
		"state.json":      {Owner: recordedOwner, Ended: true, EndedAt: time.Date(2026, 12, 4, 13, 38, 40, 5, time.UTC)},
		"state-open.json": {Owner: recordedOwner},
	} {
		value := readRecorded(t, name)
		e := loadRecorded("j1", map[string][]byte{"jobs/j1": readRecorded(t, "job.json"), "jobstates/j1": value})
		if e.state != want || e.stateVersion != 7 {
			t.Errorf("%s is read as %+v of version %d, want %+v of version 7", name, e.state, e.stateVersion, want)
		}
		store := &recordedStore{}
		newRecordedManager(store, recordedOwner, 0).writeState(e, e.state, func(error) {})
		store.requirePut(t, 0, "jobstates/j1", value)
	}
}

// Guards against a renamed field or key of published results, after which a
// trainer that has read some gets others at the same positions.
func TestRecordedResults(t *testing.T) {
	value := readRecorded(t, "results.json")
	e := loadRecorded("j1", map[string][]byte{
		"jobs/j1": readRecorded(t, "job.json"), "jobstates/j1": readRecorded(t, "state.json"), "results/j1.00000": value,
	})
	var want []Result
	for _, r := range []struct{ item, score string }{
		{"j1-0-0", "fa4b35b9c0f10f55"}, {"j1-1-1", "31810cfe139b8bf5"}, {"j1-1-0", "2c6138a61625abc7"}, {"j1-0-1", "292083ac983e9a43"},
	} {
		lines := []string{r.item + ".1", r.item + ".2", r.item + ".3", r.item + ".4", r.item + ".5"}
		want = append(want, Result{
			Item: ItemID(r.item), Done: true, Text: strings.Join(lines, "\n"), Versions: []core.Version{1}, Score: r.score,
		})
	}
	if e.phase != phaseEnded || e.resultParts != 1 || !reflect.DeepEqual(e.published, want) {
		t.Errorf("phase %v, %d parts, results %+v; want an ended job with %+v", e.phase, e.resultParts, e.published, want)
	}
	store := &recordedStore{}
	newRecordedManager(store, recordedOwner, 0).publishResults(&jobEntry{id: "j1", phase: phaseOwned, unpublished: want})
	store.requirePut(t, 0, "results/j1.00000", value)
}
