package trainer

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/berylfall/berylfall/internal/core"
)

// BulkStore keeps records on disk; bulk.Store implements it. Calls block, so they
// run on pool workers. A record that is torn or corrupt reads as an error.
type BulkStore interface {
	Put(key string, value []byte) error
	Get(key string) ([]byte, error)
	Delete(key string) error
	// Scan calls f for each whole record below the prefix.
	Scan(prefix string, f func(key string, value []byte)) error
}

// diskState says where the samples of a ready group are.
type diskState int

const (
	diskNone    diskState = iota // in memory only
	diskWriting                  // in memory, on the way to disk
	diskBoth                     // in memory and on disk
	diskAway                     // on disk only
	diskReading                  // on disk, on the way to memory
)

// away reports whether the samples are not in memory.
func (d diskState) away() bool { return d == diskAway || d == diskReading }

// diskRecord is the value of one record.
type diskRecord struct {
	Step    int64         `json:"step"`
	Opening string        `json:"opening"`
	Group   int           `json:"group"`
	Run     int64         `json:"run"`
	Samples []core.Sample `json:"samples"`

	key   string
	facts groupFacts
	bytes int
}

type diskKind int

const (
	diskWrite diskKind = iota
	diskRead
	diskDelete
	diskScan
)

type diskDone struct {
	kind    diskKind
	stream  *stream
	group   *group
	run     int64
	samples []core.Sample
	load    *load
	found   []diskRecord
	err     error
}

func (k streamKey) diskPrefix() string { return k.path() + "/" }

// diskKey is unique to one filling of the group, so that a late delete of an
// earlier one does no harm.
func (s *stream) diskKey(g *group) string {
	r := &g.step.record
	return fmt.Sprintf("%s%d/%s/%d/%d", s.key.diskPrefix(), r.Step, r.Opening, g.id, g.runs)
}

// onDisk runs a call on a worker. It reports false when there is no room.
func (t *Manager) onDisk(f func() diskDone) bool {
	if t.options.BulkStore == nil || t.diskOps >= maxDiskOps {
		return false
	}
	if !t.options.DiskPool.TryGo(func() { t.disk.TryPut(f()) }) {
		return false
	}
	t.diskOps++
	return true
}

// writeDisk keeps the samples of a group that waits. Without room on disk they
// stay in memory.
func (t *Manager) writeDisk(s *stream, g *group) {
	if t.options.BulkStore == nil || g.disk != diskNone {
		return
	}
	r := &g.step.record
	record := diskRecord{Step: r.Step, Opening: r.Opening, Group: g.id, Run: g.runs, Samples: g.samples}
	key := s.diskKey(g)
	sent := t.onDisk(func() diskDone {
		value, err := json.Marshal(record)
		if err == nil {
			err = t.options.BulkStore.Put(key, value)
		}
		return diskDone{kind: diskWrite, stream: s, group: g, run: record.Run, err: err}
	})
	if sent {
		g.disk = diskWriting
		return
	}
	t.counters.diskRefused.Inc(1)
}

func (t *Manager) readDisk(s *stream, g *group) {
	if g.disk != diskAway || s.waitingBytes >= t.options.MaxSampleBytes/max(1, len(t.order)) {
		return
	}
	key, run := s.diskKey(g), g.runs
	sent := t.onDisk(func() diskDone {
		var record diskRecord
		value, err := t.options.BulkStore.Get(key)
		if err == nil {
			err = json.Unmarshal(value, &record)
		}
		return diskDone{kind: diskRead, stream: s, group: g, run: run, samples: record.Samples, err: err}
	})
	if sent {
		g.disk = diskReading
	}
}

// deleteDisk forgets the record of a group. A record that stays behind is
// removed by the next scan.
func (t *Manager) deleteDisk(s *stream, g *group) {
	if g.disk == diskNone {
		return
	}
	g.disk = diskNone
	t.deleteRecord(s, s.diskKey(g))
}

