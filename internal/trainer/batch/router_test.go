package batch

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// faultyPeers passes queries to the daemons of a cluster. The first queries to others end
// with the errors.
type faultyPeers struct {
	cluster *testCluster
	errors  []error
	asked   int
	leave   func() // called with each query; nil is no call
}

func (p *faultyPeers) Addresses() []string { return nil }

func (p *faultyPeers) SendQuery(ctx context.Context, address string, q Query) (Reply, error) {
	p.asked++
	if p.leave != nil {
		p.leave()
	}
	if len(p.errors) > 0 {
		err := p.errors[0]
		p.errors = p.errors[1:]
		return Reply{}, err
	}
	for _, d := range p.cluster.daemons {
		if d.address == address {
			q.Relayed = true
			return d.manager.queries.Do(ctx, q)
		}
	}
	return Reply{}, os.ErrNotExist
}

// Guards against a job that is taken from an owner that lives, because the connection to
// it was reset or the caller of the query left, and against a takeover that is delayed
// when the owner does not respond.
func TestBrokenConnectionToOwnerIsNoReasonForTakeover(t *testing.T) {
	for _, c := range []struct {
		name      string
		errors    []error
		isGone    bool // the caller leaves while the owner is asked
		asked     int
		takesOver bool
	}{
		{"reset", []error{io.EOF}, false, 2, false},
		{"lost", []error{io.EOF, io.EOF}, false, 2, true},
		{"silent", []error{os.ErrDeadlineExceeded}, false, 1, true},
		{"caller left", []error{context.Canceled}, true, 1, false},
	} {
		cluster := newCluster(t, 2, 1)
		owner, reader := cluster.daemons[0], cluster.daemons[1]
		cluster.query(owner, submitQuery("a", 3))
		log := logrus.New()
		log.SetOutput(io.Discard)
		peers := &faultyPeers{cluster: cluster, errors: c.errors}
		router := NewRouter(reader.manager, peers, logrus.NewEntry(log))
		ctx, cancel := context.WithCancel(context.Background())
		if c.isGone {
			peers.leave = cancel
		}
		replies := make(chan Reply, 1)
		go func() { replies <- router.HandleQuery(ctx, Query{Kind: QueryResults, ID: "a"}) }()
		var reply *Reply
		for end := time.Now().Add(30 * time.Second); reply == nil && time.Now().Before(end); {
			cluster.step()
			select {
			case r := <-replies:
				reply = &r
			case <-time.After(time.Millisecond): // the router runs on its own goroutine
			}
		}
		if reply == nil || (reply.Status == StatusOK) == c.isGone {
			t.Fatalf("%s: reply %+v", c.name, reply)
		}
		for range 20 { // a takeover that has begun takes some steps
			cluster.step()
		}
		cancel()
		e := reader.manager.jobs["a"]
		if isOwner := e != nil && e.phase == phaseOwned; isOwner != c.takesOver || peers.asked != c.asked {
			t.Errorf("%s: taken over %v after %d queries, want %v after %d", c.name, isOwner, peers.asked, c.takesOver, c.asked)
		}
	}
}
