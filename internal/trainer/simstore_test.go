package trainer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/berylfall/berylfall/internal/platform"
)

// fakeStore is the platform's object API in memory, with outages, lost replies and
// writes that take effect late.
type fakeStore struct {
	random     *rand.Rand
	objects    map[string]platform.Object
	revision   int64
	faultRate  float64 // probability of a fault per call
	down       bool
	delayedOps []func()
	writes     int
}

func (s *fakeStore) fault() error {
	switch {
	case s.down:
		return platform.ErrUnavailable
	case s.random.Float64() >= s.faultRate:
		return nil
	case s.random.IntN(2) == 0:
		return platform.ErrUnavailable
	}
	return platform.ErrUnknownOutcome
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Object, error) {
	if err := s.fault(); err != nil {
		return platform.Object{}, err
	}
	if o, ok := s.objects[key]; ok && !o.Deleted {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (s *fakeStore) Find(_ context.Context, key string) (platform.Object, error) {
	if err := s.fault(); err != nil {
		return platform.Object{}, err
	}
	return s.objects[key], nil
}

func (s *fakeStore) List(_ context.Context, prefix string) (platform.Listing, error) {
	l := platform.Listing{Revision: s.revision}
	if err := s.fault(); err != nil {
		return l, err
	}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && key != prefix {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l, nil
}

func (s *fakeStore) Put(_ context.Context, w platform.Write) (platform.Object, error) {
	return s.change(w, false)
}

func (s *fakeStore) Delete(_ context.Context, w platform.Write) (platform.Object, error) {
	return s.change(w, true)
}

func (s *fakeStore) change(w platform.Write, deleted bool) (platform.Object, error) {
	s.writes++
	err := s.fault()
	if err == nil {
		return s.apply(w, deleted)
	}
	if errors.Is(err, platform.ErrUnknownOutcome) {
		switch s.random.IntN(3) {
		case 0:
			_, _ = s.apply(w, deleted)
		case 1:
			s.delayedOps = append(s.delayedOps, func() { _, _ = s.apply(w, deleted) })
		}
	}
	return platform.Object{}, err
}

func (s *fakeStore) apply(w platform.Write, deleted bool) (platform.Object, error) {
	o := s.objects[w.Key]
	live := o.Version
	if o.Deleted {
		live = platform.Absent
	}
	if w.IfVersion != platform.AnyVersion && w.IfVersion != live {
		return platform.Object{}, platform.ErrConflict
	}
	s.revision++
	next := platform.Object{Key: w.Key, Version: o.Version + 1, Revision: s.revision, Token: w.Token, Value: w.Value, Deleted: deleted}
	s.objects[w.Key] = next
	return next, nil
}

func (s *fakeStore) Watch(context.Context, string, int64) (platform.Listing, error) {
	return platform.Listing{}, platform.ErrUnavailable
}

// manualPool is a pool whose calls run when the simulation calls run.
type manualPool struct{ calls []func() }

func (p *manualPool) TryGo(f func()) bool {
	p.calls = append(p.calls, f)
	return true
}

func (p *manualPool) run() int {
	calls := p.calls
	p.calls = nil
	for _, f := range calls {
		f()
	}
	return len(calls)
}

// fakeBulkStore is a bulk store in memory. Under fault injection some writes fail
// and some records cannot be read.
type fakeBulkStore struct{ sim *simulation }

func (b fakeBulkStore) Put(key string, v []byte) error {
	if b.sim.injectFaults && b.sim.random.IntN(10) == 0 {
		return errors.New("disk full")
	}
	b.sim.records[key] = v
	return nil
}

func (b fakeBulkStore) Delete(key string) error {
	delete(b.sim.records, key)
	return nil
}

func (b fakeBulkStore) Get(key string) ([]byte, error) {
	v, ok := b.sim.records[key]
	if !ok || (b.sim.injectFaults && b.sim.random.IntN(10) == 0) {
		return nil, fmt.Errorf("record %q is missing or corrupt", key)
	}
	return v, nil
}

func (b fakeBulkStore) Scan(prefix string, f func(string, []byte)) error {
	keys := make([]string, 0, len(b.sim.records))
	for key := range b.sim.records {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			f(key, b.sim.records[key])
		}
	}
	return nil
}
