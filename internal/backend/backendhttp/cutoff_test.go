package backendhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
)

// Guards against an answer that its server breaks off, at any byte of its head or body,
// and that passes for a complete one.
func TestCutOffAnswerIsNoAnswer(t *testing.T) {
	const event = `data: {"position":0,"tokens":[1,2],"weight_version":7}` + "\n\n"
	const last = `data: {"position":2,"tokens":[],"finish_reason":"stop"}` + "\n\n"
	answers := map[string]string{
		"plain":          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"ok\":true}",
		"stream":         fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event, len(last), last),
		"without length": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event + last,
	}
	for name, answer := range answers {
		n := 0
		address := serveScript(t, func(_ int, c *net.TCPConn) {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil && r.Method == http.MethodPost {
				_, _ = c.Write([]byte(answer[:n]))
			}
			_ = c.Close()
		})
		// The answer is complete with its last event; only the end of the body follows it.
		end := len(answer)
		if name == "stream" {
			end -= len("}\n\n\r\n0\r\n\r\n")
		}
		if name == "without length" {
			end -= len("}\n\n")
		}
		for n = range end {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			r := &core.Request{ID: "r", Model: "wear", MaxTokens: 8, Repeatable: true}
			if name == "plain" {
				r = &core.Request{ID: "r", Operation: "look", Repeatable: true}
			}
			got := newClient(t).Exchange(backend.Attempt{Number: 1, Call: core.NewCall(ctx, r), Context: ctx, Address: address, Incarnation: "i"})
			if got.Err == nil || got.Verdict == core.Ran {
				t.Errorf("%s: %q passes for an answer: %+v", name, answer[:n], got.End)
			}
			cancel()
		}
	}
}

// Guards against the answer of a next server in the middle of a stream: what is no event
// that follows the received tokens is a failure of the attempt.
func TestAnswerOfNextServerIsNotJoinedToStream(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, answer := range map[string]string{
		"failure":        "HTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\nerror",
		"other content":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror",
		"cut off head":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-st",
		"gap":            head + "data: {\"position\":4,\"tokens\":[9],\"weight_version\":7}\n\n",
		"bytes":          head + "error\n\n",
		"end too early":  head + "data: {\"position\":1,\"tokens\":[],\"finish_reason\":\"stop\"}\n\n",
		"other request":  head + "data: {\"request_id\":\"x\",\"position\":2,\"tokens\":[9],\"weight_version\":7}\n\n",
		"part of tokens": head + "data: {\"position\":1,\"tokens\":[8,9],\"weight_version\":7}\n\n",
	} {
		address := serveScript(t, func(_ int, c *net.TCPConn) {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil && r.Method == http.MethodPost {
				_, _ = c.Write([]byte(answer))
			}
			_ = c.Close()
		})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		progress := core.Progress{Tokens: []int32{1, 2}}
		call := core.NewCall(ctx, &core.Request{ID: "r", Model: "wear", MaxTokens: 8, Repeatable: true})
		end := newClient(t).Exchange(backend.Attempt{Number: 2, Call: call, Context: ctx, Address: address, Incarnation: "i", Resume: progress})
		if end.Err == nil || len(end.Tokens) > 0 || call.Answer.Tokens() > 0 || !slices.Equal(progress.Tokens, []int32{1, 2}) {
			t.Errorf("%s: end %+v with tokens %v", name, end.Err, end.Tokens)
		}
		cancel()
	}
}
