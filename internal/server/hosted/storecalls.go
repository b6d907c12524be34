package hosted

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
	"github.com/berylfall/berylfall/internal/settings"
	adapter "github.com/berylfall/berylfall/platform"
)

const (
	// storeCallLogPeriod is the time between two log lines with the calls of the store.
	storeCallLogPeriod = 5 * time.Second
	// storeCallLogCapacity bounds the ends of calls that wait to be counted for the log.
	storeCallLogCapacity = 256
)

// storeCallCounts is what the calls of one operation on one kind of objects took since the
// last log line.
type storeCallCounts struct {
	Operation string `json:"operation"`
	Kind      string `json:"kind"`
	Calls     int    `json:"calls"`
	Failed    int    `json:"failed,omitempty"`
	Bytes     int    `json:"bytes"` // received
	LongestMs int64  `json:"longest_ms"`
}

type storeCallKey struct{ operation, kind string }

// storeCallLog counts the calls of the store for the log. The store duty owns it.
type storeCallLog struct {
	log    *logrus.Entry
	calls  *ring.Ring[adapter.StoreCall]
	counts map[storeCallKey]*storeCallCounts
}

// observeStoreCalls counts the calls of the store by operation and kind, in the metrics
// and in the log.
func (d *frontDaemon) observeStoreCalls() {
	u := &storeCallLog{
		log: d.log, calls: ring.New[adapter.StoreCall]("store.calls_for_log", storeCallLogCapacity), counts: map[storeCallKey]*storeCallCounts{},
	}
	d.storeClient.OnCall(func(c adapter.StoreCall) {
		d.countStoreCall(c)
		u.calls.PutLatest(c)
	})
	loop := d.store.Loop()
	duty.On(loop, u.calls, u.add)
	loop.Every(storeCallLogPeriod, u.write)
}

// countStoreCall counts a call of the store. It runs on the goroutine of the call.
func (d *frontDaemon) countStoreCall(c adapter.StoreCall) {
	operation, kind := settings.Label{Name: "operation", Value: c.Operation}, settings.Label{Name: "kind", Value: c.Kind}
	d.metrics.Count("store_requests_total", operation, kind, settings.Label{Name: "failed", Value: strconv.FormatBool(c.IsFailed())})
	d.metrics.Add("store_received_bytes_total", int64(c.Traffic.Received), operation, kind)
}

func (u *storeCallLog) add(c adapter.StoreCall) {
	key := storeCallKey{c.Operation, c.Kind}
	row := u.counts[key]
	if row == nil {
		row = &storeCallCounts{Operation: c.Operation, Kind: c.Kind}
		u.counts[key] = row
	}
	row.Calls++
	if c.IsFailed() {
		row.Failed++
	}
	row.Bytes += c.Traffic.Received
	row.LongestMs = max(row.LongestMs, c.Took.Milliseconds())
}

// write logs the calls since the last line, unless there were none.
func (u *storeCallLog) write() {
	if len(u.counts) == 0 {
		return
	}
	rows := slices.SortedFunc(maps.Values(u.counts), func(a, b *storeCallCounts) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Operation, b.Operation))
	})
	u.log.WithField("calls", rows).Info("calls of the store")
	clear(u.counts)
}
