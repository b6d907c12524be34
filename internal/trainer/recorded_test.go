package trainer

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

// The files in testdata hold values as an earlier build wrote them: a running
// daemon wrote ledger.json, ledger-no-steps.json, step-part.json and
// bulk-record.json, and a test of that build wrote the others, for the fields
// that the running daemon had left empty.
func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	value, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

var recordedKey = streamKey{customer: "prairie", trainer: "t2"}

// Guards against a renamed field of the ledger, after which a trainer gets a
// group again that it has acknowledged, or loses an open step.
func TestRecordedLedgers(t *testing.T) {
	for name, want := range map[string]ledgerRecord{
		"ledger.json": {Epoch: 1, Owner: "127.0.0.1:45079", Cursor: 1, LastStep: 2, Steps: []ledgerStep{{
			Step: 2, Model: "wear", MaxTokens: 16, Groups: 40, Opening: "1.1",
			Since: streamPosition{Epoch: 1}, Parts: 1, Acked: Bitmap{8, 0, 0, 0, 0},
		}}},
		"ledger-no-steps.json": {Epoch: 1, Owner: "127.0.0.1:45079", Cursor: 4, LastStep: 1},
		"ledger-full.json": {Epoch: 2, Owner: "127.0.0.1:45079", Cursor: 3, LastStep: 4, Restart: 5, Steps: []ledgerStep{{
			Step: 6, Model: "wear", Adapter: "winter", MaxTokens: 16, Groups: 9, Opening: "2.1",
			Since: streamPosition{Epoch: 1, Sequence: 7}, Parts: 2, Acked: Bitmap{1, 1},
		}}},
	} {
		value := readRecorded(t, name)
		got, err := decodeLedger(platform.Result{Object: platform.Object{Value: value}})
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v (%v), want %+v", name, got, err, want)
		}
		if encoded := got.encode(); string(encoded) != string(value) {
			t.Errorf("%s is written as\n%s, want\n%s", name, encoded, value)
		}
	}
	if acked := (Bitmap{8, 0, 0, 0, 0}); !acked.Contains(3) || acked.Count() != 1 {
		t.Errorf("the acknowledged groups of ledger.json are read as %v, want group 3 only", acked)
	}
}

// Guards against a changed key of an object, after which a daemon finds nothing
// that an older build has stored for a trainer.
func TestRecordedKeys(t *testing.T) {
	for got, want := range map[string]string{
		recordedKey.ledgerKey():                "rollouts/prairie/t2",
		recordedKey.promptPartKey(2, "1.1", 0): "rollouts/prairie/t2/step-2/1.1/part-0",
		"leases/" + recordedKey.leaseName():    "leases/trainers/prairie/t2",
	} {
		if got != want {
			t.Errorf("key %s, want %s", got, want)
		}
	}
}

// Guards against a renamed field of a step's prompts, after which the step of an
// older build can't be resumed.
func TestRecordedStepPart(t *testing.T) {
	value := readRecorded(t, "step-part.json")
	m := New(duty.NewManualClock(time.Unix(1e9, 0)), Options{})
	target := &loadedStep{parts: make([]promptPart, 1), versions: make([]int64, 1)}
	// The second pending read keeps the load from being applied.
	l := &ledgerLoad{missingSteps: []*loadedStep{target}, pendingReads: 2}
	reply := storeReply{load: l, index: 1 << 16, result: platform.Result{Object: platform.Object{Version: 1, Value: value}}}
	m.handlePromptsRead(&stream{key: recordedKey, load: l}, reply)
	var want []GroupSpec
	for i := range 40 {
		want = append(want, GroupSpec{Prompt: "note " + strconv.Itoa(i), Samples: 2})
	}
	got := target.parts[0].Groups
	if l.failed || target.versions[0] != 1 || !reflect.DeepEqual(got, want) {
		t.Fatalf("prompts are read as %+v (failed: %v), want %+v", got, l.failed, want)
	}
	if parts := splitPrompts(got); len(parts) != 1 || string(parts[0]) != string(value) {
		t.Errorf("prompts are written as\n%s, want\n%s", parts, value)
	}
}

// recordedBulkStore holds records in memory.
type recordedBulkStore map[string][]byte

func (s recordedBulkStore) Put(key string, value []byte) error {
	s[key] = value
	return nil
}

