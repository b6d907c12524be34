package trainer

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/berylfall/berylfall/internal/core"
)

// BulkStore stores records on disk; bulk.Store implements it. Calls block, so they
// run on pool goroutines. Get returns an error for a torn or corrupt record.
type BulkStore interface {
	Put(key string, value []byte) error
	Get(key string) ([]byte, error)
	Delete(key string) error
	// Scan calls f for each intact record whose key has the prefix.
	Scan(prefix string, f func(key string, value []byte)) error
}

// diskState is the location of the samples of a ready group.
type diskState int

const (
	diskNone    diskState = iota // in memory only
	diskWriting                  // in memory, being written to disk
	diskBoth                     // in memory and on disk
	diskOnly                     // on disk only
	diskReading                  // on disk, being read into memory
)

// isOnDiskOnly reports whether the samples are on disk and not in memory.
func (d diskState) isOnDiskOnly() bool { return d == diskOnly || d == diskReading }

// diskRecord is the value of one record: the samples of a complete group.
type diskRecord struct {
	Step    int64         `json:"step"`
	Opening string        `json:"opening"`
	Group   int           `json:"group"`
	Run     int64         `json:"run"`
	Samples []core.Sample `json:"samples"`

	key       string
	freshness groupFreshness
	bytes     int
}

type diskOpKind int

const (
	diskWrite diskOpKind = iota
	diskRead
	diskDelete
	diskScan
)

type diskReply struct {
	kind       diskOpKind
	stream     *stream
	group      *group
	completion int64
	samples    []core.Sample
	load       *ledgerLoad
	records    []diskRecord
	err        error
}

func (k streamKey) diskPrefix() string { return k.path() + "/" }

// diskKey returns the key of the group's record. It contains the number of
// completions, so that a late deletion of an earlier record does no harm.
func (s *stream) diskKey(g *group) string {
	r := &g.step.record
	return fmt.Sprintf("%s%d/%s/%d/%d", s.key.diskPrefix(), r.Step, r.Opening, g.id, g.completions)
}

// runOnDiskPool runs a call on a pool goroutine. It reports false if there is no
// disk or no room for the call.
func (m *Manager) runOnDiskPool(f func() diskReply) bool {
	if m.options.BulkStore == nil || m.diskOpsInFlight >= maxDiskOps {
		return false
	}
	if !m.options.DiskPool.TryGo(func() { m.diskReplies.TryPut(f()) }) {
		return false
	}
	m.diskOpsInFlight++
	return true
}

// writeGroup writes the samples of a waiting group to disk. If that fails, they stay
// in memory only.
func (m *Manager) writeGroup(s *stream, g *group) {
	if m.options.BulkStore == nil || g.disk != diskNone {
		return
	}
	r := &g.step.record
	record := diskRecord{Step: r.Step, Opening: r.Opening, Group: g.id, Run: g.completions, Samples: g.samples}
	key := s.diskKey(g)
	sent := m.runOnDiskPool(func() diskReply {
		value, err := json.Marshal(record)
		if err == nil {
			err = m.options.BulkStore.Put(key, value)
		}
		return diskReply{kind: diskWrite, stream: s, group: g, completion: record.Run, err: err}
	})
	if sent {
		g.disk = diskWriting
		return
	}
	m.counters.diskWriteFailures.Inc(1)
}

func (m *Manager) readGroup(s *stream, g *group) {
	if g.disk != diskOnly || s.readyBytes >= m.options.MaxSampleBytes/max(1, len(m.roundRobin)) {
		return
	}
	key, run := s.diskKey(g), g.completions
	sent := m.runOnDiskPool(func() diskReply {
		var record diskRecord
		value, err := m.options.BulkStore.Get(key)
		if err == nil {
			err = json.Unmarshal(value, &record)
		}
		return diskReply{kind: diskRead, stream: s, group: g, completion: run, samples: record.Samples, err: err}
	})
	if sent {
		g.disk = diskReading
	}
}

// deleteGroup deletes the record of a group. If that fails, the next scan deletes
// it.
func (m *Manager) deleteGroup(s *stream, g *group) {
	if g.disk == diskNone {
		return
	}
	g.disk = diskNone
	m.deleteRecord(s, s.diskKey(g))
}

