package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const host = "ficu95.example"

// answer is what a requester got for one attempt.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send makes one requester attempt on a new channel.
func send(address, method, target, id string, header map[string]string, body []byte, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit + time.Second))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, host, id, limit.Milliseconds())
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	got, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: got, err: err}
}
