package daemonrpc

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/trainer/batch"
)

// The files in testdata hold messages as the encoder of an earlier build wrote
// them, one on each line in hex. The messages are those of a test of that build.
func readRecorded(t *testing.T, name string) [][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	var messages [][]byte
	for _, line := range strings.Fields(string(text)) {
		message, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		messages = append(messages, message)
	}
	return messages
}

var (
	recordedSender = daemon.Identity{
		Name: "one", DataCentre: "regina", Address: "127.0.0.1:33767",
		Incarnation: daemon.Incarnation{Start: 1796391414068525026, Random: 1757313840122783398},
	}
	recordedOther = daemon.Identity{
		Name: "two", DataCentre: "tbilisi", Address: "127.0.0.1:33768", Incarnation: daemon.Incarnation{Start: 11, Random: 12},
	}
)

// recordedEnvelopes returns the messages in link.hex, which were written to one
// link in this order.
func recordedEnvelopes() []daemon.Envelope {
	var envelopes []daemon.Envelope
	for _, m := range recordedPeerMessages() {
		envelopes = append(envelopes, daemon.Envelope{From: recordedSender, Message: m})
	}
	for _, m := range recordedShareMessages() {
		envelopes = append(envelopes, daemon.Envelope{From: recordedSender, Message: m})
	}
	for _, m := range recordedTransferMessages() {
		envelopes = append(envelopes, daemon.Envelope{From: recordedOther, ToDataCentre: "regina", Message: m})
	}
	for _, m := range recordedHostMessages() {
		envelopes = append(envelopes, daemon.Envelope{From: recordedSender, Message: m})
	}
	return envelopes
}

func recordedPeerMessages() []daemon.Message {
	named := func(name string, state daemon.MemberState) daemon.MemberInfo {
		return daemon.MemberInfo{Identity: daemon.Identity{Name: name}, State: state}
	}
	return []daemon.Message{
		daemon.Heartbeat{
			Sequence: 1, EchoedSequence: 2, EchoAge: 3, ReceiverIncarnation: recordedOther.Incarnation, MembersDigest: 4,
			Config:          daemon.ConfigState{Digest: 5, Revision: 6, Ready: true},
			OutstandingWork: []daemon.ServerWork{{Server: 7, Outstanding: 8}, {Server: 9}}, IsFullWork: true,
		},
		daemon.MemberList{DataCentre: "tbilisi", Version: 10, Members: []daemon.MemberInfo{
			{Identity: recordedOther, State: daemon.MemberSuspect},
			named("a", daemon.MemberJoining), named("b", daemon.MemberAlive), named("c", daemon.MemberDead), named("d", daemon.MemberLeft),
		}},
		daemon.Leave{},
		daemon.Contracts{Revision: 17, Full: true, Ready: true, Contracts: []core.StoredContract{
			{Customer: "prairie", Version: 13, Revision: 14, Contract: &core.Contract{Customer: "prairie", Limits: core.Limits{Concurrency: 40}}},
			{Customer: "kartvel", Version: 15, Revision: 16, Deleted: true},
		}},
		daemon.ContractsRequest{Versions: []daemon.ContractVersion{{Customer: "prairie", Version: 18}}, Revision: 19},
		daemon.LoadReports{Reports: []daemon.ServerReport{
			{Server: "engine-0", Age: 20, Running: 21, Waiting: 22, KVUsed: 0.5, Description: []byte(`{"Kind":"a"}`)},
			{Server: "engine-1", Age: 23, Unreachable: true},
		}},
	}
}

var (
	recordedAmounts = []daemon.ShareAmount{
		{Key: daemon.ShareKey{Customer: "prairie", Limit: daemon.LimitRequests}, Units: 31},
		{Key: daemon.ShareKey{Customer: "kartvel", Limit: daemon.LimitTokens}, Units: 32},
		{Key: daemon.ShareKey{Customer: "kartvel", Limit: daemon.LimitConcurrency}, Units: 33},
	}
	recordedIndexed = []daemon.IndexedAmount{{Index: 1, Units: 34}, {Index: 300, Units: 35}}
)

func recordedShareMessages() []daemon.Message {
	return []daemon.Message{
		daemon.ShareDemand{Sequence: 24, AllocationVersion: 25, BaseUnits: 26, BasesDigest: 27, Requested: recordedIndexed},
		daemon.ShareGrants{
			Sequence: 28, Fence: 29, AllocationVersion: 30, BaseUnits: 36,
			Bases: recordedAmounts, BaseConfirmed: true, BasesDigest: 37, Grants: recordedIndexed,
		},
	}
}

func recordedTransferMessages() []daemon.Message {
	return []daemon.Message{
		daemon.ShareTransferRequest{DataCentre: "tbilisi", Requested: recordedAmounts},
		daemon.ShareTransferred{Customer: "prairie"},
	}
}

