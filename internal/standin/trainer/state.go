// Package trainer is a stand-in for a trainer. State holds the trainer's part
// of the delivery protocol, as docs/operators/trainers.md states it; Client
// speaks it over HTTP.
package trainer

import (
	"maps"
	"slices"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/trainer"
)

// State is what a trainer keeps durably, together with what it has learned.
type State struct {
	Epoch  int64 // highest seen
	Cursor int64 // highest sequence taken in that epoch
	Held   map[trainer.GroupRef]bool
	// Unconfirmed are the groups held for which no acknowledgement was answered.
	Unconfirmed []trainer.HeldGroup
	Learned     int // groups learned from
	Repeated    int // deliveries dropped because their group is held
	Outdated    int // deliveries dropped for their epoch
}

// NewState returns the state of a trainer that holds nothing.
func NewState() *State { return &State{Held: map[trainer.GroupRef]bool{}} }

// Clone returns a copy, such as the one that a trainer writes to disk.
func (s *State) Clone() *State {
	c := *s
	c.Held = maps.Clone(s.Held)
	c.Unconfirmed = slices.Clone(s.Unconfirmed)
	return &c
}

// Take applies the trainer's rules to a delivery and reports whether the
// trainer learns from it.
func (s *State) Take(d trainer.Delivery) bool {
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
	s.Unconfirmed = append(slices.DeleteFunc(s.Unconfirmed, func(h trainer.HeldGroup) bool { return h.GroupRef == ref }), held)
	if s.Held[ref] {
		s.Repeated++
		return false
	}
	s.Held[ref] = true
	s.Learned++
	return true
}

// Fetch returns the next request for deliveries. The state must be durable
// before the request is sent, because the owner counts held groups as delivered.
func (s *State) Fetch(name string, customer core.CustomerID) *trainer.FetchRequest {
	return &trainer.FetchRequest{
		Trainer: name, Customer: customer, After: s.Cursor, Epoch: s.Epoch, HeldGroups: slices.Clone(s.Unconfirmed),
	}
}

// Ack returns the next acknowledgement. The same rule as for Fetch applies.
func (s *State) Ack(name string, customer core.CustomerID) *trainer.AckRequest {
	return &trainer.AckRequest{
		Trainer: name, Ack: trainer.Acknowledgement{Customer: customer, Groups: slices.Clone(s.Unconfirmed)},
	}
}

// Confirm takes the answer to an acknowledgement.
func (s *State) Confirm(a *trainer.AckRequest) {
	confirmed := map[trainer.HeldGroup]bool{}
	for _, h := range a.Ack.Groups {
		confirmed[h] = true
	}
	s.Unconfirmed = slices.DeleteFunc(s.Unconfirmed, func(h trainer.HeldGroup) bool { return confirmed[h] })
}

// HeldIn returns the ids of the groups of the step that are held, in order.
func (s *State) HeldIn(step int64) []int {
	var ids []int
	for ref := range s.Held {
		if ref.Step == step {
			ids = append(ids, ref.Group)
		}
	}
	slices.Sort(ids)
	return ids
}
