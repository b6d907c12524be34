package transport

import "testing"

// Guards against request smuggling: a second request hidden in the body of
// another, because two parties disagree on where the first one ends.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	cases := map[string]bool{
		"Host: h\r\n\r\n":                                         true,
		"Host: h\r\nContent-Length: 4\r\n\r\n":                    true,
		"Transfer-Encoding: Chunked\r\n\r\n":                      true,
		"X-Content-Length: 4\r\n content-length:1":                false, // a folded line
		"Content-Length: 4\r\nContent-Length: 4\r\n\r\n":          false,
		"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n": false,
		"Transfer-Encoding: gzip, chunked\r\n\r\n":                false,
		"Transfer-Encoding: identity\r\n\r\n":                     false,
		"Content-Length : 4\r\n\r\n":                              false,
		"Transfer-Encoding\t: chunked\r\n\r\n":                    false,
	}
	for lines, unambiguous := range cases {
		if hasUnambiguousFraming([]byte(lines)) != unambiguous {
			t.Errorf("%q: unambiguous %v", lines, !unambiguous)
		}
	}
}
