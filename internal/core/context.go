package core

import (
	"context"
	"time"
)

// ContextCause returns why ctx has ended, or nil. A deadline that has passed counts
// although the timer of ctx has not fired yet. Otherwise the outcome of an attempt
// whose read or dial times out at its deadline would depend on which timer fires
// first.
func ContextCause(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}