func recordedHostMessages() []daemon.Message {
	return []daemon.Message{
		daemon.HostChanges{Sequence: 38, Full: true, Removed: []string{"engine-9"}, Hosts: []daemon.HostEntry{{Age: 39, Host: platform.Host{
			Name: "engine-0", Role: platform.RoleBackend, Address: "127.0.0.1:40045", DataCentre: "regina", Region: "west",
			State: platform.HostLeaving, Service: "model", ServerKind: "kind", ChecksFence: true,
		}}}},
		daemon.HostDigest{Sequence: 40, Digest: 41},
		daemon.HostListRequest{},
		daemon.SuspectReport{
			Suspects:        []daemon.SuspectRequest{{Fingerprint: 42, CrashesAlone: 43, Remaining: 44}},
			ConfirmedCauses: []daemon.ConfirmedCause{{Fingerprint: 45, Remaining: 46}},
		},
	}
}

// Guards against a changed number, type or meaning of a field of the messages on
// a link, after which daemons of two builds misread each other during an update.
func TestRecordedLinkMessages(t *testing.T) {
	recorded, envelopes := readRecorded(t, "link.hex"), recordedEnvelopes()
	if len(recorded) != len(envelopes) {
		t.Fatalf("%d recorded messages, want %d", len(recorded), len(envelopes))
	}
	var written bytes.Buffer
	e := &encoder{w: &written}
	d := &decoder{r: bytes.NewReader(bytes.Join(recorded, nil))}
	for i, want := range envelopes {
		got, size, err := d.read()
		if err != nil || size != len(recorded[i]) {
			t.Fatalf("message %d (%T): %d bytes (%v), want %d", i, want.Message, size, err, len(recorded[i]))
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("message %d is read as %+v, want %+v", i, got, want)
		}
		written.Reset()
		if _, err := e.write(want); err != nil || !bytes.Equal(written.Bytes(), recorded[i]) {
			t.Errorf("message %d (%T) is written as %x (%v), want %x", i, want.Message, written.Bytes(), err, recorded[i])
		}
	}
}

// readFrame decodes a frame of a peer request's stream.
func readFrame(t *testing.T, frame []byte, m proto.Message) {
	t.Helper()
	r := bytes.NewReader(frame)
	if err := unmarshalOptions().UnmarshalFrom(r, m); err != nil || r.Len() != 0 {
		t.Fatalf("frame %x: %v, %d bytes left", frame, err, r.Len())
	}
}

func requireFrame(t *testing.T, m proto.Message, want []byte) {
	t.Helper()
	var written bytes.Buffer
	if _, err := protodelim.MarshalTo(&written, m); err != nil || !bytes.Equal(written.Bytes(), want) {
		t.Errorf("%v is written as %x (%v), want %x", m, written.Bytes(), err, want)
	}
}

// recordedQueries returns the queries in job-request.hex, one of each kind.
func recordedQueries() []batch.Query {
	return []batch.Query{
		{
			Kind: batch.QueryItemBody, ID: "j1", FromPosition: 2, MaxWait: 3 * time.Millisecond, Item: "j1-0-0", Delegated: true,
			Job: &batch.Job{
				ID: "j1", Host: "h", Target: "/batch/j1", Model: "m", MinVersion: 1, WantedGroups: 2,
				AcceptedAt: time.Unix(1796391492, 0).UTC(), AcceptedBy: batch.Owner{Address: "127.0.0.1:36600", Run: "front-0/1"},
			},
		},
		{Kind: batch.QuerySubmit, ID: "j2"},
		{Kind: batch.QueryResults, ID: "j2"},
		{Kind: batch.QueryEndJob, ID: "j2"},
		{Kind: batch.QueryRelinquish, ID: "j2"},
	}
}

// recordedReplies returns the replies in job-response.hex, one of each status.
func recordedReplies() []batch.Reply {
	return []batch.Reply{
		{
			Status: batch.StatusNotOwner, Owner: batch.Owner{Address: "127.0.0.1:36610", Run: "front-1/2"}, Total: 7,
			Results: []batch.Result{{Item: "j1-0-0", Done: true, Text: "t", Versions: []core.Version{1, 2}, Score: "s"}},
			Body:    []byte("body"), StoreUnreachable: true, Unpublished: []batch.Result{{Item: "j1-0-1"}},
		},
		{Status: batch.StatusUnavailable, Total: 1, Results: []batch.Result{}, Unpublished: []batch.Result{}},
		{Status: batch.StatusOK, Results: []batch.Result{}, Unpublished: []batch.Result{}},
		{Status: batch.StatusNotFound, Results: []batch.Result{}, Unpublished: []batch.Result{}},
		{Status: batch.StatusUnknownOutcome, Results: []batch.Result{}, Unpublished: []batch.Result{}},
	}
}

