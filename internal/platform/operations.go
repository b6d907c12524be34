package platform

import "time"

// OpKind is the kind of a store operation.
type OpKind int

// Kinds of operation.
const (
	OpGet OpKind = iota
	OpList
	OpPut
	OpDelete
)

// Op is one operation on the object API.
type Op struct {
	Kind      OpKind
	Key       string // or prefix, for OpList
	Value     []byte
	IfVersion int64
	// Timeout bounds the wait for the budget, for an earlier write to the same
	// key and for the end of an outage. 0 takes StoreOptions.OpTimeout.
	Timeout time.Duration
	// Urgent operations start before others and may use the reserved share of the
	// budget and of the concurrent calls. Only lease operations are urgent.
	Urgent bool
	// FailFast rejects the operation at once while the store is down or refuses the
	// calls of this daemon, except for the one call that checks whether it is up again.
	FailFast bool
	// Reply is called with the result on the store duty's goroutine. It must not
	// block: it puts the result into a ring of the calling duty.
	Reply func(Result)
}

func (op Op) isWrite() bool { return op.Kind == OpPut || op.Kind == OpDelete }

// Result is the outcome of an Op. Err wraps one of the errors of this package.
type Result struct {
	Object  Object
	Listing Listing
	Err     error
}
