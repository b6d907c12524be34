package backend

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// lateContext is a context whose deadline has passed and whose timer has not fired.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Nanosecond), true }

// Guards against an outcome that depends on which of two timers fires first: the one
// of the deadline or the read time-out, when both end at the same time.
func TestPassedDeadlineDecidesOutcome(t *testing.T) {
	ctx := lateContext{context.Background()}
	timeout := errors.New("i/o timeout")
	if e := ConnectionError(ctx, 10, timeout); e.Code != core.CodeDeadline || e.Verdict != core.MayHaveRun {
		t.Errorf("connection error %v with verdict %v, want %v, %v", e.Code, e.Verdict, core.CodeDeadline, core.MayHaveRun)
	}
	if e := DialError(ctx, timeout); e.Code != core.CodeDeadline || e.Verdict != core.NotRun {
		t.Errorf("dial error %v with verdict %v, want %v, %v", e.Code, e.Verdict, core.CodeDeadline, core.NotRun)
	}
	if e := ConnectionError(context.Background(), 10, timeout); e.Code != core.CodeBackendFailure {
		t.Errorf("without a deadline: %v, want %v", e.Code, core.CodeBackendFailure)
	}
}
