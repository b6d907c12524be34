package daemonrpc

import (
	"context"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/trainer/batch"
)

// startContactServer starts a server for notifications. onContact receives where requests
// come from; nil ignores it.
func startContactServer(t *testing.T, onContact func(ip string)) *PeerServer {
	t.Helper()
	pool, err := duty.NewPool("peers", 8)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	log := logrus.New()
	log.SetOutput(io.Discard)
	server, err := ListenPeers("127.0.0.1:0", pool, logrus.NewEntry(log), PeerHandlers{
		HandleContact:             onContact,
		HandleEngineNotifications: func([]backend.ModelStatus) {}, HandleOwnerNotifications: func([]batch.Ownership) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return server
}

// Guards against a daemon that takes peers which are gone for good, and whose addresses
// are still listed, for the other side of a partition.
func TestRecentPeersHaveAnswered(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	server := startContactServer(t, nil)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	goneAddress := gone.Addr().String()
	_ = gone.Close()
	client := NewPeerClient(func() []string { return []string{server.Address(), goneAddress} })
	defer client.Close()
	if recent := client.RecentPeers(); len(recent) != 0 {
		t.Errorf("recent peers %v before any request", recent)
	}
	if err := client.Notify(ctx, server.Address(), Notifications{}); err != nil {
		t.Fatal(err)
	}
	if err := client.Notify(ctx, goneAddress, Notifications{}); err == nil {
		t.Fatal("the peer that is gone has answered")
	}
	if recent := client.RecentPeers(); !slices.Equal(recent, []string{server.Address()}) {
		t.Errorf("recent peers %v, want %s only", recent, server.Address())
	}
}

// Guards against a daemon of a data centre that is cut off and stays ready, because it
// has asked no peer lately and so has none to judge the partition by.
func TestPeersThatSendRequestsAreRecent(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	const silent = "192.0.2.1:7"
	receiver := NewPeerClient(func() []string { return []string{"127.0.0.1:9", silent} })
	server := startContactServer(t, receiver.RecordContact)
	sender := NewPeerClient(func() []string { return nil })
	defer sender.Close()
	if err := sender.Notify(ctx, server.Address(), Notifications{}); err != nil {
		t.Fatal(err)
	}
	if recent := receiver.RecentPeers(); !slices.Equal(recent, []string{"127.0.0.1:9"}) {
		t.Errorf("recent peers %v, want the one whose request came, and not %s", recent, silent)
	}
}
