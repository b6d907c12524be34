package settings

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
)

// Guards against lines that are lost or reordered while the ring has room, and
// against a Write that blocks when the ring is full.
func TestLogWriterKeepsOrderAndCountsDrops(t *testing.T) {
	clock := duty.NewManualClock(time.Unix(0, 0))
	var out bytes.Buffer
	l := NewLogWriter(clock, &out)
	const lines = logRingCapacity + 100
	for i := range lines {
		if n, err := fmt.Fprintf(l, "line %d\n", i); err != nil || n == 0 {
			t.Fatalf("write returned %d, %v", n, err)
		}
	}
	l.loop.RunPending()
	clock.Advance(dropReportPeriod)
	l.loop.RunPending()
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != logRingCapacity+1 || got[0] != "line 0" || got[logRingCapacity-1] != fmt.Sprintf("line %d", logRingCapacity-1) {
		t.Fatalf("%d lines, first %q", len(got), got[0])
	}
	if want := `"lines":100`; !strings.Contains(got[logRingCapacity], want) {
		t.Errorf("report %q lacks %s", got[logRingCapacity], want)
	}
}
