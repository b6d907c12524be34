package daemonrpc

import (
	"context"
	"testing"

	"github.com/berylfall/berylfall/internal/daemon"
	"github.com/berylfall/berylfall/internal/ring"
)

// BenchmarkLink measures one heartbeat through both ends of a loopback link,
// against the encoding and decoding alone.
func BenchmarkLink(b *testing.B) {
	work := make([]daemon.ServerWork, 56)
	for i := range work {
		work[i] = daemon.ServerWork{Server: daemon.ServerKey(i * 77_777_777), Outstanding: i % 5}
	}
	heartbeat := daemon.Envelope{From: sample, Message: daemon.Heartbeat{Sequence: 1000, EchoedSequence: 1000, ReceiverIncarnation: sample.Incarnation, OutstandingWork: work}}
	b.Run("loopback", func(b *testing.B) {
		server, client := testLinks(b, 8), testLinks(b, 8)
		arrived := ring.New[daemon.LinkEvent]("arrived", 64)
		events := ring.New[daemon.LinkEvent]("events", 64)
		server.SetEventHandler(arrived.TryPut)
		client.SetEventHandler(events.TryPut)
		client.Dial(server.Address())
		ctx := context.Background()
		opened, _ := events.Take(ctx)
		arrived.Take(ctx)
		for b.Loop() {
			client.Send(opened.Link, heartbeat)
			arrived.Take(ctx)
		}
		b.ReportMetric(float64(client.Traffic().BytesOut)/float64(client.Traffic().MessagesOut), "bytes/message")
	})
	b.Run("encoding", func(b *testing.B) {
		r, w := &loop{}, &loop{}
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

// loop hands written bytes to the reader of other.
type loop struct {
	other *loop
	data  []byte
}

func (l *loop) Write(p []byte) (int, error) {
	l.other.data = append(l.other.data, p...)
	return len(p), nil
}

func (l *loop) Read(p []byte) (int, error) {
	n := copy(p, l.data)
	l.data = l.data[:copy(l.data, l.data[n:])]
	return n, nil
}
