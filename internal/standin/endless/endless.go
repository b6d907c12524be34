// Package endless sends responses that never end, as a faulty server may. It decides
// nothing, has no state and no duty; a call blocks until the client closes the
// connection.
package endless

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/network"
)

// blockBytes is the size of one write.
const blockBytes = 32 << 10

// response is the start of a response and the part that repeats without end.
type response struct{ start, repeated string }

// responses holds the kinds that a fault may name.
var responses = map[string]response{
	"head":    {"HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n"},
	"value":   {"HTTP/1.1 200 OK\r\nX-Filler: ", "a"},
	"interim": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"body":    {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "a"},
	"chunk":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "b"},
	"trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: a\r\n"},
	"events":  {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", ": wait\n\n"},
}

// Send writes the response of the kind until the client closes the connection, and
// reports false at once for an unknown kind.
func Send(c network.Conn, kind string) bool {
	r, known := responses[kind]
	if !known {
		return false
	}
	block := []byte(strings.Repeat(r.repeated, 1+blockBytes/len(r.repeated)))
	_, err := c.Write([]byte(r.start))
	for err == nil {
		_, err = c.Write(block)
	}
	_ = c.Close()
	return true
}