func (s recordedBulkStore) Get(key string) ([]byte, error) {
	value, ok := s[key]
	if !ok {
		return nil, errors.New("no record " + key)
	}
	return value, nil
}

func (s recordedBulkStore) Delete(key string) error {
	delete(s, key)
	return nil
}

func (s recordedBulkStore) Scan(prefix string, visit func(key string, value []byte)) error {
	for key, value := range s {
		if strings.HasPrefix(key, prefix) {
			visit(key, value)
		}
	}
	return nil
}

// inlinePool runs each call at once.
type inlinePool struct{}

func (inlinePool) TryGo(f func()) bool {
	f()
	return true
}

const recordedBulkKey = "prairie/t2/2/1.1/4/1"

// newDiskManager returns a manager with the store, and the group that
// bulk-record.json holds, without its samples.
func newDiskManager(store recordedBulkStore) (*Manager, *stream, *group) {
	m := New(duty.NewManualClock(time.Unix(1e9, 0)), Options{BulkStore: store, DiskPool: inlinePool{}})
	st := newStep(ledgerStep{Step: 2, Opening: "1.1"}, make([]GroupSpec, 5))
	g := st.groups[4]
	g.completions = 1
	return m, &stream{key: recordedKey}, g
}

func takeDiskReply(t *testing.T, m *Manager) diskReply {
	t.Helper()
	reply, ok := m.diskReplies.TryTake()
	if !ok || reply.err != nil {
		t.Fatalf("disk operation: reply %v, error %v", ok, reply.err)
	}
	return reply
}

// recordedSamples returns the samples of each record in testdata.
func recordedSamples() map[string][]core.Sample {
	at := func(nanoseconds int) time.Time { return time.Date(2026, 12, 4, 13, 37, 1, nanoseconds, time.UTC) }
	sample := func(index, nanoseconds int) core.Sample {
		return core.Sample{
			Group: 4, Index: index, Prompt: "note 4", Text: strings.Repeat("w ", 16),
			Tokens: []int32{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15},
			Spans:  []core.Span{{Version: 3, From: 0, To: 16}}, Started: at(nanoseconds),
		}
	}
	score := 0.25
	return map[string][]core.Sample{
		"bulk-record.json": {sample(0, 258059656), sample(1, 258064218)},
		"bulk-record-scored.json": {{
			Group: 4, Index: 1, Prompt: "note 4", Text: "w ", Tokens: []int32{7},
			Spans: []core.Span{{Version: 3, Adapter: "winter", From: 0, To: 1}}, Score: &score, Started: at(9),
		}},
	}
}

// Guards against a renamed field or a changed key of a group on disk, after
// which a restarted daemon runs finished samples again.
func TestRecordedGroups(t *testing.T) {
	for name, want := range recordedSamples() {
		value := readRecorded(t, name)
		m, s, g := newDiskManager(recordedBulkStore{recordedBulkKey: value})
		g.disk = diskOnly
		m.readGroup(s, g)
		if got := takeDiskReply(t, m).samples; !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, want %+v", name, got, want)
		}
		m.scanGroups(s, &ledgerLoad{})
		requireFoundRecord(t, takeDiskReply(t, m).records, want)
	}
}

// requireFoundRecord checks what a scan finds of a record with the samples.
func requireFoundRecord(t *testing.T, found []diskRecord, samples []core.Sample) {
	t.Helper()
	want := diskRecord{Step: 2, Opening: "1.1", Group: 4, Run: 1, key: recordedBulkKey, freshness: freshnessOf(samples)}
	for i := range samples {
		want.bytes += sampleBytes(&samples[i])
	}
	if !reflect.DeepEqual(found, []diskRecord{want}) {
		t.Errorf("the scan finds %+v, want %+v", found, want)
	}
}

// Guards against a renamed field or a changed key of a group on disk, after
// which an older build can't read the groups that this one has written.
func TestRecordedGroupsAreWritten(t *testing.T) {
	for name, samples := range recordedSamples() {
		store := recordedBulkStore{}
		m, s, g := newDiskManager(store)
		g.samples = samples
		m.writeGroup(s, g)
		takeDiskReply(t, m)
		if want := readRecorded(t, name); string(store[recordedBulkKey]) != string(want) {
			t.Errorf("%s: the records are written as %q, want %q under %s", name, store, want, recordedBulkKey)
		}
	}
}
