package daemonrpc

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/usage"
)

var testTotals = []usage.Totals{
	{Run: "front-1/a", Window: 353445120, Counts: usage.CustomerCounts{"hule930": 412, "fida11": 9}},
	{Run: "front-1/a", Window: 353445121, Counts: usage.CustomerCounts{}},
}

// Guards against counts that are lost or changed between two daemons, and against odd ones
// that are accepted.
func TestUsageMessagesAreWhole(t *testing.T) {
	var received []usage.Totals
	s := &PeerServer{handlers: PeerHandlers{
		HandleUsage:     func(totals []usage.Totals) bool { received = totals; return true },
		HandleUsagePull: func(context.Context) ([]usage.Totals, error) { return testTotals, nil },
	}}
	odd := append([]usage.Totals{{Window: 1, Counts: usage.CustomerCounts{"c": 1}}}, testTotals...)
	odd[2].Counts = usage.CustomerCounts{"": 1, "c": -1, "d": 0}
	if answer, err := s.handleRequest(encodeTotals(odd)); err != nil || !answer.GetHoldsUsage() || !reflect.DeepEqual(received, testTotals) {
		t.Errorf("received %+v, %v", received, err)
	}
	pull := &Question{Kind: &Question_UsagePull{UsagePull: &UsageQuestion{}}}
	if answer, err := s.handleRequest(pull); err != nil || !reflect.DeepEqual(decodeTotals(answer.GetUsage()), testTotals) {
		t.Errorf("pulled %v, %v", answer, err)
	}
}

// Guards against totals that count as held by a daemon that does not know them, as one of
// an earlier build or without reports.
func TestDaemonThatHoldsNoUsage(t *testing.T) {
	pool, err := duty.NewPool("peers", 8)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	for _, holds := range []bool{false, true} {
		var handlers PeerHandlers
		if holds {
			handlers.HandleUsage = func([]usage.Totals) bool { return true }
			handlers.HandleUsagePull = func(context.Context) ([]usage.Totals, error) { return testTotals, nil }
		}
		s, err := ListenPeers("127.0.0.1:0", pool, logrus.NewEntry(logrus.New()), handlers)
		if err != nil {
			t.Fatal(err)
		}
		if !pool.TryGo(func() { _ = s.Serve() }) {
			t.Fatal("no goroutine is free")
		}
		client := NewPeerClient(func() []string { return []string{s.Address()} })
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		sent := client.SendTotals(ctx, s.Address(), testTotals)
		totals, pulled := client.PullTotals(ctx, s.Address())
		if (sent == nil) != holds || (pulled == nil) != holds || (len(totals) > 0) != holds {
			t.Errorf("holds totals: %v: sent %v, pulled %v, %v", holds, sent, totals, pulled)
		}
		cancel()
		client.Close()
		_ = s.Shutdown(t.Context())
	}
}

// Guards against a changed number or type of a field of the messages with counts, after
// which daemons of two builds misread each other during an update.
func TestRecordedUsageMessages(t *testing.T) {
	one := []usage.Totals{{Run: "front-1/a", Window: 353445120, Counts: usage.CustomerCounts{"hule930": 412}}}
	recorded := readRecorded(t, "usage.hex")
	for i, m := range []proto.Message{
		encodeTotals(one), &Question{Kind: &Question_UsagePull{UsagePull: &UsageQuestion{}}}, &JobAnswer{Usage: encodeTotalsList(one), HoldsUsage: true},
	} {
		requireFrame(t, m, recorded[i])
	}
}
