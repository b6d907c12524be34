package caller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// advance lets the time pass and delivers all messages.
func (cluster *originCluster) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		cluster.clock.Advance(min(d, step))
		cluster.run()
	}
}

// lose stops the daemons at once and starts them again after a second, with nothing in
// their memory.
func (cluster *originCluster) lose(daemons ...int) {
	for _, i := range daemons {
		cluster.daemons[i].isDown = true
		// Nothing that the former run still does counts.
		cluster.daemons[i].origins.loop.Stop()
	}
	cluster.advance(time.Second)
	for _, i := range daemons {
		cluster.daemons[i].start()
	}
	cluster.advance(time.Second)
}

func softwareOf(i int) core.SoftwareVersion { return core.SoftwareVersion(fmt.Sprint("v", i%2)) }

// record begins n streams, spread over the daemons.
func (cluster *originCluster) record(n int) {
	for i := range n {
		cluster.daemons[i%len(cluster.daemons)].origins.Record(StreamOrigin{Stream: streamID(i), Service: "s", Software: softwareOf(i)})
	}
	cluster.run()
}

// checkGoOn takes up n streams at random daemons and fails unless enough of them go on,
// each on the version that began it.
func (cluster *originCluster) checkGoOn(t *testing.T, what string, random *rand.Rand, n, enough int) {
	t.Helper()
	goOn := 0
	for i := range n {
		lookup := cluster.find(t, cluster.daemons[random.IntN(len(cluster.daemons))], streamID(i))
		if lookup.IsKnown {
			goOn++
		}
		if lookup.IsKnown && lookup.Origin.Software != softwareOf(i) {
			t.Errorf("%s: stream %d goes on at version %s in place of %s", what, i, lookup.Origin.Software, softwareOf(i))
		}
	}
	if goOn < enough {
		t.Errorf("%s: %d of %d streams go on, want %d", what, goOn, n, enough)
	}
}

func sequence(from, to int) []int {
	var list []int
	for i := from; i < to; i++ {
		list = append(list, i)
	}
	return list
}

// Guards against streams that cannot be taken up again after several losses of daemons in
// a row, none of which takes all of them: what one daemon knows must not die with it.
func TestStreamsGoOnAfterSuccessiveLosses(t *testing.T) {
	const streams = 72
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		for _, storeIsDown := range []bool{false, true} {
			what := fmt.Sprintf("seed %d, store down %v", seed, storeIsDown)
			cluster := newOriginCluster(9)
			cluster.store.isDown = storeIsDown
			cluster.record(streams)
			cluster.advance(5 * time.Second)
			order := random.Perm(9)
			cluster.lose(order[:4]...)
			cluster.advance(6 * time.Second)
			cluster.lose(order[4:]...)
			enough := streams
			if storeIsDown {
				enough = streams / 2
			}
			cluster.checkGoOn(t, what, random, streams, enough)
		}
	}
}

// Guards against streams that cannot be taken up again after all daemons were lost at the
// same moment: their memory alone must not hold what is needed.
func TestStreamsGoOnAfterTheLossOfAllDaemons(t *testing.T) {
	const streams = 60
	for _, n := range []int{1, 2, 9, 40} {
		cluster := newOriginCluster(n)
		cluster.record(streams)
		cluster.advance(2 * minOriginSavePeriod)
		for round := range 3 {
			cluster.lose(sequence(0, n)...)
			cluster.checkGoOn(t, fmt.Sprintf("%d daemons, loss %d", n, round), rand.New(rand.NewPCG(1, 1)), streams, streams)
		}
	}
}

// Guards against streams that are forgotten by restarts in turn, also while the store is
// down: each daemon must get its origins back before the next one stops.
func TestStreamsGoOnAfterRollingRestart(t *testing.T) {
	const streams = 60
	for _, n := range []int{3, 9, 40} {
		cluster := newOriginCluster(n)
		cluster.store.isDown = true
		cluster.record(streams)
		for i := range 2 * n {
			cluster.lose(i % n)
		}
		cluster.checkGoOn(t, fmt.Sprintf("%d daemons", n), rand.New(rand.NewPCG(1, 1)), streams, streams)
	}
}

// Guards against a combination of losses and outages of the store after which streams are
// forgotten though their origins were saved, or go on at another version.
func TestStreamsGoOnAfterRandomLosses(t *testing.T) {
	const streams = 30
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		n := 2 + random.IntN(12)
		cluster := newOriginCluster(n)
		cluster.record(streams)
		cluster.advance(2 * minOriginSavePeriod)
		for range 10 {
			cluster.store.isDown = random.IntN(3) == 0
			cluster.lose(random.Perm(n)[:1+random.IntN(n)]...)
			cluster.advance(time.Duration(random.IntN(4000)) * time.Millisecond)
		}
		cluster.store.isDown = false
		cluster.advance(2 * originRetryDelay)
		cluster.checkGoOn(t, fmt.Sprintf("seed %d, %d daemons", seed, n), random, streams, streams)
	}
}

// Guards against a stream that is refused because its caller comes back before the daemon
// has the list of the others, and against the refusal of one that nobody could be asked
// for in the same words as of one that nobody knows.
func TestStreamWaitsForTheListOfDaemons(t *testing.T) {
	cluster := newOriginCluster(3)
	cluster.record(1)
	cluster.advance(2 * minOriginSavePeriod)
	d := cluster.daemons[1]
	d.isUnlisted = true
	d.start()
	replies, err := d.origins.lookups.Send(t.Context(), streamID(0))
	if err != nil {
		t.Fatal(err)
	}
	cluster.run()
	if lookup, ok := replies.TryTake(); ok && !lookup.IsKnown {
		t.Fatalf("the lookup ended without the list: %+v", lookup)
	}
	d.isUnlisted = false
	d.origins.ReportDaemons()
	cluster.run()
	if lookup := cluster.find(t, d, streamID(0)); !lookup.IsKnown {
		t.Errorf("the stream is not known: %+v", lookup)
	}
	cluster.daemons[0].isDown = true
	cluster.store.isDown = true
	if lookup := cluster.find(t, d, "unknown"); lookup.IsKnown || lookup.Asked != 2 || lookup.Failed != 3 {
		t.Errorf("lookup of an unknown stream: %+v", lookup)
	}
}

// Guards against a number of writes to the store that grows with the streams.
func TestOriginsAreSavedInBatches(t *testing.T) {
	const n = 9
	cluster := newOriginCluster(n)
	for i := range 50 {
		for k := range 20 {
			cluster.daemons[k%n].origins.Record(StreamOrigin{Stream: streamID(20*i + k)})
		}
		cluster.advance(200 * time.Millisecond)
	}
	cluster.advance(3 * minOriginSavePeriod)
	// 10 s of streams, and one write for the last of them.
	if most := 12 * n; cluster.store.writes > most {
		t.Errorf("%d writes for 1000 streams in 10 s at %d daemons, want at most %d", cluster.store.writes, n, most)
	}
}