func (m *Manager) deleteRecord(s *stream, key string) {
	m.runOnDiskPool(func() diskReply {
		return diskReply{kind: diskDelete, stream: s, err: m.options.BulkStore.Delete(key)}
	})
}

// scanGroups reads the complete groups that an earlier start of this daemon wrote
// to disk, without their samples.
func (m *Manager) scanGroups(s *stream, l *ledgerLoad) bool {
	l.diskScanned = true
	prefix := s.key.diskPrefix()
	return m.runOnDiskPool(func() diskReply {
		var found []diskRecord
		err := m.options.BulkStore.Scan(prefix, func(key string, value []byte) {
			var r diskRecord
			if json.Unmarshal(value, &r) != nil {
				return
			}
			r.key = strings.Clone(key)
			r.freshness = freshnessOf(r.Samples)
			for i := range r.Samples {
				r.bytes += sampleBytes(&r.Samples[i])
			}
			r.Samples = nil
			found = append(found, r)
		})
		return diskReply{kind: diskScan, stream: s, load: l, records: found, err: err}
	})
}

func (m *Manager) handleDiskReply(reply diskReply) {
	m.diskOpsInFlight--
	s, g := reply.stream, reply.group
	switch reply.kind {
	case diskWrite:
		m.handleGroupWritten(s, g, reply)
	case diskRead:
		m.handleGroupRead(s, g, reply)
	case diskScan:
		if s.load == reply.load {
			reply.load.diskRecords = reply.records
			m.finishLoad(s, reply.load)
		}
	case diskDelete:
	}
}

func (m *Manager) handleGroupWritten(s *stream, g *group, reply diskReply) {
	if !g.ready || g.completions != reply.completion || g.disk != diskWriting {
		// The group was acknowledged or ran again during the write.
		m.deleteRecord(s, fmt.Sprintf("%s%d/%s/%d/%d", s.key.diskPrefix(), g.step.record.Step, g.step.record.Opening, g.id, reply.completion))
		return
	}
	if reply.err != nil {
		g.disk = diskNone
		m.counters.diskWriteFailures.Inc(1)
		return
	}
	g.disk = diskBoth
	m.evictSamples(s, g)
}

// evictSamples removes the copy in memory if the trainer uses more than half of its
// part of the memory. Groups within that half, usually the next to be fetched,
// need no read.
func (m *Manager) evictSamples(s *stream, g *group) {
	share := m.options.MaxSampleBytes / max(1, len(m.roundRobin))
	if g.disk != diskBoth || g.sequence > 0 || s.readyBytes <= share/2 {
		return
	}
	g.disk = diskOnly
	g.samples = nil
	s.readyBytes -= g.bytes
	m.startSamples()
}

func (m *Manager) handleGroupRead(s *stream, g *group, reply diskReply) {
	if !g.ready || g.completions != reply.completion || g.disk != diskReading {
		return
	}
	if reply.err != nil || len(reply.samples) != g.spec.Samples {
		m.counters.unreadableGroups.Inc(1)
		m.removeReady(s, g)
		m.reconcileGroup(s, g)
		m.startSamples()
		return
	}
	g.samples = reply.samples
	g.disk = diskBoth
	s.readyBytes += g.bytes
	m.answerLongPoll(s)
}

// recoverGroups makes the complete groups that a scan found ready for delivery.
// Their age is measured on the wall clock, because a monotonic clock reading is
// not valid in another process. A group with a start time in the future is
// deleted.
func (m *Manager) recoverGroups(s *stream, l *ledgerLoad) {
	now := m.now()
	_, freshness := m.contractTerms(s.key)
	for i := range l.diskRecords {
		r := &l.diskRecords[i]
		st := s.step(r.Step)
		usable := st != nil && st.record.Opening == r.Opening && r.Group >= 0 && r.Group < len(st.groups) &&
			st.groups[r.Group].isOpen() && !st.groups[r.Group].ready && !r.freshness.started.After(now) &&
			r.freshness.isWithin(freshness, m.latestVersions[st.record.Model], now)
		if !usable {
			m.deleteRecord(s, r.key)
			continue
		}
		g := st.groups[r.Group]
		g.ready, g.completions, g.freshness, g.bytes, g.disk = true, r.Run, r.freshness, r.bytes, diskOnly
		s.ready = append(s.ready, g)
		m.counters.recoveredGroups.Inc(1)
	}
}
