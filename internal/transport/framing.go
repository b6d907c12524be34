package transport

import (
	"bytes"
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// rejectAmbiguousFraming answers a request whose end could be read in two ways
// with status 400 and closes the connection, as RFC 9112, section 6.3 has it.
// Another request could be hidden in its body otherwise.
func rejectAmbiguousFraming(_ context.Context, c *app.RequestContext) {
	if hasUnambiguousFraming(c.Request.Header.RawHeaders()) {
		return
	}
	c.SetConnectionClose()
	c.AbortWithStatus(consts.StatusBadRequest)
}

// hasUnambiguousFraming reports whether the header lines give the length of the body
// in one way at most.
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
