package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

const (
	clusterStep = 50 * time.Millisecond
	// clusterMessageTime is the longest time that a message between daemons takes.
	clusterMessageTime = 500 * time.Millisecond
	stableTime         = 3 * time.Second
)

// crashCluster is a set of daemons before servers of which each crashes when it begins to
// run one request. A server is back at once as another run.
type crashCluster struct {
	t       *testing.T
	random  *rand.Rand
	daemons []*dispatchHarness
	crashes map[core.ServerID]int
	times   []time.Time // of the crashes
	mail    []suspectMail
}

// suspectMail is a report on its way to a daemon.
type suspectMail struct {
	to     int
	at     time.Time
	report SuspectReport
}

func newCrashCluster(t *testing.T, seed uint64, daemons int) *crashCluster {
	c := &crashCluster{t: t, random: rand.New(rand.NewPCG(seed, 3)), crashes: map[core.ServerID]int{}}
	for i := range daemons {
		c.daemons = append(c.daemons, nil)
		c.start(i)
	}
	return c
}

// start starts the daemon with nothing in its memory. It asks another one for suspects.
func (c *crashCluster) start(i int) {
	var clock time.Time
	if c.daemons[0] != nil {
		clock = c.now()
	}
	b := newDispatchHarness(c.t, 10, c.exchange)
	if !clock.IsZero() {
		b.clock.Advance(clock.Sub(b.clock.Now()))
	}
	c.daemons[i] = b
	c.publish(b)
	if other := c.daemons[(i+1)%len(c.daemons)]; other != nil && other != b {
		b.dispatch.MergeSuspectReport(other.dispatch.health.suspects.Report(other.clock.Now()))
	}
}

func (c *crashCluster) now() time.Time { return c.daemons[0].clock.Now() }

func (c *crashCluster) publish(b *dispatchHarness) {
	for i := range b.servers {
		b.servers[i].Description.Incarnation = fmt.Sprint(c.crashes[b.servers[i].ID])
	}
	b.publish()
}

// exchange runs an attempt: it fails if its server crashed since it began.
func (c *crashCluster) exchange(a Attempt) AttemptEnd {
	if a.Context.Err() != nil {
		return broken(a)
	}
	hasCrashed := a.Incarnation != fmt.Sprint(c.crashes[a.Server])
	if a.Call.Request.Fingerprint == crashingFingerprint && !hasCrashed {
		c.crashes[a.Server]++
		c.times = append(c.times, c.now())
		for _, b := range c.daemons {
			c.publish(b)
		}
		hasCrashed = true
	}
	if !hasCrashed {
		return completed(a)
	}
	e := broken(a)
	e.Crashed, e.Incarnation = true, fmt.Sprint(c.crashes[a.Server])
	return e
}

// step lets the time pass, delivers messages, and ends a part of the attempts.
func (c *crashCluster) step() {
	for i, b := range c.daemons {
		b.clock.Advance(clusterStep)
		b.dispatch.loop.RunPending()
		pending := b.pending
		b.pending = nil
		for _, run := range pending {
			if c.random.IntN(2) == 0 {
				run()
			} else {
				b.pending = append(b.pending, run)
			}
		}
		b.dispatch.loop.RunPending()
		c.post(i, b)
	}
	var waiting []suspectMail
	for _, m := range c.mail {
		if m.at.After(c.now()) {
			waiting = append(waiting, m)
			continue
		}
		c.daemons[m.to].dispatch.MergeSuspectReport(m.report)
	}
	c.mail = waiting
}

// post sends what the daemon has learnt to all others.
func (c *crashCluster) post(from int, b *dispatchHarness) {
	for _, r := range b.sentSuspects {
		for i := range r.Crashes {
			r.Crashes[i].Daemon = fmt.Sprint("d", from)
		}
		for to := range c.daemons {
			if to != from {
				c.mail = append(c.mail, suspectMail{to: to, at: c.now().Add(time.Duration(c.random.Int64N(int64(clusterMessageTime)))), report: r})
			}
		}
	}
	b.sentSuspects = nil
}

// lateCrashes returns the number of crashes later than stableTime after the third.
func (c *crashCluster) lateCrashes() int {
	late := 0
	for i, at := range c.times {
		if i >= 3 && at.Sub(c.times[2]) > stableTime {
			late++
		}
	}
	return late
}

