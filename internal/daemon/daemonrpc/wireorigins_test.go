package daemonrpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport/transporttest"
)

var testOrigin = caller.StreamOrigin{Stream: "9c41d07be2a35f68", Service: "model", Software: "v1.1"}

// Guards against a field of a stream's origin that is lost between two daemons, and
// against an origin that names no stream.
func TestOriginMessagesAreWhole(t *testing.T) {
	var received []caller.StreamOrigin
	s := &PeerServer{handlers: PeerHandlers{
		HandleOrigins: func(list []caller.StreamOrigin) { received = list },
		HandleOriginQuestion: func(_ context.Context, stream core.RequestID) (caller.OriginLookup, error) {
			return caller.OriginLookup{Origin: testOrigin, IsKnown: stream == testOrigin.Stream}, nil
		},
	}}
	if _, err := s.handleRequest(encodeOrigins([]caller.StreamOrigin{testOrigin, {Service: "model"}})); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(received, []caller.StreamOrigin{testOrigin}) {
		t.Errorf("received %+v", received)
	}
	s.handlers.HandleOriginPull = func(_ context.Context, address string) ([]caller.StreamOrigin, error) {
		return []caller.StreamOrigin{{Stream: core.RequestID(address), Software: testOrigin.Software}, {}, testOrigin}, nil
	}
	pulled, err := s.handleRequest(&Question{Kind: &Question_OriginPull{OriginPull: &StreamOriginPull{Address: "d1"}}})
	if err != nil || !reflect.DeepEqual(decodeOrigins(pulled.GetOrigins()), []caller.StreamOrigin{{Stream: "d1", Software: testOrigin.Software}, testOrigin}) {
		t.Errorf("pulled origins: %v, %v", pulled, err)
	}
	for stream, isKnown := range map[core.RequestID]bool{testOrigin.Stream: true, "other": false} {
		answer, err := s.handleRequest(&Question{Kind: &Question_Origin{Origin: &StreamOriginQuestion{Stream: string(stream)}}})
		if err != nil || (answer.GetOrigin() != nil) != isKnown {
			t.Errorf("%s: answer %v, %v", stream, answer, err)
		}
	}
}

// Guards against an answer of a daemon that is cut off and passes for a complete one, and
// against the origin of another stream.
func TestCutOffOriginAnswerIsAnError(t *testing.T) {
	var whole bytes.Buffer
	if _, err := protodelim.MarshalTo(&whole, &JobAnswer{Origin: encodeOrigin(testOrigin)}); err != nil {
		t.Fatal(err)
	}
	n := 0
	address := transporttest.Serve(t, func(c net.Conn) {
		session, err := yamux.Server(c, peerSessionConfig())
		if err != nil {
			return
		}
		for {
			stream, err := session.Accept()
			if err != nil {
				return
			}
			_, _ = stream.Write(whole.Bytes()[:n])
			_ = stream.Close()
			_, _ = io.Copy(io.Discard, stream)
		}
	})
	client := NewPeerClient(func() []string { return []string{address} })
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for n = range whole.Len() {
		if o, found, err := client.FindOrigin(ctx, address, testOrigin.Stream); err == nil || found {
			t.Errorf("%d of %d bytes give %+v, %v", n, whole.Len(), o, err)
		}
	}
	n = whole.Len()
	if o, found, err := client.FindOrigin(ctx, address, testOrigin.Stream); err != nil || !found || o != testOrigin {
		t.Errorf("the whole answer gives %+v, %v, %v", o, found, err)
	}
	if _, found, err := client.FindOrigin(ctx, address, "other"); err == nil || found {
		t.Error("the origin of another stream is accepted")
	}
}