func (t *Manager) deleteRecord(s *stream, key string) {
	t.onDisk(func() diskDone {
		return diskDone{kind: diskDelete, stream: s, err: t.options.BulkStore.Delete(key)}
	})
}

// scanDisk looks for finished groups that an earlier run of this daemon kept.
func (t *Manager) scanDisk(s *stream, l *load) bool {
	l.disk = true
	prefix := s.key.diskPrefix()
	return t.onDisk(func() diskDone {
		var found []diskRecord
		err := t.options.BulkStore.Scan(prefix, func(key string, value []byte) {
			var r diskRecord
			if json.Unmarshal(value, &r) != nil {
				return
			}
			r.key = strings.Clone(key)
			r.facts = factsOf(r.Samples)
			for i := range r.Samples {
				r.bytes += sampleBytes(&r.Samples[i])
			}
			r.Samples = nil
			found = append(found, r)
		})
		return diskDone{kind: diskScan, stream: s, load: l, found: found, err: err}
	})
}

func (t *Manager) handleDisk(d diskDone) {
	t.diskOps--
	s, g := d.stream, d.group
	switch d.kind {
	case diskWrite:
		t.afterDiskWrite(s, g, d)
	case diskRead:
		t.afterDiskRead(s, g, d)
	case diskScan:
		if s.load == d.load {
			d.load.found = d.found
			t.finishLoad(s, d.load)
		}
	case diskDelete:
	}
}

func (t *Manager) afterDiskWrite(s *stream, g *group, d diskDone) {
	if !g.ready || g.runs != d.run || g.disk != diskWriting {
		// The group was delivered or ran again while it was written.
		t.deleteRecord(s, fmt.Sprintf("%s%d/%s/%d/%d", s.key.diskPrefix(), g.step.record.Step, g.step.record.Opening, g.id, d.run))
		return
	}
	if d.err != nil {
		g.disk = diskNone
		t.counters.diskRefused.Inc(1)
		return
	}
	g.disk = diskBoth
	t.evict(s, g)
}

// evict drops the copy in memory when the trainer uses over half of its part of
// the memory, so that the next groups to be fetched usually need no read.
func (t *Manager) evict(s *stream, g *group) {
	part := t.options.MaxSampleBytes / max(1, len(t.order))
	if g.disk != diskBoth || g.sequence > 0 || s.waitingBytes <= part/2 {
		return
	}
	g.disk = diskAway
	g.samples = nil
	s.waitingBytes -= g.bytes
	t.startSamples()
}

func (t *Manager) afterDiskRead(s *stream, g *group, d diskDone) {
	if !g.ready || g.runs != d.run || g.disk != diskReading {
		return
	}
	if d.err != nil || len(d.samples) != g.spec.Samples {
		t.counters.diskLost.Inc(1)
		t.unready(s, g)
		t.settle(s, g)
		t.startSamples()
		return
	}
	g.samples = d.samples
	g.disk = diskBoth
	s.waitingBytes += g.bytes
	t.answerPoll(s)
}

// adoptDisk takes the finished groups that a scan found. Ages of these are
// counted on the wall clock, because a monotonic reading does not outlive its
// process; one that claims to start in the future is not used.
func (t *Manager) adoptDisk(s *stream, l *load) {
	now := t.now()
	_, bound := t.terms(s.key)
	for i := range l.found {
		r := &l.found[i]
		st := s.step(r.Step)
		usable := st != nil && st.record.Opening == r.Opening && r.Group >= 0 && r.Group < len(st.groups) &&
			st.groups[r.Group].open() && !st.groups[r.Group].ready && !r.facts.started.After(now) &&
			r.facts.isFresh(bound, t.latest[st.record.Model], now)
		if !usable {
			t.deleteRecord(s, r.key)
			continue
		}
		g := st.groups[r.Group]
		g.ready, g.runs, g.facts, g.bytes, g.disk = true, r.Run, r.facts, r.bytes, diskAway
		s.ready = append(s.ready, g)
		t.counters.recovered.Inc(1)
	}
}