// checkSoundRequests fails if a daemon takes a sound request for the cause of crashes.
func (c *crashCluster) checkSoundRequests(seed uint64) {
	for i, b := range c.daemons {
		for f := range b.dispatch.health.suspects.confirmed {
			if f != crashingFingerprint {
				c.t.Fatalf("seed %d, %v: daemon %d takes the sound request %d for the cause of crashes", seed, c.now(), i, f)
			}
		}
	}
}

// Guards against a request that comes to another daemon each time and crashes servers at
// each of them, because daemons do not tell each other or forget with a restart, and against
// a sound request that is refused because it shared servers with it.
func TestCrashingRequestIsRefusedByAllDaemons(t *testing.T) {
	const duration = 60 * time.Second
	for seed := range uint64(30) {
		for _, load := range []int{0, 1, 6} { // sound requests in a step
			for _, restarts := range []bool{false, true} {
				c := newCrashCluster(t, seed, 9)
				for at := time.Duration(0); at < duration; at += clusterStep {
					if at%(1500*time.Millisecond) == 0 {
						c.daemons[c.random.IntN(9)].submit(context.Background(), crashingFingerprint, true)
					}
					for range load {
						// The same content comes again, also while it is a suspect.
						c.daemons[c.random.IntN(9)].submit(context.Background(), uint64(1000+c.random.IntN(40)), true)
					}
					if restarts && at%(2*time.Second) == time.Second {
						c.start(int(at/(2*time.Second)) % 9)
					}
					c.step()
					c.checkSoundRequests(seed)
				}
				what := fmt.Sprintf("seed %d, load %d, restarts %v", seed, load, restarts)
				if late := c.lateCrashes(); late > 3 || len(c.times) > 9 {
					t.Errorf("%s: %d crashes, %d of them later than %v after the third", what, len(c.times), late, stableTime)
				}
			}
		}
	}
}

// Guards against a sound request that is judged by what one daemon knows: another one had
// the cause in flight on the same servers.
func TestCrashIsJudgedByAllReports(t *testing.T) {
	const sound, cause = 5, 6
	now := time.Unix(1e9, 0)
	s := NewSuspectSet()
	for i := range 4 {
		id := CrashID{Server: core.ServerID(fmt.Sprint("s", i)), Run: "1"}
		s.RecordCrash(CrashReport{CrashID: id, InFlight: []uint64{sound}}, now)
		s.Merge(SuspectReport{Crashes: []CrashReport{{CrashID: id, Daemon: "d1", InFlight: []uint64{cause, 7 + uint64(i)}}}}, now.Add(crashSettleTime/2))
		now = now.Add(crashSettleTime)
		s.Judge(now)
		if s.QuarantineRemaining(sound, now) > 0 {
			t.Fatalf("crash %d: the sound request is refused", i)
		}
	}
	s.ClearSuspicion(sound)
	for i := range 3 {
		id := CrashID{Server: core.ServerID(fmt.Sprint("t", i)), Run: "1"}
		s.RecordCrash(CrashReport{CrashID: id, Daemon: "d1", InFlight: []uint64{cause}}, now)
		s.RecordCrash(CrashReport{CrashID: id, InFlight: []uint64{sound}}, now)
		now = now.Add(crashSettleTime)
		s.Judge(now)
		s.ClearSuspicion(sound)
	}
	if s.QuarantineRemaining(cause, now) == 0 || s.QuarantineRemaining(sound, now) > 0 {
		t.Errorf("the cause is refused for %v, the sound request for %v", s.QuarantineRemaining(cause, now), s.QuarantineRemaining(sound, now))
	}
}

// Guards against a long stream that is taken for the cause of crashes of servers that had
// begun to answer it.
func TestRequestInProgressIsNotTheCauseOfACrash(t *testing.T) {
	s := NewSuspectSet()
	now := time.Unix(1e9, 0)
	for i := range 4 {
		id := CrashID{Server: core.ServerID(fmt.Sprint("s", i)), Run: "1"}
		s.RecordCrash(CrashReport{CrashID: id, InFlight: []uint64{5}}, now)
		s.Exonerate(id, 5)
		if part, ok := s.ownPart(id); !ok || len(part.InFlight) > 0 {
			t.Errorf("the report to other daemons is %+v, %v", part, ok)
		}
		now = now.Add(crashSettleTime)
		s.Judge(now)
	}
	if s.QuarantineRemaining(5, now) > 0 || s.IsSuspected(5, now) {
		t.Error("the stream is a suspect or refused")
	}
}
