package daemonrpc

import (
	"bytes"
	"context"
	"encoding/hex"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/trainer/batch"
	"github.com/berylfall/berylfall/internal/usage"
)

// addRecorded adds the recorded messages of an earlier build to the seed corpus.
func addRecorded(f *testing.F, pattern string) {
	f.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil || len(files) == 0 {
		f.Fatalf("no recorded messages: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		if data, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), "")); err == nil {
			f.Add(data)
		}
	}
}

// Guards against bytes of a peer that make the decoder of link messages panic or
// allocate more than the largest message.
func FuzzLinkMessage(f *testing.F) {
	addRecorded(f, "*.hex")
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		d := decoder{r: bytes.NewReader(data)}
		for {
			envelope, _, err := d.read()
			if err != nil {
				break
			}
			if envelope.Message == nil {
				t.Fatal("an envelope without a message")
			}
		}
		if cap(d.buf) > MaxMessageBytes {
			t.Errorf("a buffer of %d bytes", cap(d.buf))
		}
	})
}

// Guards against a peer request or response that makes its decoder panic, and against
// a response with a status that is not known.
func FuzzPeerRequest(f *testing.F) {
	addRecorded(f, "*.hex")
	for _, q := range []*JobQuestion{{}, {Kind: 99}, {After: -1, WaitMs: -1}, {Submitted: []byte("null")}, {Customer: "x"}, {Kind: int32(batch.QuerySubmit), Customer: "x", Submitted: []byte(`{"id":"j","customer":"y"}`)}, {Kind: int32(batch.QueryResults), WaitMs: 1 << 62}} {
		data, err := proto.Marshal(&Question{Kind: &Question_Job{Job: q}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, q := range []*PermitQuestion{{}, {Server: "s", Urgent: 1 << 31}, {Server: "s", Limit: &RateLimit{Declared: true, PerSecond: math.NaN(), AgeNs: -1}}} {
		data, err := proto.Marshal(&Question{Kind: &Question_Permits{Permits: q}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, q := range []*Question{
		encodeOrigins([]caller.StreamOrigin{testOrigin, {}}),
		{Kind: &Question_Origin{Origin: &StreamOriginQuestion{Stream: string(testOrigin.Stream)}}},
		{Kind: &Question_Suspects{Suspects: &SuspectQuestion{}}},
		encodeNotifications(Notifications{Suspects: testSuspects}),
		encodeTotals(testTotals),
		{Kind: &Question_UsagePull{UsagePull: &UsageQuestion{}}},
		{Kind: &Question_OriginPull{OriginPull: &StreamOriginPull{Address: "127.0.0.1:1"}}},
	} {
		data, err := proto.Marshal(q)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	data, err := proto.Marshal(&JobAnswer{Status: 77, Total: -1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := PeerServer{handlers: PeerHandlers{
			HandleEngineNotifications: func([]backend.ModelStatus) {},
			HandleOwnerNotifications:  func([]batch.Ownership) {},
			HandleRateLimits:          func([]backend.ServerRateLimit) {},
			HandleOrigins: func(origins []caller.StreamOrigin) {
				for _, o := range origins {
					if o.Stream == "" {
						t.Error("an origin without a stream")
					}
				}
			},
			HandleOriginQuestion: func(context.Context, core.RequestID) (caller.OriginLookup, error) {
				return caller.OriginLookup{Origin: testOrigin, IsKnown: true}, nil
			},
			HandleSuspects: func(r backend.SuspectReport) {
				for _, c := range r.Crashes {
					if c.Server == "" || c.Daemon == "" || c.Accepted < 0 {
						t.Errorf("crash %+v", c)
					}
				}
			},
			HandleSuspectQuestion: func(context.Context) (backend.SuspectReport, error) { return backend.SuspectReport{}, nil },
			HandleOriginPull: func(context.Context, string) ([]caller.StreamOrigin, error) {
				return []caller.StreamOrigin{testOrigin}, nil
			},
			HandleUsage: func(totals []usage.Totals) bool {
				for _, held := range totals {
					for customer, n := range held.Counts {
						if held.Run == "" || customer == "" || n <= 0 {
							t.Errorf("totals %+v", held)
						}
					}
				}
				return true
			},
			HandleUsagePull:    func(context.Context) ([]usage.Totals, error) { return testTotals, nil },
			HandleWatchRequest: func(context.Context, int64) (platform.Listing, error) { return platform.Listing{}, nil },
			HandleJobRequest:   func(context.Context, batch.Query) batch.Reply { return batch.Reply{} },
			HandlePermitRequest: func(_ context.Context, r backend.PermitRequest) (backend.PermitGrant, error) {
				if r.Urgent < 0 || r.Urgent > backend.MaxWantedPermits || !(r.Limit.PerSecond >= 0) || r.LimitAge < 0 {
					t.Errorf("accepted request %+v", r)
				}
				return backend.PermitGrant{}, nil
			},
		}}
		var m Question
		if proto.Unmarshal(data, &m) == nil {
			_, _ = s.handleRequest(&m)
		}
		var a JobAnswer
		if proto.Unmarshal(data, &a) == nil {
			if reply := decodeJobResponse(&a); reply.Status.String() == "" || reply.Total < 0 {
				t.Errorf("accepted response %+v", reply)
			}
			if grant, err := decodePermitGrant("s", a.GetPermits()); err == nil && (grant.RetryAfter < 0 || len(grant.Delays) > 2*backend.MaxWantedPermits) {
				t.Errorf("accepted grant %+v", grant)
			}
		}
	})
}
