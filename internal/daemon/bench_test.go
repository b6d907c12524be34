package daemon

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/platform"
)

// EncodedSize is set by the external test package, which may import package
// daemonrpc.
var EncodedSize func(Envelope) int

// warmUpTime is the virtual time in which the mesh, the contracts and the
// shares settle.
const warmUpTime = 20 * time.Second

// BenchmarkChangeInForce measures the virtual time from the store's acceptance
// of a contract until it is in force at the last daemon.
func BenchmarkChangeInForce(b *testing.B) {
	for _, size := range []struct{ dataCentres, perDC int }{{1, 3}, {3, 10}, {15, 20}} {
		for _, loss := range []float64{0, 0.3} {
			b.Run(fmt.Sprintf("daemons=%d/loss=%g", size.dataCentres*size.perDC, loss), func(b *testing.B) {
				benchmarkChange(b, size.dataCentres, size.perDC, loss)
			})
		}
	}
}

func benchmarkChange(b *testing.B, dataCentres, daemonsPerDataCentre int, loss float64) {
	sim := newSimulation(1)
	sim.jitter = time.Millisecond
	sim.startCluster(dataCentres, daemonsPerDataCentre)
	sim.run(warmUpTime, nil)
	sim.isLost = func(Envelope) bool { return loss > 0 && sim.random.Float64() < loss }
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	sim.storeCalls = 0
	sentBefore := sim.sentByType["daemon.Contracts"]
	for b.Loop() {
		o := sim.setContract("prairie", float64(sim.revision))
		accepted := sim.now
		for range 50 {
			if sim.isInForceEverywhere("prairie", o.Version) {
				break
			}
			sim.run(100*time.Millisecond, nil)
		}
		sim.run(400*time.Millisecond, nil)
		for _, n := range sim.daemons {
			if n.version("prairie") != o.Version {
				b.Fatalf("%s/%s has no version %d after 5 s", n.id.DataCentre, n.id.Name, o.Version)
			}
			_ = h.RecordValue(int64(n.setAt.Sub(accepted) / time.Microsecond))
		}
	}
	daemons := float64(len(sim.daemons))
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
	b.ReportMetric(float64(sim.sentByType["daemon.Contracts"]-sentBefore)/float64(b.N), "relays/change")
	b.ReportMetric(float64(sim.storeCalls)/float64(b.N), "storecalls/change")
	b.ReportMetric(daemons, "baseline-storecalls/change") // if every daemon watched the store
}

func (sim *simulation) isInForceEverywhere(customer string, version int64) bool {
	for _, n := range sim.daemons {
		if n.version(customer) != version {
			return false
		}
	}
	return true
}

// controlLoad determines the control traffic of a data centre. remote is the
// number of backend servers of other data centres, polled every 10 s. With
// described, reports carry a description, as those of the poller do.
type controlLoad struct {
	dataCentres, daemonsPerDataCentre, servers, contracts, busy, remote int
	described                                                           bool
}

// BenchmarkControl measures the bytes and messages that the daemons send each
// second without changes, and the CPU time of the decisions. The benchmark of
// package daemonrpc measures the encoding.
func BenchmarkControl(b *testing.B) {
	for _, c := range []controlLoad{
		{1, 3, 0, 10, 2, 0, false}, {1, 10, 0, 10, 2, 0, false}, {1, 22, 0, 10, 2, 0, false},
		{1, 22, 28, 10, 2, 0, false}, {1, 22, 56, 10, 2, 0, false},
		{1, 22, 56, 200, 2, 0, false}, {1, 22, 56, 200, 20, 0, false}, {1, 22, 56, 200, 20, 944, false}, {1, 22, 56, 200, 20, 944, true},
		{18, 22, 56, 200, 20, 0, false},
	} {
		name := fmt.Sprintf("dcs=%d/daemons=%d/servers=%d/contracts=%d/busy=%d/remote=%d/described=%v", c.dataCentres, c.daemonsPerDataCentre, c.servers, c.contracts, c.busy, c.remote, c.described)
		b.Run(name, func(b *testing.B) { benchmarkControl(b, c) })
	}
}