// Guards against a changed field or number of a query about a batch job, after
// which a daemon does something else than one of another build has requested.
func TestRecordedJobRequests(t *testing.T) {
	recorded, queries := readRecorded(t, "job-request.hex"), recordedQueries()
	if len(recorded) != len(queries) {
		t.Fatalf("%d recorded requests, want %d", len(recorded), len(queries))
	}
	for i, want := range queries {
		var got batch.Query
		s := &PeerServer{handlers: PeerHandlers{HandleJobRequest: func(_ context.Context, q batch.Query) batch.Reply {
			got = q
			return batch.Reply{}
		}}}
		m := &Question{}
		readFrame(t, recorded[i], m)
		if _, err := s.handleRequest(m); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("request %d is read as %+v (%v), want %+v", i, got, err, want)
		}
		request, err := encodeJobRequest(want)
		if err != nil {
			t.Fatal(err)
		}
		requireFrame(t, request, recorded[i])
	}
}

// Guards against a changed field or number of a reply about a batch job, after
// which results are lost between daemons of two builds.
func TestRecordedJobResponses(t *testing.T) {
	recorded, replies := readRecorded(t, "job-response.hex"), recordedReplies()
	if len(recorded) != len(replies) {
		t.Fatalf("%d recorded responses, want %d", len(recorded), len(replies))
	}
	for i, want := range replies {
		m := &JobAnswer{}
		readFrame(t, recorded[i], m)
		if got := decodeJobResponse(m); !reflect.DeepEqual(got, want) {
			t.Errorf("response %d is read as %+v, want %+v", i, got, want)
		}
		requireFrame(t, encodeJobResponse(want), recorded[i])
	}
}

// Guards against a changed field of the notifications, after which daemons of
// two builds know different models of an engine or owners of a job.
func TestRecordedNotifications(t *testing.T) {
	frame := readRecorded(t, "notifications.hex")[0]
	want := Notifications{
		Engines: []backend.ModelStatus{{Server: "engine-0", Model: "m", Version: 2, Loading: true}},
		Owners: []batch.Ownership{{
			Job: "j1", Owner: batch.Owner{Address: "127.0.0.1:36600", Run: "front-0/1"}, Model: "n", RemainingTokens: 5,
		}},
	}
	var got Notifications
	s := &PeerServer{handlers: PeerHandlers{
		HandleEngineNotifications: func(e []backend.ModelStatus) { got.Engines = e },
		HandleOwnerNotifications:  func(o []batch.Ownership) { got.Owners = o },
	}}
	m := &Question{}
	readFrame(t, frame, m)
	if _, err := s.handleRequest(m); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("notifications are read as %+v (%v), want %+v", got, err, want)
	}
	requireFrame(t, encodeNotifications(want), frame)
}

// Guards against a changed field of a relay's messages, after which a daemon
// misses changes of servers that a relay of another build sends.
func TestRecordedWatch(t *testing.T) {
	request, response := readRecorded(t, "watch-request.hex")[0], readRecorded(t, "watch-response.hex")[0]
	want := platform.Listing{Revision: 34, Objects: []platform.Object{
		{Key: "servers/engine-0", Version: 22, Revision: 23, Value: []byte(`{"slots":4}`)},
		{Key: "servers/engine-1", Version: 24, Revision: 25, Deleted: true},
	}}
	s := &PeerServer{handlers: PeerHandlers{HandleWatchRequest: func(_ context.Context, after int64) (platform.Listing, error) {
		if after != 33 {
			t.Errorf("changes after revision %d are requested, want 33", after)
		}
		return want, nil
	}}}
	message := &Question{}
	readFrame(t, request, message)
	written, err := s.handleRequest(message)
	if err != nil {
		t.Fatal(err)
	}
	requireFrame(t, written, response)
	requireFrame(t, &Question{Kind: &Question_Watch{Watch: &WatchQuestion{After: 33}}}, request)
	answer := &JobAnswer{}
	readFrame(t, response, answer)
	if got, err := decodeWatchResponse(answer.GetWatch()); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the response is read as %+v (%v), want %+v", got, err, want)
	}
}

// Guards against a refusal of a relay that is read as an empty list of changes.
func TestRecordedWatchRefusal(t *testing.T) {
	frame := readRecorded(t, "watch-refusal.hex")[0]
	answer := &JobAnswer{}
	readFrame(t, frame, answer)
	if _, err := decodeWatchResponse(answer.GetWatch()); !errors.Is(err, platform.ErrRelayUnavailable) {
		t.Errorf("the refusal is read as %v, want %v", err, platform.ErrRelayUnavailable)
	}
	requireFrame(t, &JobAnswer{Watch: encodeWatchResponse(platform.Listing{}, context.Canceled)}, frame)
}
