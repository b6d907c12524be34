// Package trainer is a stand-in for a trainer. State decides which deliveries a
// trainer accepts and what it acknowledges, as docs/operators/trainers.md
// specifies; Client implements the protocol over HTTP. No duty owns the state: it
// belongs to the goroutine that uses the Client. Each group is accepted at most
// once, as long as the state is saved before each request.
package trainer

import (
	"maps"
	"slices"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/trainer"
)

// State is what a trainer saves durably, together with the results of the accepted
// groups.
type State struct {
	Epoch  int64 // highest received
	Cursor int64 // highest sequence number received in that epoch
	Held   map[trainer.GroupRef]bool
	// Unacknowledged are the held groups for which no acknowledgement has been
	// confirmed.
	Unacknowledged []trainer.HeldGroup
	Accepted       int // groups accepted
	Duplicates     int // deliveries discarded because their group is held
	Outdated       int // deliveries discarded because of an older epoch
}

// NewState returns the state of a trainer that holds no groups.
func NewState() *State { return &State{Held: map[trainer.GroupRef]bool{}} }

// Clone returns a deep copy, such as the one that a trainer writes to disk.
func (s *State) Clone() *State {
	c := *s
	c.Held = maps.Clone(s.Held)
	c.Unacknowledged = slices.Clone(s.Unacknowledged)
	return &c
}

// Accept applies the trainer's rules to a delivery and reports whether the trainer
// accepts it. It discards deliveries of an older epoch and of held groups.
func (s *State) Accept(d trainer.Delivery) bool {
	if d.Epoch < s.Epoch {
		s.Outdated++
		return false
	}
	if d.Epoch > s.Epoch {
		s.Epoch, s.Cursor = d.Epoch, 0
	}
	s.Cursor = max(s.Cursor, d.Sequence)
	ref := trainer.GroupRef{Step: d.Step, Group: d.Group.ID}
	held := trainer.HeldGroup{Epoch: d.Epoch, Sequence: d.Sequence, GroupRef: ref}
	s.Unacknowledged = append(slices.DeleteFunc(s.Unacknowledged, func(h trainer.HeldGroup) bool { return h.GroupRef == ref }), held)
	if s.Held[ref] {
		s.Duplicates++
		return false
	}
	s.Held[ref] = true
	s.Accepted++
	return true
}

// NewFetchRequest returns the next request for deliveries. The state must be durable
// before the request is sent, because the owner counts held groups as delivered.
func (s *State) NewFetchRequest(name string, customer core.CustomerID) *trainer.FetchRequest {
	return &trainer.FetchRequest{
		Trainer: name, Customer: customer, After: s.Cursor, Epoch: s.Epoch, HeldGroups: slices.Clone(s.Unacknowledged),
	}
}

// NewAckRequest returns the next acknowledgement. As for NewFetchRequest, the state
// must be durable before the request is sent.
func (s *State) NewAckRequest(name string, customer core.CustomerID) *trainer.AckRequest {
	return &trainer.AckRequest{
		Trainer: name, Ack: trainer.Acknowledgement{Customer: customer, Groups: slices.Clone(s.Unacknowledged)},
	}
}

// MarkAcknowledged records that the owner has confirmed the acknowledgement.
func (s *State) MarkAcknowledged(a *trainer.AckRequest) {
	confirmed := map[trainer.HeldGroup]bool{}
	for _, h := range a.Ack.Groups {
		confirmed[h] = true
	}
	s.Unacknowledged = slices.DeleteFunc(s.Unacknowledged, func(h trainer.HeldGroup) bool { return confirmed[h] })
}

// HeldGroupIDs returns the IDs of the held groups of the step in ascending order.
func (s *State) HeldGroupIDs(step int64) []int {
	var ids []int
	for ref := range s.Held {
		if ref.Step == step {
			ids = append(ids, ref.Group)
		}
	}
	slices.Sort(ids)
	return ids
}