func benchmarkControl(b *testing.B, c controlLoad) {
	before := heapBytes()
	sim := newSimulation(1)
	sim.startCluster(c.dataCentres, c.daemonsPerDataCentre)
	for i := range c.contracts {
		sim.setContract(fmt.Sprintf("customer-%d", i), 1000)
	}
	for i := range c.servers * c.dataCentres {
		sim.setHost(fmt.Sprintf("engine-%04d", i), fmt.Sprintf("dc%d", i%c.dataCentres), platform.HostLive)
	}
	sim.renewLeases()
	sim.reportLoad(c)
	sim.run(warmUpTime, nil)
	clear(sim.sentByType)
	sim.messageSize = EncodedSize
	sim.storeCalls = 0
	polls := 0
	for _, n := range sim.daemons {
		for i := range c.servers {
			if IsPollerOf(n.peers.view, serverID(i)) {
				polls++
			}
		}
	}
	seconds := 0
	for b.Loop() {
		sim.run(time.Second, nil)
		seconds++
	}
	daemons := float64(len(sim.daemons))
	messages := 0
	for _, n := range sim.sentByType {
		messages += n
	}
	per := daemons * float64(seconds)
	b.ReportMetric(float64(sim.sentBytes)/per, "bytes/s/daemon")
	most := 0
	for _, n := range sim.daemons {
		most = max(most, n.trafficBytes)
	}
	b.ReportMetric(float64(most)/float64(seconds), "max-in+out-bytes/s")
	b.ReportMetric(float64(messages)/per, "messages/s/daemon")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "cpu-µs/s/daemon")
	b.ReportMetric(float64(sim.storeCalls)/float64(seconds), "storecalls/s")
	b.ReportMetric((heapBytes()-before)/daemons/1e6, "MB/daemon")
	if c.servers > 0 {
		b.ReportMetric(float64(polls)/float64(c.servers*c.dataCentres), "polls/server")
		b.ReportMetric(float64(c.daemonsPerDataCentre), "baseline-polls/server") // if every daemon polled all servers
	}
	runtime.KeepAlive(sim)
}

func serverID(i int) core.ServerID { return core.ServerID(fmt.Sprintf("engine-%03d", i)) }

// description returns the JSON of an engine's description, 178 bytes.
func (c controlLoad) description() []byte {
	if !c.described {
		return nil
	}
	return []byte(`{"kind":"gpu","service":"wear-model","incarnation":"0f8fad5b-d9cb-469f-a165-70867728950e","role":"serve","models":[{"name":"wear","version":7}],"context_tokens":32768,"slots":64}`)
}

// remoteReportBatches is the number of reportLoad calls over which the reports
// of remote servers are distributed, one for each server in 10 s.
const remoteReportBatches = 20

// reportLoad reports each server's load twice a second, and outstanding work
// and demand at every daemon. The demand of busy customers exceeds a daemon's
// base.
func (sim *simulation) reportLoad(c controlLoad) {
	batch := int(sim.now.UnixMilli()/500) % remoteReportBatches
	for _, n := range sim.daemons {
		work := make([]ServerWork, 0, c.servers)
		for i := range c.servers {
			work = append(work, ServerWork{Server: HashServerID(serverID(i)), Outstanding: 1 + i%5 + sim.workChange(i)})
			if n.peers.view != nil && IsPollerOf(n.peers.view, serverID(i)) {
				n.load.Report(LocalReport{Server: serverID(i), MeasuredAt: sim.now, Running: 4, Waiting: 2, KVUsed: 0.5, Description: c.description()})
			}
		}
		for i := batch; i < c.remote; i += remoteReportBatches {
			if id := serverID(c.servers + i); n.peers.view != nil && IsPollerOf(n.peers.view, id) {
				n.load.Report(LocalReport{Server: id, MeasuredAt: sim.now, Running: 4, Waiting: 2, KVUsed: 0.5, Description: c.description()})
			}
		}
		n.peers.SetWork(work)
		for i := range min(c.busy, c.contracts) {
			n.shares.ReportDemand(core.CustomerID(fmt.Sprintf("customer-%d", i)), LimitRequests, 500)
		}
		n.markRunnable()
	}
	sim.after(500*time.Millisecond, func() { sim.reportLoad(c) })
}

// workChange changes the work of a sixth of the servers, about as much as
// 2,000 requests/s over 390 daemons and 56 servers per data centre do in a
// second.
func (sim *simulation) workChange(server int) int {
	if int(sim.now.Unix())%6 == server%6 {
		return 1
	}
	return 0
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkUsableShare measures how much of a limit the daemons with demand
// may use while one of three data centres is cut off, compared with fixed
// equal shares per daemon. One daemon in each of the other two data centres
// has all the demand.
func BenchmarkUsableShare(b *testing.B) {
	for _, cutFirst := range []bool{false, true} {
		b.Run(fmt.Sprintf("cutBeforeWork=%v", cutFirst), func(b *testing.B) {
			var usable, fixed float64
			for b.Loop() {
				sim := newSharesSimulation(1, 3, 3)
				sim.run(warmUpTime, nil)
				cut := func() {
					sim.isStoreDown["dc2"] = true
					sim.setPartition("dc0", "dc2", true)
					sim.setPartition("dc1", "dc2", true)
				}
				if cutFirst {
					cut()
					sim.run(10*time.Second, nil)
				}
				users := map[*simDaemon]float64{sim.daemons[1]: 900, sim.daemons[4]: 900}
				sim.repeatDemand(users)
				sim.run(10*time.Second, nil)
				cut()
				sim.run(10*time.Second, nil)
				usable = 0
				for n := range users {
					usable += n.amounts[requestsOfA].usableAt(sim.now)
				}
				fixed = 900 * float64(len(users)) / float64(len(sim.daemons))
			}
			b.ReportMetric(usable/900*100, "%-of-limit")
			b.ReportMetric(fixed/900*100, "%-of-limit-fixed")
			b.ReportMetric(usable/fixed, "ratio")
		})
	}
}
