package batch

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/ring"
)

const (
	// sweepPeriod is how often ended jobs are looked for.
	sweepPeriod = 5 * time.Minute
	// sweepMargin is added to the time for which results must be kept, since the
	// time of day differs between hosts and may jump.
	sweepMargin = 10 * time.Minute
	// sweepPause lies between two operations, so that a sweep takes a small part
	// of the store's rates.
	sweepPause   = 100 * time.Millisecond
	sweepTimeout = 10 * time.Second
	sweepAnswers = 16
)

// SweeperOptions are the parts that a Sweeper works with.
type SweeperOptions struct {
	Clock duty.Clock
	Log   *logrus.Entry
	Store Store
	// Retention is how long the results of a job are kept after its end.
	Retention time.Duration
	// IsSweeper reports whether this daemon sweeps; one of all is enough. It is
	// called on the duty's goroutine.
	IsSweeper func() bool
}

// Sweeper is the duty that removes the objects of jobs that have ended long
// ago. The object that tells the end goes last, so that a sweep that breaks off
// is taken up by the next one.
type Sweeper struct {
	loop    *duty.Loop
	options SweeperOptions
	answers *ring.Ring[func()]
	busy    bool
}

// NewSweeper returns the duty.
func NewSweeper(o SweeperOptions) *Sweeper {
	s := &Sweeper{loop: duty.New("sweep", o.Clock), options: o, answers: ring.New[func()]("sweep.answers", sweepAnswers)}
	duty.On(s.loop, s.answers, func(f func()) { f() })
	s.loop.Every(sweepPeriod, s.sweep)
	return s
}

// Loop returns the duty's loop.
func (s *Sweeper) Loop() *duty.Loop { return s.loop }

func (s *Sweeper) sweep() {
	if s.busy || !s.options.IsSweeper() {
		return
	}
	s.busy = true
	s.submit(platform.Op{Kind: platform.OpList, Key: statePrefix}, func(r platform.Result) {
		if r.Err != nil {
			s.failed("ended jobs cannot be listed", r.Err)
			return
		}
		s.jobs(s.endedLongAgo(r.Listing.Objects))
	})
}

// endedLongAgo returns the jobs whose results need not be kept any more.
func (s *Sweeper) endedLongAgo(states []platform.Object) []JobID {
	before := s.loop.Clock().Now().Add(-s.options.Retention - sweepMargin)
	var jobs []JobID
	for _, o := range states {
		var st state
		if err := json.Unmarshal(o.Value, &st); err != nil {
			s.options.Log.WithError(err).WithField("object", o.Key).Warn("state of a job cannot be read")
			continue
		}
		if st.Ended && !st.EndedAt.IsZero() && st.EndedAt.Before(before) {
			jobs = append(jobs, JobID(strings.TrimPrefix(o.Key, statePrefix)))
		}
	}
	return jobs
}

// jobs removes the jobs one after the other.
func (s *Sweeper) jobs(left []JobID) {
	if len(left) == 0 {
		s.busy = false
		return
	}
	id := left[0]
	s.collect(id, []string{resultPrefix, partPrefix}, nil, func(keys []string) {
		s.options.Log.WithFields(logrus.Fields{"job": id, "objects": len(keys)}).Info("ended job is removed")
		s.remove(keys, func() { s.jobs(left[1:]) })
	})
}

// collect lists the objects of the job below the prefixes, and then goes on
// with their keys and those of the job itself.
func (s *Sweeper) collect(id JobID, prefixes, keys []string, next func([]string)) {
	if len(prefixes) == 0 {
		next(append(keys, jobPrefix+string(id), statePrefix+string(id)))
		return
	}
	s.submit(platform.Op{Kind: platform.OpList, Key: prefixes[0] + string(id) + "."}, func(r platform.Result) {
		if r.Err != nil {
			s.failed("objects of an ended job cannot be listed", r.Err)
			return
		}
		for _, o := range r.Listing.Objects {
			keys = append(keys, o.Key)
		}
		s.collect(id, prefixes[1:], keys, next)
	})
}

// remove deletes the objects in order. One that is gone already is no failure.
func (s *Sweeper) remove(keys []string, next func()) {
	if len(keys) == 0 {
		next()
		return
	}
	s.submit(platform.Op{Kind: platform.OpDelete, Key: keys[0], IfVersion: platform.AnyVersion}, func(r platform.Result) {
		if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
			s.failed("object of an ended job cannot be removed", r.Err)
			return
		}
		s.loop.After(sweepPause, func() { s.remove(keys[1:], next) })
	})
}

// failed ends the sweep; the next one takes up what is left.
func (s *Sweeper) failed(what string, err error) {
	s.busy = false
	s.options.Log.WithError(err).Warn(what)
}

// submit sends an operation to the store; reply runs on the duty's goroutine.
func (s *Sweeper) submit(op platform.Op, reply func(platform.Result)) {
	op.Timeout = sweepTimeout
	submitTo(s.options.Store, s.answers, op, reply)
}
