package caller

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// demandReportInterval is how often the demand for shared limits is reported.
// Grants last several times longer.
const demandReportInterval = 500 * time.Millisecond

// DemandListener receives how much of a limit this daemon could use: the rate that
// callers offer, or the number of calls in flight and waiting. It must not block.
type DemandListener func(customer core.CustomerID, limit Limit, amount float64)

// EnableLimitSharing makes daemons share the limits of contracts: the demand is
// reported to listener, and a limit admits nothing until SetLimitShare has set a
// share of it. now is the clock of those who set the shares, by which grants end. It
// must include the time for which the host is suspended, since other daemons get an
// expired grant. EnableLimitSharing must be called before the duty starts.
func (a *Admission) EnableLimitSharing(now func() time.Time, listener DemandListener) {
	a.shareNow, a.demandListener = now, listener
}

func (a *Admission) reportDemand() {
	if a.demandListener == nil {
		return
	}
	for id, c := range a.customers {
		for limit, amount := range c.takeDemand() {
			if amount > 0 {
				a.demandListener(id, Limit(limit), amount)
			}
		}
	}
}

// takeDemand returns the demand for each limit that the contract sets, and starts a
// new period.
func (c *customerState) takeDemand() [limitCount]float64 {
	offered := c.limits.offered
	c.limits.offered.requests, c.limits.offered.tokens = 0, 0
	perSecond := float64(time.Second) / float64(demandReportInterval)
	demand := [limitCount]float64{
		LimitRequests:    float64(offered.requests) * perSecond,
		LimitTokens:      float64(offered.tokens) * perSecond,
		LimitConcurrency: float64(c.runningCalls + c.waitingCalls()),
	}
	for limit := range demand {
		if c.limits.contractAmount(Limit(limit)) == 0 {
			demand[limit] = 0
		}
	}
	return demand
}
