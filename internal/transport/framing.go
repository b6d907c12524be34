package transport

import (
	"bytes"
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// rejectAmbiguousFraming responds with status 400 and closes the connection when
// the length of a request's body is ambiguous, as RFC 9112, section 6.3 requires.
// This prevents request smuggling.
func rejectAmbiguousFraming(_ context.Context, c *app.RequestContext) {
	if hasUnambiguousFraming(c.Request.Header.RawHeaders()) {
		return
	}
	c.SetConnectionClose()
	c.AbortWithStatus(consts.StatusBadRequest)
}

// hasUnambiguousFraming reports whether the header lines define the length of the
// body at most once, by Content-Length or by chunked encoding.
func hasUnambiguousFraming(lines []byte) bool {
	framings := 0
	for line := range bytes.SplitSeq(lines, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		trimmed := bytes.TrimSpace(name)
		isLength := bytes.EqualFold(trimmed, []byte(consts.HeaderContentLength))
		isCoding := bytes.EqualFold(trimmed, []byte(consts.HeaderTransferEncoding))
		if !isLength && !isCoding {
			continue
		}
		framings++
		if len(trimmed) != len(name) || framings > 1 {
			return false
		}
		if isCoding && !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
			return false
		}
	}
	return true
}
