package daemon

import (
	"fmt"
	"slices"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
)

// isStoreDown reports whether the daemon cannot reach the store.
func (n *simDaemon) isStoreDown() bool {
	return n.sim.isStoreDown[""] || n.sim.isStoreDown[n.id.Address] || n.sim.isStoreDown[n.id.DataCentre]
}

func (n *simDaemon) Submit(op platform.Op) bool {
	sim := n.sim
	sim.storeCalls++
	reply := func(r platform.Result) { sim.after(sim.delay(), func() { op.Reply(r); n.markRunnable() }) }
	if n.isStoreDown() {
		reply(platform.Result{Err: platform.ErrUnavailable})
		return true
	}
	if op.Kind != platform.OpGet && sim.random.Float64() < sim.slowWriteRate {
		sim.after(time.Duration(sim.random.Int64N(int64(8*time.Second))), func() { sim.apply(op) })
		sim.after(time.Second, func() { op.Reply(platform.Result{Err: platform.ErrUnknownOutcome}); n.markRunnable() })
		return true
	}
	sim.after(sim.delay(), func() {
		r := sim.apply(op)
		if sim.random.Float64() < sim.lostReplyRate {
			r = platform.Result{Err: platform.ErrUnknownOutcome}
		}
		reply(r)
	})
	return true
}

func (sim *simulation) apply(op platform.Op) platform.Result {
	current, found := sim.objects[op.Key]
	if op.Kind == platform.OpGet {
		if !found {
			return platform.Result{Err: platform.ErrNotFound}
		}
		return platform.Result{Object: current}
	}
	if current.Version != op.IfVersion {
		return platform.Result{Err: platform.ErrConflict}
	}
	return platform.Result{Object: sim.put(op.Key, op.Value, false)}
}

func (sim *simulation) put(key string, value []byte, deleted bool) platform.Object {
	sim.revision++
	o := platform.Object{Key: key, Version: sim.objects[key].Version + 1, Revision: sim.revision, Value: value, Deleted: deleted}
	sim.objects[key] = o
	if _, isContract := cutContractPrefix(key); isContract {
		for _, n := range sim.daemons {
			n.deliverChanges()
		}
	}
	return o
}

func cutContractPrefix(key string) (string, bool) {
	if len(key) < len(ContractPrefix) || key[:len(ContractPrefix)] != ContractPrefix {
		return "", false
	}
	return key[len(ContractPrefix):], true
}

// deliverChanges completes the daemon's pending watch call with the changes
// since the last one. While the store is unreachable the call is repeated.
func (n *simDaemon) deliverChanges() {
	if !n.isWatching || n.hasEnded || n.watchRevision == n.sim.revision {
		return
	}
	n.sim.storeCalls++
	if n.isStoreDown() {
		n.sim.after(250*time.Millisecond, n.deliverChanges)
		return
	}
	n.deliverSnapshot(n.watchRevision == 0, n.watchRevision)
}

// deliverSnapshot delivers the contracts that changed after the revision.
func (n *simDaemon) deliverSnapshot(full bool, after int64) {
	s := platform.Snapshot{Revision: n.sim.revision, Full: full}
	for key, o := range n.sim.objects {
		if _, isContract := cutContractPrefix(key); isContract && o.Revision > after {
			s.Objects = append(s.Objects, o)
		}
	}
	n.watchRevision = n.sim.revision
	n.sim.after(n.sim.delay(), func() { n.config.Deliver(s); n.markRunnable() })
}

func (n *simDaemon) SetActive(active bool) {
	n.isWatching = active
	if active {
		n.listContracts()
	}
}

func (n *simDaemon) listContracts() {
	if !n.isWatching || n.hasEnded {
		return
	}
	n.sim.storeCalls++
	if n.isStoreDown() {
		n.sim.after(250*time.Millisecond, n.listContracts)
		return
	}
	n.deliverSnapshot(true, 0)
}

func (sim *simulation) setContract(customer string, requests float64) platform.Object {
	value := fmt.Sprintf(`{"customer":%q,"limits":{"requestsPerSecond":%g}}`, customer, requests)
	return sim.put(ContractPrefix+customer, []byte(value), false)
}

const leaseDuration = 4 * time.Second

// renewLeases renews the leases of the shares owners and lets other daemons
// take over expired ones, with the timings of the design page.
func (sim *simulation) renewLeases() {
	for _, n := range sim.daemons {
		if n.hasEnded || n.isPaused || n.isStoreDown() {
			continue
		}
		l := sim.leases[n.id.DataCentre]
		if l == nil {
			l = &simLease{}
			sim.leases[n.id.DataCentre] = l
		}
		free := sim.now.Sub(l.renewed) >= leaseDuration+leaseDuration/8
		if l.holder == n || free {
			if l.holder != n {
				l.holder = n
				l.fence++
			}
			l.renewed = sim.now
			n.shares.SetLease(OwnerLease{Fence: l.fence, ValidUntil: sim.now.Add(leaseDuration * 3 / 4)})
			n.markRunnable()
		}
	}
	sim.after(500*time.Millisecond, sim.renewLeases)
}

// handOverLease stops the shares owner and passes its lease to another daemon
// immediately, as a planned stop does.
func (sim *simulation) handOverLease(dataCentre string) {
	l := sim.leases[dataCentre]
	if l == nil || l.holder.hasEnded {
		return
	}
	l.holder.shares.SetLease(OwnerLease{Fence: l.fence, ValidUntil: sim.now})
	l.holder.markRunnable()
	for _, n := range sim.daemons {
		if n.id.DataCentre == dataCentre && n != l.holder && !n.hasEnded && !n.isPaused && !n.isStoreDown() {
			sim.runUntilIdle()
			l.holder = n
			l.fence++
			l.renewed = sim.now
			n.shares.SetLease(OwnerLease{Fence: l.fence, ValidUntil: sim.now.Add(leaseDuration * 3 / 4)})
			n.markRunnable()
			return
		}
	}
}

// simHostPoller polls the host list for a daemon.
type simHostPoller struct{ n *simDaemon }

// SetActive starts or stops the polling.
func (p simHostPoller) SetActive(active bool) {
	if p.n.isPolling = active; active {
		p.n.pollHosts()
	}
}

// pollHosts delivers the host list when it has changed, as the platform's
// poller does.
func (n *simDaemon) pollHosts() {
	sim := n.sim
	if !n.isPolling || n.hasEnded {
		return
	}
	if !sim.isHostListDown[n.id.Address] && n.polledVersion != sim.hostsVersion {
		n.polledVersion = sim.hostsVersion
		n.relay.SetHosts(slices.Clone(sim.hosts))
		n.markRunnable()
	}
	sim.after(platform.DefaultHostPollPeriod, n.pollHosts)
}

// setHost adds or replaces a host in the platform's list.
func (sim *simulation) setHost(name, dataCentre string, state platform.HostState) {
	sim.removeHost(name)
	sim.hosts = append(sim.hosts, platform.Host{
		Name: name, Role: platform.RoleBackend, Address: "10.0.9.1:" + name, DataCentre: dataCentre,
		State: state, Service: "wear-model", ServerKind: "engine",
	})
}

func (sim *simulation) removeHost(name string) {
	sim.hostsVersion++
	sim.hosts = slices.DeleteFunc(sim.hosts, func(h platform.Host) bool { return h.Name == name })
}
