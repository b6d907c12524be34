package hosted

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/settings"
)

// unauthorizedLogPeriod is the least time between two lines about requests that were
// refused because of their keys. A caller whose key was taken away may send any number.
const unauthorizedLogPeriod = time.Second

// unauthorizedRequests counts and logs requests that were refused because of their keys.
// Any goroutine may use it.
type unauthorizedRequests struct {
	clock    duty.Clock
	log      *logrus.Entry
	metrics  *settings.Metrics
	lines    *rate.Limiter
	unlogged atomic.Int64
}

func newUnauthorizedRequests(clock duty.Clock, log *logrus.Entry, metrics *settings.Metrics) *unauthorizedRequests {
	return &unauthorizedRequests{clock: clock, log: log, metrics: metrics, lines: rate.NewLimiter(rate.Every(unauthorizedLogPeriod), 1)}
}

// report counts a request. The log gets the first one of a period, and how many there were
// since the last line.
func (u *unauthorizedRequests) report(request string, refusal *core.Error) {
	u.metrics.Count("unauthorized_requests_total", settings.Label{Name: "reason", Value: refusal.Reason})
	count := u.unlogged.Add(1)
	if !u.lines.AllowN(u.clock.Now(), 1) {
		return
	}
	u.unlogged.Add(-count)
	u.log.WithFields(logrus.Fields{"request": request, "reason": refusal.Reason, "requests": count}).Info("requests are refused: unauthorized")
}
