package trainer

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// oldestAllowed returns the lowest weight version that the contract allows, or 0
// if it allows all.
func oldestAllowed(f core.Freshness, latest core.Version) core.Version {
	if f.MaxVersionsBehind <= 0 || !latest.IsKnown() {
		return 0
	}
	return max(0, latest-core.Version(f.MaxVersionsBehind))
}

// isExpired reports whether a sample has reached the contract's maximum age. A
// sample at exactly the maximum is expired, so that the exact moment of its
// delivery does not matter.
func isExpired(f core.Freshness, started, now time.Time) bool {
	return f.MaxAge > 0 && now.Sub(started) >= time.Duration(f.MaxAge)
}

// isFresh reports whether the sample may be delivered now.
func isFresh(f core.Freshness, latest core.Version, s *core.Sample, now time.Time) bool {
	return core.OldestVersion(s.Spans) >= oldestAllowed(f, latest) && !isExpired(f, s.Started, now)
}

// isLabelled reports whether the sample names the weight version of each token.
func isLabelled(s *core.Sample) bool {
	return len(s.Tokens) > 0 && core.ValidateSpans(s.Spans, len(s.Tokens)) == nil
}

// groupFreshness is the freshness of a complete group. It stays in memory while the
// samples are on disk.
type groupFreshness struct {
	oldest  core.Version
	newest  core.Version
	started time.Time // of the oldest sample
}

func freshnessOf(samples []core.Sample) groupFreshness {
	var f groupFreshness
	for i := range samples {
		for _, span := range samples[i].Spans {
			if f.oldest == 0 || span.Version < f.oldest {
				f.oldest = span.Version
			}
			f.newest = max(f.newest, span.Version)
		}
		if i == 0 || samples[i].Started.Before(f.started) {
			f.started = samples[i].Started
		}
	}
	return f
}

func (f groupFreshness) isWithin(bound core.Freshness, latest core.Version, now time.Time) bool {
	return f.oldest >= oldestAllowed(bound, latest) && !isExpired(bound, f.started, now)
}

func (f groupFreshness) report(latest core.Version, now time.Time) FreshnessReport {
	behind := int64(0)
	if latest.IsKnown() {
		behind = max(0, int64(latest-f.oldest))
	}
	return FreshnessReport{
		Oldest: f.oldest, Newest: f.newest, Latest: latest,
		VersionsBehind: behind, AgeMs: now.Sub(f.started).Milliseconds(),
	}
}
