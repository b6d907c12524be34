package daemonrpc

import (
	"context"
	"testing"

	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/ring"
)

// BenchmarkLink measures one heartbeat over both ends of a loopback link, and
// the encoding and decoding alone for comparison.
func BenchmarkLink(b *testing.B) {
	work := make([]daemon.ServerWork, 56)
	for i := range work {
		work[i] = daemon.ServerWork{Server: daemon.ServerKey(i * 77_777_777), Outstanding: i % 5}
	}
	heartbeat := daemon.Envelope{From: sampleIdentity, Message: daemon.Heartbeat{Sequence: 1000, EchoedSequence: 1000, ReceiverIncarnation: sampleIdentity.Incarnation, OutstandingWork: work}}
	b.Run("loopback", func(b *testing.B) {
		server, client := newTestLinks(b, 8), newTestLinks(b, 8)
		serverEvents := ring.New[daemon.LinkEvent]("arrived", 64)
		clientEvents := ring.New[daemon.LinkEvent]("events", 64)
		server.SetEventHandler(serverEvents.TryPut)
		client.SetEventHandler(clientEvents.TryPut)
		client.Dial(server.Address())
		ctx := context.Background()
		opened, _ := clientEvents.Take(ctx)
		serverEvents.Take(ctx)
		for b.Loop() {
			client.Send(opened.Link, heartbeat)
			serverEvents.Take(ctx)
		}
		b.ReportMetric(float64(client.Traffic().BytesOut)/float64(client.Traffic().MessagesOut), "bytes/message")
	})
	b.Run("encoding", func(b *testing.B) {
		r, w := &pipeEnd{}, &pipeEnd{}
		w.other = r
		e := &encoder{w: w}
		d := &decoder{r: r}
		for b.Loop() {
			if _, err := e.write(heartbeat); err != nil {
				b.Fatal(err)
			}
			if _, _, err := d.read(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// pipeEnd passes written bytes to the reader of other.
type pipeEnd struct {
	other *pipeEnd
	data  []byte
}

func (l *pipeEnd) Write(p []byte) (int, error) {
	l.other.data = append(l.other.data, p...)
	return len(p), nil
}

func (l *pipeEnd) Read(p []byte) (int, error) {
	n := copy(p, l.data)
	l.data = l.data[:copy(l.data, l.data[n:])]
	return n, nil
}
