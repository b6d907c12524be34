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

// EncodedSize is set by the external test package, which may import the encoding.
var EncodedSize func(Envelope) int

// warmUp is enough virtual time for the mesh, the contracts and the shares.
const warmUp = 20 * time.Second

// BenchmarkChangeInForce measures the virtual time from the acceptance of a
// contract by the store until it is in force at the last daemon.
func BenchmarkChangeInForce(b *testing.B) {
	for _, size := range []struct{ dataCentres, perDC int }{{1, 3}, {3, 10}, {15, 20}} {
		for _, loss := range []float64{0, 0.3} {
			b.Run(fmt.Sprintf("daemons=%d/loss=%g", size.dataCentres*size.perDC, loss), func(b *testing.B) {
				benchmarkChange(b, size.dataCentres, size.perDC, loss)
			})
		}
	}
}

func benchmarkChange(b *testing.B, dataCentres, perDC int, loss float64) {
	w := newWorld(1)
	w.jitter = time.Millisecond
	w.cluster(dataCentres, perDC)
	w.run(warmUp, nil)
	w.drop = func(Envelope) bool { return loss > 0 && w.random.Float64() < loss }
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	w.storeCalls = 0
	relays := w.sent["daemon.Contracts"]
	for b.Loop() {
		o := w.setContract("prairie", float64(w.revision))
		accepted := w.now
		for range 50 {
			if w.inForce("prairie", o.Version) {
				break
			}
			w.run(100*time.Millisecond, nil)
		}
		w.run(400*time.Millisecond, nil)
		for _, n := range w.nodes {
			if n.version("prairie") != o.Version {
				b.Fatalf("%s/%s has no version %d after 5 s", n.id.DataCentre, n.id.Name, o.Version)
			}
			_ = h.RecordValue(int64(n.setAt.Sub(accepted) / time.Microsecond))
		}
	}
	daemons := float64(len(w.nodes))
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
	b.ReportMetric(float64(w.sent["daemon.Contracts"]-relays)/float64(b.N), "relays/change")
	b.ReportMetric(float64(w.storeCalls)/float64(b.N), "storecalls/change")
	b.ReportMetric(daemons, "baseline-storecalls/change") // every daemon watches
}

func (w *world) inForce(customer string, version int64) bool {
	for _, n := range w.nodes {
		if n.version(customer) != version {
			return false
		}
	}
	return true
}

// controlLoad is what the control work of a data centre depends on.
// The remote servers are those of the other data centres, polled every 10 s.
// Described reports carry a description, as those of the poller do.
type controlLoad struct {
	dataCentres, perDC, servers, contracts, busy, remote int
	described                                            bool
}

// BenchmarkControl measures what the daemons send each second without changes,
// and the CPU time of the decisions. The encoding's is in package daemonrpc.
func BenchmarkControl(b *testing.B) {
	for _, c := range []controlLoad{
		{1, 3, 0, 10, 2, 0, false}, {1, 10, 0, 10, 2, 0, false}, {1, 22, 0, 10, 2, 0, false},
		{1, 22, 28, 10, 2, 0, false}, {1, 22, 56, 10, 2, 0, false},
		{1, 22, 56, 200, 2, 0, false}, {1, 22, 56, 200, 20, 0, false}, {1, 22, 56, 200, 20, 944, false}, {1, 22, 56, 200, 20, 944, true},
		{18, 22, 56, 200, 20, 0, false},
	} {
		name := fmt.Sprintf("dcs=%d/daemons=%d/servers=%d/contracts=%d/busy=%d/remote=%d/described=%v", c.dataCentres, c.perDC, c.servers, c.contracts, c.busy, c.remote, c.described)
		b.Run(name, func(b *testing.B) { benchmarkControl(b, c) })
	}
}

