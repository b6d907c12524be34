package settings

import (
	"fmt"
	"io"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	// logRingCapacity is the number of lines that can wait for the output. It bounds
	// the memory in use while the reader of the output is stalled.
	logRingCapacity = 4096
	// dropReportPeriod is the interval between reports of dropped lines.
	dropReportPeriod = time.Second
	// writeBatchBytes is the number of bytes at which batched lines are written to the
	// output without waiting for more.
	writeBatchBytes = 32 << 10
)

// LogWriter is the duty that writes log lines to the output. Logging never
// blocks: a line that finds the ring full is dropped and counted.
type LogWriter struct {
	loop          *duty.Loop
	out           io.Writer
	lines         *ring.Ring[[]byte]
	reportedDrops uint64 // dropped lines that were reported
	batch         []byte
}

// NewLogWriter returns a duty that writes to out. The duty itself is the io.Writer
// for a logger's output.
func NewLogWriter(clock duty.Clock, out io.Writer) *LogWriter {
	l := &LogWriter{loop: duty.New("log", clock), out: out, lines: ring.New[[]byte]("log.lines", logRingCapacity)}
	duty.On(l.loop, l.lines, l.handleLine)
	l.loop.Every(dropReportPeriod, l.reportDrops)
	l.loop.OnStop(l.reportDrops)
	return l
}

// Loop returns the duty's loop.
func (l *LogWriter) Loop() *duty.Loop { return l.loop }

// Dropped returns the number of lines dropped since the start.
func (l *LogWriter) Dropped() uint64 { return l.lines.Stats().Refused }

// Write enqueues a copy of the line. It never blocks and never fails.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.lines.TryPut(append([]byte(nil), line...))
	return len(line), nil
}

// handleLine batches the queued lines to reduce the number of writes.
func (l *LogWriter) handleLine(line []byte) {
	l.batch = append(l.batch, line...)
	if l.lines.Len() == 0 || len(l.batch) >= writeBatchBytes {
		l.flush()
	}
}

func (l *LogWriter) flush() {
	// A failed write to the log output cannot be logged.
	_, _ = l.out.Write(l.batch)
	l.batch = l.batch[:0]
}

// reportDrops logs the number of lines dropped since the last report.
func (l *LogWriter) reportDrops() {
	dropped := l.Dropped()
	if dropped == l.reportedDrops {
		return
	}
	l.batch = fmt.Appendf(l.batch, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped-l.reportedDrops)
	l.reportedDrops = dropped
	l.flush()
}
