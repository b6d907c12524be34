package daemon

import (
	"fmt"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

// storeCut reports whether the node is without the store.
func (n *node) storeCut() bool {
	return n.w.noStore[""] || n.w.noStore[n.id.Address] || n.w.noStore[n.id.DataCentre]
}

func (n *node) Submit(op platform.Op) bool {
	w := n.w
	w.storeCalls++
	reply := func(r platform.Result) { w.at(w.delay(), func() { op.Reply(r); n.touch() }) }
	if n.storeCut() {
		reply(platform.Result{Err: platform.ErrUnavailable})
		return true
	}
	if op.Kind != platform.OpGet && w.random.Float64() < w.slowWrite {
		w.at(time.Duration(w.random.Int64N(int64(8*time.Second))), func() { w.apply(op) })
		w.at(time.Second, func() { op.Reply(platform.Result{Err: platform.ErrUnknownOutcome}); n.touch() })
		return true
	}
	w.at(w.delay(), func() {
		r := w.apply(op)
		if w.random.Float64() < w.lostAnswer {
			r = platform.Result{Err: platform.ErrUnknownOutcome}
		}
		reply(r)
	})
	return true
}

func (w *world) apply(op platform.Op) platform.Result {
	current, found := w.objects[op.Key]
	if op.Kind == platform.OpGet {
		if !found {
			return platform.Result{Err: platform.ErrNotFound}
		}
		return platform.Result{Object: current}
	}
	if current.Version != op.IfVersion {
		return platform.Result{Err: platform.ErrConflict}
	}
	return platform.Result{Object: w.put(op.Key, op.Value, false)}
}

func (w *world) put(key string, value []byte, deleted bool) platform.Object {
	w.revision++
	o := platform.Object{Key: key, Version: w.objects[key].Version + 1, Revision: w.revision, Value: value, Deleted: deleted}
	w.objects[key] = o
	if _, isContract := cutPrefix(key); isContract {
		for _, n := range w.nodes {
			n.notify()
		}
	}
	return o
}

func cutPrefix(key string) (string, bool) {
	if len(key) < len(ContractPrefix) || key[:len(ContractPrefix)] != ContractPrefix {
		return "", false
	}
	return key[len(ContractPrefix):], true
}

// notify ends the node's waiting watch call with the changes since the last one.
// While the store is out of reach the call is made again.
func (n *node) notify() {
	if !n.watching || n.ended || n.seen == n.w.revision {
		return
	}
	n.w.storeCalls++
	if n.storeCut() {
		n.w.at(250*time.Millisecond, n.notify)
		return
	}
	n.deliverStore(n.seen == 0, n.seen)
}

// deliverStore sends the contracts that changed after the revision.
func (n *node) deliverStore(full bool, after int64) {
	s := platform.Snapshot{Revision: n.w.revision, Full: full}
	for key, o := range n.w.objects {
		if _, isContract := cutPrefix(key); isContract && o.Revision > after {
			s.Objects = append(s.Objects, o)
		}
	}
	n.seen = n.w.revision
	n.w.at(n.w.delay(), func() { n.config.Deliver(s); n.touch() })
}

func (n *node) SetActive(active bool) {
	n.watching = active
	if active {
		n.list()
	}
}

func (n *node) list() {
	if !n.watching || n.ended {
		return
	}
	n.w.storeCalls++
	if n.storeCut() {
		n.w.at(250*time.Millisecond, n.list)
		return
	}
	n.deliverStore(true, 0)
}

func (w *world) setContract(customer string, requests float64) platform.Object {
	value := fmt.Sprintf(`{"customer":%q,"limits":{"requestsPerSecond":%g}}`, customer, requests)
	return w.put(ContractPrefix+customer, []byte(value), false)
}

const leaseDuration = 4 * time.Second

// keepLeases renews the shares owners' leases and lets others take them over,
// with the timings of the design page.
func (w *world) keepLeases() {
	for _, n := range w.nodes {
		if n.ended || n.paused || n.storeCut() {
			continue
		}
		l := w.leases[n.id.DataCentre]
		if l == nil {
			l = &fakeLease{}
			w.leases[n.id.DataCentre] = l
		}
		free := w.now.Sub(l.renewed) >= leaseDuration+leaseDuration/8
		if l.holder == n || free {
			if l.holder != n {
				l.holder = n
				l.fence++
			}
			l.renewed = w.now
			n.shares.SetLease(OwnerLease{Fence: l.fence, ValidUntil: w.now.Add(leaseDuration * 3 / 4)})
			n.touch()
		}
	}
	w.at(500*time.Millisecond, w.keepLeases)
}

// handOver makes the shares owner stop and frees its lease at once, as a
// planned stop does.
func (w *world) handOver(dataCentre string) {
	l := w.leases[dataCentre]
	if l == nil || l.holder.ended {
		return
	}
	l.holder.shares.SetLease(OwnerLease{Fence: l.fence, ValidUntil: w.now})
	l.holder.touch()
	for _, n := range w.nodes {
		if n.id.DataCentre == dataCentre && n != l.holder && !n.ended && !n.paused && !n.storeCut() {
			w.settle()
			l.holder = n
			l.fence++
			l.renewed = w.now
			n.shares.SetLease(OwnerLease{Fence: l.fence, ValidUntil: w.now.Add(leaseDuration * 3 / 4)})
			n.touch()
			return
		}
	}
}

// hostPoll is the node's poller of the host list.
type hostPoll struct{ n *node }

// SetActive starts or stops the polling.
func (p hostPoll) SetActive(active bool) {
	if p.n.polling = active; active {
		p.n.poll()
	}
}

// poll delivers the list when it has changed, as the platform's poller does.
func (n *node) poll() {
	w := n.w
	if !n.polling || n.ended {
		return
	}
	if !w.noHosts[n.id.Address] && n.polled != w.hostsAt {
		n.polled = w.hostsAt
		n.relay.SetHosts(slices.Clone(w.hosts))
		n.touch()
	}
	w.at(platform.DefaultHostPollPeriod, n.poll)
}

// setHost adds or changes a host in the platform's list.
func (w *world) setHost(name, dataCentre string, state platform.HostState) {
	w.removeHost(name)
	w.hosts = append(w.hosts, platform.Host{
		Name: name, Role: platform.RoleBackend, Address: "10.0.9.1:" + name, DataCentre: dataCentre,
		State: state, Service: "wear-model", ServerKind: "engine",
	})
}

func (w *world) removeHost(name string) {
	w.hostsAt++
	w.hosts = slices.DeleteFunc(w.hosts, func(h platform.Host) bool { return h.Name == name })
}
