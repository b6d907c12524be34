package backend

import "time"

// slotsUpdatePeriod is the minimum interval between two deliveries of the free
// slots.
const slotsUpdatePeriod = 10 * time.Millisecond

// ServiceSlots are the slots of the backend servers of one service.
type ServiceSlots struct {
	Service string
	Free    int // slots without an attempt of this daemon, on servers that are not leaving
	Total   int // slots of servers that are not leaving
}

// SetSlotsHandler sets the function that receives the free slots after each
// change. The function must not block. SetSlotsHandler must be called before
// the duty starts.
func (d *Dispatcher) SetSlotsHandler(deliver func([]ServiceSlots)) { d.deliverSlots = deliver }

// scheduleSlotsUpdate delivers the slots after slotsUpdatePeriod, together with
// changes until then.
func (d *Dispatcher) scheduleSlotsUpdate() {
	if d.deliverSlots == nil || d.slotsUpdatePending {
		return
	}
	d.slotsUpdatePending = true
	d.loop.After(slotsUpdatePeriod, func() {
		d.slotsUpdatePending = false
		d.deliverSlots(slotsByService(d.listed))
	})
}

func slotsByService(candidates []*Candidate) []ServiceSlots {
	var services []ServiceSlots
	index := map[string]int{}
	for _, c := range candidates {
		if c.Server.Leaving {
			continue
		}
		service := c.Server.Description.Service
		i, ok := index[service]
		if !ok {
			i = len(services)
			index[service] = i
			services = append(services, ServiceSlots{Service: service})
		}
		slots := c.Server.Description.Slots
		services[i].Total += slots
		services[i].Free += max(0, slots-c.Outstanding)
	}
	return services
}
