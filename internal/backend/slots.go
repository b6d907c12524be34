package backend

import "time"

// slotsPeriod bounds how often changes of the free slots are told.
const slotsPeriod = 10 * time.Millisecond

// ServiceSlots is the room on the backend servers of one service.
type ServiceSlots struct {
	Service string
	Free    int // slots without an attempt of this daemon, on servers that stay
	Total   int // slots of servers that stay
}

// SetSlotsHandler sets the function that takes the free slots whenever they have
// changed. It must not wait, and it is set before the duty starts.
func (d *Dispatcher) SetSlotsHandler(deliver func([]ServiceSlots)) { d.deliverSlots = deliver }

// slotsChanged tells the slots after slotsPeriod; changes until then are told together.
func (d *Dispatcher) slotsChanged() {
	if d.deliverSlots == nil || d.slotsDue {
		return
	}
	d.slotsDue = true
	d.loop.After(slotsPeriod, func() {
		d.slotsDue = false
		d.deliverSlots(freeSlots(d.order))
	})
}

func freeSlots(candidates []*Candidate) []ServiceSlots {
	var all []ServiceSlots
	index := map[string]int{}
	for _, c := range candidates {
		if c.Server.Leaving {
			continue
		}
		service := c.Server.Description.Service
		i, ok := index[service]
		if !ok {
			i = len(all)
			index[service] = i
			all = append(all, ServiceSlots{Service: service})
		}
		slots := c.Server.Description.Slots
		all[i].Total += slots
		all[i].Free += max(0, slots-c.Outstanding)
	}
	return all
}
