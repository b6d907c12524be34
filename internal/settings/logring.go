package settings

import (
	"fmt"
	"io"
	"time"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	// logRing is the number of lines that wait for the output. A reader that
	// stands still costs at most this many lines of memory.
	logRing = 4096
	// logReport is how often dropped lines are told.
	logReport = time.Second
	// logBatch bounds the bytes of one write to the output.
	logBatch = 32 << 10
)

// LogWriter is the duty that writes log lines to the output. Those who log never
// wait: a line without room in the ring is dropped and counted.
type LogWriter struct {
	loop    *duty.Loop
	out     io.Writer
	lines   *ring.Ring[[]byte]
	told    uint64 // dropped lines that were told
	pending []byte
}

// NewLogWriter returns the duty. Its Write method serves as a logger's output.
func NewLogWriter(clock duty.Clock, out io.Writer) *LogWriter {
	l := &LogWriter{loop: duty.New("log", clock), out: out, lines: ring.New[[]byte]("log.lines", logRing)}
	duty.On(l.loop, l.lines, l.handle)
	l.loop.Every(logReport, l.report)
	l.loop.OnStop(l.report)
	return l
}

// Loop returns the duty's loop.
func (l *LogWriter) Loop() *duty.Loop { return l.loop }

// Dropped returns the number of lines that found no room.
func (l *LogWriter) Dropped() uint64 { return l.lines.Stats().Refused }

// Write takes one line. It never waits and never fails.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.lines.TryPut(append([]byte(nil), line...))
	return len(line), nil
}

// handle collects waiting lines, so that one write carries several.
func (l *LogWriter) handle(line []byte) {
	l.pending = append(l.pending, line...)
	if l.lines.Len() == 0 || len(l.pending) >= logBatch {
		l.flush()
	}
}

func (l *LogWriter) flush() {
	// An output that fails cannot be told about on itself.
	_, _ = l.out.Write(l.pending)
	l.pending = l.pending[:0]
}

// report says how many lines were dropped since the last report.
func (l *LogWriter) report() {
	dropped := l.Dropped()
	if dropped == l.told {
		return
	}
	l.pending = fmt.Appendf(l.pending, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped-l.told)
	l.told = dropped
	l.flush()
}
