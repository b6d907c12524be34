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
	// storeUsagePeriod is the time between two log lines with the calls of the store.
	storeUsagePeriod = 5 * time.Second
	// storeUsageCapacity bounds the ends of calls that wait to be counted for the log.
	storeUsageCapacity = 256
)

// storeUsage is what the calls of one operation on one kind of objects took since the
// last log line.
type storeUsage struct {
	Operation string `json:"operation"`
	Kind      string `json:"kind"`
	Calls     int    `json:"calls"`
	Failed    int    `json:"failed,omitempty"`
	Bytes     int    `json:"bytes"` // received
	LongestMs int64  `json:"longest_ms"`
}

type storeUsageKey struct{ operation, kind string }

// storeUsageLog counts the calls of the store for the log. The store duty owns it.
type storeUsageLog struct {
	log   *logrus.Entry
	calls *ring.Ring[adapter.StoreCall]
	usage map[storeUsageKey]*storeUsage
}

// observeStoreCalls counts the calls of the store by operation and kind, in the metrics
// and in the log.
func (d *frontDaemon) observeStoreCalls() {
	u := &storeUsageLog{
		log: d.log, calls: ring.New[adapter.StoreCall]("store.usage", storeUsageCapacity), usage: map[storeUsageKey]*storeUsage{},
	}
	d.storeClient.OnCall(func(c adapter.StoreCall) {
		d.countStoreCall(c)
		u.calls.PutLatest(c)
	})
	loop := d.store.Loop()
	duty.On(loop, u.calls, u.add)
	loop.Every(storeUsagePeriod, u.write)
}

// countStoreCall counts a call of the store. It runs on the goroutine of the call.
func (d *frontDaemon) countStoreCall(c adapter.StoreCall) {
	operation, kind := settings.Label{Name: "operation", Value: c.Operation}, settings.Label{Name: "kind", Value: c.Kind}
	d.metrics.Count("store_requests_total", operation, kind, settings.Label{Name: "failed", Value: strconv.FormatBool(c.IsFailed())})
	d.metrics.Add("store_received_bytes_total", int64(c.Traffic.Received), operation, kind)
}

func (u *storeUsageLog) add(c adapter.StoreCall) {
	key := storeUsageKey{c.Operation, c.Kind}
	row := u.usage[key]
	if row == nil {
		row = &storeUsage{Operation: c.Operation, Kind: c.Kind}
		u.usage[key] = row
	}
	row.Calls++
	if c.IsFailed() {
		row.Failed++
	}
	row.Bytes += c.Traffic.Received
	row.LongestMs = max(row.LongestMs, c.Took.Milliseconds())
}

// write logs the calls since the last line, unless there were none.
func (u *storeUsageLog) write() {
	if len(u.usage) == 0 {
		return
	}
	rows := slices.SortedFunc(maps.Values(u.usage), func(a, b *storeUsage) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Operation, b.Operation))
	})
	u.log.WithField("usage", rows).Info("calls of the store")
	clear(u.usage)
}
