package hosted

import (
	"io"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/platform"
	"github.com/berylfall/berylfall/internal/settings"
	adapter "github.com/berylfall/berylfall/platform"
)

// logAttempt counts an attempt and logs it if it failed. It runs on the dispatch
// duty's goroutine.
func (d *frontDaemon) logAttempt(e backend.AttemptEnd) {
	r := e.Attempt.Call.Request
	service := settings.Label{Name: "service", Value: r.Service}
	d.metrics.Observe("attempt_seconds", e.Duration, service)
	d.metrics.Count("attempts_total", service, settings.Label{Name: "verdict", Value: e.Verdict.String()})
	if e.Attempt.IsRunAsked {
		d.metrics.Count("server_runs_asked_total", service, settings.Label{Name: "replaced", Value: strconv.FormatBool(e.Attempt.IsRunReplaced)})
	}
	if r.Lease != nil {
		d.metrics.Observe("lease_age_seconds", e.Attempt.LeaseAge, service)
	}
	d.logContinuation(e)
	if e.Err == nil {
		return
	}
	if r.IsModelCall() && e.Version.IsKnown() && e.Version < r.MinVersion {
		d.directory.UpdateModelStatus([]backend.ModelStatus{{Server: e.Attempt.Server, Model: r.Model, Version: e.Version, Observed: true}})
	}
	d.metrics.Count("attempt_failures_total", service, settings.Label{Name: "code", Value: string(e.Err.Code)})
	d.log.WithError(e.Err).WithFields(logrus.Fields{
		"request": r.Forward.ID, "attempt": e.Attempt.Number, "service": r.Service, "model": r.Model,
		"backend_server": e.Attempt.Server, "software": e.Attempt.Software, "verdict": e.Verdict, "events": len(e.Tokens), "ms": e.Duration.Milliseconds(),
		"lease_age_ms": e.Attempt.LeaseAge.Milliseconds(),
	}).Info("attempt failed")
}

// logContinuation counts and logs an attempt that continued a stream: it shows whether
// the servers before and after run the same software.
func (d *frontDaemon) logContinuation(e backend.AttemptEnd) {
	resume := e.Attempt.Resume
	if resume.IsEmpty() || len(e.Tokens) == 0 {
		return
	}
	isSame := e.Attempt.Software == resume.Software
	d.metrics.Count("continued_streams_total", settings.Label{Name: "same_software", Value: strconv.FormatBool(isSame)})
	r := e.Attempt.Call.Request
	d.log.WithFields(logrus.Fields{
		"request": r.Forward.ID, "service": r.Service, "backend_server": e.Attempt.Server, "software": e.Attempt.Software,
		"software_before": resume.Software, "events_before": len(resume.Tokens), "events": len(e.Tokens),
	}).Info("stream continued")
}

// countRequest counts a request that has ended. It runs on the goroutine of the
// request's handler.
func (d *frontDaemon) countRequest(e adapter.RequestEnd) {
	byRoute := settings.Label{Name: "route", Value: e.Route}
	d.metrics.Observe("request_seconds", e.Took, byRoute)
	d.metrics.Count("requests_total", byRoute,
		settings.Label{Name: "status", Value: strconv.Itoa(e.Status)}, settings.Label{Name: "verdict", Value: e.Verdict.String()})
	if e.Customer != "" {
		d.metrics.Count("customer_requests_total", settings.Label{Name: "customer", Value: string(e.Customer)})
	}
}

func (d *frontDaemon) writeMetrics(out io.Writer) error {
	s := d.store.Stats()
	for name, value := range map[string]int64{
		"store_calls_total": s.Calls, "store_failed_total": s.Failed,
		"store_lost_answers_total": s.Lost, "store_unknown_total": s.Unknown, "store_waiting": s.Waiting,
	} {
		d.metrics.Set(name, float64(value))
	}
	for reason, count := range s.RefusedBy {
		d.metrics.Set("store_refused_total", float64(count), settings.Label{Name: "reason", Value: string(reason)})
	}
	d.metrics.Set("store_down_seconds", s.DownFor.Seconds())
	return d.metrics.WriteText(out)
}

// logRefusals logs the store operations that were refused in one second. It runs on the
// store duty's goroutine.
func (d *frontDaemon) logRefusals(r platform.Refusals) {
	fields := logrus.Fields{"down_ms": r.DownFor.Milliseconds(), "outage": r.Outage}
	for reason, count := range r.Counts {
		fields[string(reason)] = count
	}
	d.log.WithFields(fields).Warn("store operations refused")
}

// logRateLimit logs a change of the rate limit that a backend server declares. It runs
// on the dispatch duty's goroutine.
func (d *frontDaemon) logRateLimit(c backend.RateLimitChange) {
	d.log.WithFields(logrus.Fields{
		"backend_server": c.Server, "declared": c.Current.Declared, "per_second": c.Current.PerSecond, "per_second_before": c.Previous.PerSecond,
	}).Info("rate limit of a backend server changed")
}

// logRateUsage counts and logs the requests of one period to a backend server with a
// rate limit. It runs on the dispatch duty's goroutine.
func (d *frontDaemon) logRateUsage(u backend.RateUsage) {
	server := settings.Label{Name: "backend_server", Value: string(u.Server)}
	d.metrics.Add("rate_limited_attempts_total", int64(u.FirstAttempts), server, settings.Label{Name: "attempt", Value: "first"})
	d.metrics.Add("rate_limited_attempts_total", int64(u.Retries), server, settings.Label{Name: "attempt", Value: "retry"})
	d.log.WithFields(logrus.Fields{
		"backend_server": u.Server, "per_second": u.Limit.PerSecond, "first_attempts": u.FirstAttempts, "retries": u.Retries, "ms": u.Period.Milliseconds(),
	}).Info("requests to a backend server with a rate limit")
}
