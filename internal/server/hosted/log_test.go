package hosted

import (
	"bytes"
	"strings"
	"sync"
)

// lockedBuffer is a buffer for the logs of a test's daemons, which write it
// concurrently.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) has(s string) bool { return strings.Contains(b.String(), s) }

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