func benchmarkControl(b *testing.B, c controlLoad) {
	before := heapBytes()
	w := newWorld(1)
	w.cluster(c.dataCentres, c.perDC)
	for i := range c.contracts {
		w.setContract(fmt.Sprintf("customer-%d", i), 1000)
	}
	for i := range c.servers * c.dataCentres {
		w.setHost(fmt.Sprintf("engine-%04d", i), fmt.Sprintf("dc%d", i%c.dataCentres), platform.HostLive)
	}
	w.keepLeases()
	w.feed(c)
	w.run(warmUp, nil)
	clear(w.sent)
	w.size = EncodedSize
	w.storeCalls = 0
	polls := 0
	for _, n := range w.nodes {
		for i := range c.servers {
			if IsPollerOf(n.peers.view, serverID(i)) {
				polls++
			}
		}
	}
	seconds := 0
	for b.Loop() {
		w.run(time.Second, nil)
		seconds++
	}
	daemons := float64(len(w.nodes))
	messages := 0
	for _, n := range w.sent {
		messages += n
	}
	per := daemons * float64(seconds)
	b.ReportMetric(float64(w.bytes)/per, "bytes/s/daemon")
	most := 0
	for _, n := range w.nodes {
		most = max(most, n.traffic)
	}
	b.ReportMetric(float64(most)/float64(seconds), "max-in+out-bytes/s")
	b.ReportMetric(float64(messages)/per, "messages/s/daemon")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "cpu-µs/s/daemon")
	b.ReportMetric(float64(w.storeCalls)/float64(seconds), "storecalls/s")
	b.ReportMetric((heapBytes()-before)/daemons/1e6, "MB/daemon")
	if c.servers > 0 {
		b.ReportMetric(float64(polls)/float64(c.servers*c.dataCentres), "polls/server")
		b.ReportMetric(float64(c.perDC), "baseline-polls/server") // every daemon polls all servers
	}
	runtime.KeepAlive(w)
}

func serverID(i int) core.ServerID { return core.ServerID(fmt.Sprintf("engine-%03d", i)) }

// description has the fields of an engine's description, 178 bytes of JSON.
func (c controlLoad) description() []byte {
	if !c.described {
		return nil
	}
	return []byte(`{"kind":"gpu","service":"wear-model","incarnation":"0f8fad5b-d9cb-469f-a165-70867728950e","role":"serve","models":[{"name":"wear","version":7}],"context_tokens":32768,"slots":64}`)
}

// remoteTurns spreads the reports of remote servers, one each in 10 s, over the
// calls of feed.
const remoteTurns = 20

// feed reports each server's load twice a second, and work and use at every
// daemon. The busy customers want more than a daemon's base.
func (w *world) feed(c controlLoad) {
	turn := int(w.now.UnixMilli()/500) % remoteTurns
	for _, n := range w.nodes {
		work := make([]ServerWork, 0, c.servers)
		for i := range c.servers {
			work = append(work, ServerWork{Server: HashServerID(serverID(i)), Outstanding: 1 + i%5 + w.workChange(i)})
			if n.peers.view != nil && IsPollerOf(n.peers.view, serverID(i)) {
				n.load.Report(LocalReport{Server: serverID(i), MeasuredAt: w.now, Running: 4, Waiting: 2, KVUsed: 0.5, Description: c.description()})
			}
		}
		for i := turn; i < c.remote; i += remoteTurns {
			if id := serverID(c.servers + i); n.peers.view != nil && IsPollerOf(n.peers.view, id) {
				n.load.Report(LocalReport{Server: id, MeasuredAt: w.now, Running: 4, Waiting: 2, KVUsed: 0.5, Description: c.description()})
			}
		}
		n.peers.SetWork(work)
		for i := range min(c.busy, c.contracts) {
			n.shares.ReportDemand(core.CustomerID(fmt.Sprintf("customer-%d", i)), LimitRequests, 500)
		}
		n.touch()
	}
	w.at(500*time.Millisecond, func() { w.feed(c) })
}

// workChange changes the work of a sixth of the servers, about what 2,000
// requests/s over 390 daemons and 56 servers per data centre do in a second.
func (w *world) workChange(server int) int {
	if int(w.now.Unix())%6 == server%6 {
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

// BenchmarkUsableShare measures how much of a limit the daemons with work may
// use while one of three data centres is cut off, against fixed equal shares
// per daemon. One daemon in each of the other two has all the work.
func BenchmarkUsableShare(b *testing.B) {
	for _, cutFirst := range []bool{false, true} {
		b.Run(fmt.Sprintf("cutBeforeWork=%v", cutFirst), func(b *testing.B) {
			var usable, fixed float64
			for b.Loop() {
				w := sharesWorld(1, 3, 3)
				w.run(warmUp, nil)
				cut := func() {
					w.noStore["dc2"] = true
					w.cutBoth("dc0", "dc2", true)
					w.cutBoth("dc1", "dc2", true)
				}
				if cutFirst {
					cut()
					w.run(10*time.Second, nil)
				}
				users := map[*node]float64{w.nodes[1]: 900, w.nodes[4]: 900}
				w.use(users)
				w.run(10*time.Second, nil)
				cut()
				w.run(10*time.Second, nil)
				usable = 0
				for n := range users {
					usable += n.amounts[requestsOfA].at(w.now)
				}
				fixed = 900 * float64(len(users)) / float64(len(w.nodes))
			}
			b.ReportMetric(usable/900*100, "%-of-limit")
			b.ReportMetric(fixed/900*100, "%-of-limit-fixed")
			b.ReportMetric(usable/fixed, "ratio")
		})
	}
}
