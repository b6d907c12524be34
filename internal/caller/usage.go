package caller

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// usagePeriod is how often the use of shared limits is reported. Grants last
// several times longer.
const usagePeriod = 500 * time.Millisecond

// DemandListener receives how much of a limit this daemon would use if it could:
// the offered rate, or the calls in flight and waiting. It must not wait.
type DemandListener func(customer core.CustomerID, limit Limit, amount float64)

// EnableLimitSharing has the limits of contracts split between daemons: the use is
// reported, and a limit admits nothing until SetLimitShare has given a share of
// it. It is called before the duty starts.
func (a *Admission) EnableLimitSharing(deliver DemandListener) { a.deliverUsage = deliver }

func (a *Admission) reportUsage() {
	if a.deliverUsage == nil {
		return
	}
	for id, c := range a.customers {
		for limit, amount := range c.usage() {
			if amount > 0 {
				a.deliverUsage(id, Limit(limit), amount)
			}
		}
	}
}

// usage returns the use of each limit that the contract sets, and starts a new
// period.
func (c *customerState) usage() [limitCount]float64 {
	offered := c.limits.offered
	c.limits.offered.requests, c.limits.offered.tokens = 0, 0
	perSecond := float64(time.Second) / float64(usagePeriod)
	used := [limitCount]float64{
		LimitRequests:    float64(offered.requests) * perSecond,
		LimitTokens:      float64(offered.tokens) * perSecond,
		LimitConcurrency: float64(c.running + c.waiting()),
	}
	for limit := range used {
		if c.limits.contracted(Limit(limit)) == 0 {
			used[limit] = 0
		}
	}
	return used
}
