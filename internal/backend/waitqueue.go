package backend

import "slices"

// waitQueue holds the calls that wait for a server, the oldest first. Those whose answers
// have begun come before the others: only some servers may continue them, and what their
// readers have received is lost if none does in time.
type waitQueue struct {
	begun  []*callState
	others []*callState
}

func (q *waitQueue) add(s *callState) {
	if s.progress.IsEmpty() {
		q.others = append(q.others, s)
	} else {
		q.begun = append(q.begun, s)
	}
}

// take removes and returns the n oldest calls of each kind: a server that may continue no
// answer may still take another call.
func (q *waitQueue) take(n int) []*callState {
	begun, others := min(n, len(q.begun)), min(n, len(q.others))
	taken := slices.Concat(q.begun[:begun], q.others[:others])
	q.begun, q.others = q.begun[begun:], q.others[others:]
	return taken
}

// takeAll removes and returns all calls.
func (q *waitQueue) takeAll() []*callState { return q.take(max(len(q.begun), len(q.others))) }

// all returns the calls and leaves them in the queue.
func (q *waitQueue) all() []*callState { return slices.Concat(q.begun, q.others) }

func (q *waitQueue) remove(s *callState) {
	isSame := func(other *callState) bool { return other == s }
	q.begun = slices.DeleteFunc(q.begun, isSame)
	q.others = slices.DeleteFunc(q.others, isSame)
}
