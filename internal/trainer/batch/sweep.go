package batch

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/platform"
)

const (
	// sweepPeriod is the interval between sweeps.
	sweepPeriod = 5 * time.Minute
	// sweepMargin is added to the retention time, since wall clocks differ between
	// hosts and may jump.
	sweepMargin = 10 * time.Minute
	// sweepPause is the pause between two deletions, so that a sweep uses a small
	// part of the store's rate limit.
	sweepPause         = 100 * time.Millisecond
	sweepTimeout       = 10 * time.Second
	sweepReplyCapacity = 16
)

// SweeperOptions configure a Sweeper.
type SweeperOptions struct {
	Clock duty.Clock
	Log   *logrus.Entry
	Store Store
	// Retention is how long the results of a job are kept after its end.
	Retention time.Duration
	// IsSweeper reports whether this daemon is the one that sweeps. It is called on
	// the duty's goroutine.
	IsSweeper func() bool
}

// Sweeper is the duty that deletes the objects of jobs whose retention time has
// passed. The state object, which records the end of the job, is deleted last,
// so that the next sweep resumes an interrupted one.
type Sweeper struct {
	loop     *duty.Loop
	options  SweeperOptions
	storeOps *storeOps
	sweeping bool
}

// NewSweeper returns a duty whose loop has yet to be run.
func NewSweeper(o SweeperOptions) *Sweeper {
	s := &Sweeper{loop: duty.New("sweep", o.Clock), options: o}
	s.storeOps = newStoreOps(s.loop, o.Store, "sweep.answers", sweepReplyCapacity)
	s.loop.Every(sweepPeriod, s.sweep)
	return s
}

// Loop returns the duty's loop, which the caller runs.
func (s *Sweeper) Loop() *duty.Loop { return s.loop }

func (s *Sweeper) sweep() {
	if s.sweeping || !s.options.IsSweeper() {
		return
	}
	s.sweeping = true
	s.submit(platform.Op{Kind: platform.OpList, Key: statePrefix}, func(r platform.Result) {
		if r.Err != nil {
			s.abortSweep("ended jobs cannot be listed", r.Err)
			return
		}
		s.removeJobs(s.expiredJobs(r.Listing.Objects))
	})
}

// expiredJobs returns the jobs whose retention time has passed.
func (s *Sweeper) expiredJobs(states []platform.Object) []JobID {
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

// removeJobs removes the jobs one after another.
func (s *Sweeper) removeJobs(left []JobID) {
	if len(left) == 0 {
		s.sweeping = false
		return
	}
	id := left[0]
	s.collectKeys(id, []string{resultPrefix, itemPartPrefix}, nil, func(keys []string) {
		s.options.Log.WithFields(logrus.Fields{"job": id, "objects": len(keys)}).Info("ended job is removed")
		s.removeObjects(keys, func() { s.removeJobs(left[1:]) })
	})
}

// collectKeys lists the objects of the job under the prefixes and calls next with
// their keys, followed by those of the job and of its state.
func (s *Sweeper) collectKeys(id JobID, prefixes, keys []string, next func([]string)) {
	if len(prefixes) == 0 {
		next(append(keys, jobPrefix+string(id), statePrefix+string(id)))
		return
	}
	s.submit(platform.Op{Kind: platform.OpList, Key: prefixes[0] + string(id) + "."}, func(r platform.Result) {
		if r.Err != nil && !isUnreachable(r.Err) {
			s.abortSweep("objects of an ended job cannot be listed", r.Err)
			return
		}
		for _, o := range r.Listing.Objects {
			keys = append(keys, o.Key)
		}
		s.collectKeys(id, prefixes[1:], keys, next)
	})
}

// isUnreachable reports whether the store has no object under the key, or refuses the
// key: another writer may have left a state whose name is no job's.
func isUnreachable(err error) bool {
	return errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrRejected)
}

// removeObjects deletes the objects in order. An object that does not exist any
// more is skipped.
func (s *Sweeper) removeObjects(keys []string, next func()) {
	if len(keys) == 0 {
		next()
		return
	}
	s.submit(platform.Op{Kind: platform.OpDelete, Key: keys[0], IfVersion: platform.AnyVersion}, func(r platform.Result) {
		if r.Err != nil && !isUnreachable(r.Err) {
			s.abortSweep("object of an ended job cannot be removed", r.Err)
			return
		}
		s.loop.After(sweepPause, func() { s.removeObjects(keys[1:], next) })
	})
}

// abortSweep ends the sweep early; the next one removes what is left.
func (s *Sweeper) abortSweep(what string, err error) {
	s.sweeping = false
	s.options.Log.WithError(err).Warn(what)
}

// submit sends an operation to the store duty; reply runs on the duty's
// goroutine.
func (s *Sweeper) submit(op platform.Op, reply func(platform.Result)) {
	op.Timeout = sweepTimeout
	s.storeOps.submit(op, reply)
}
