package daemonrpc

import (
	"math"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
)

// maxPermitDuration bounds the ages and delays of a permit message. A longer one is
// from a clock error or a damaged message.
const maxPermitDuration = time.Hour

func encodeRateLimit(l backend.RateLimit, age time.Duration) *RateLimit {
	return &RateLimit{Declared: l.Declared, PerSecond: l.PerSecond, AgeNs: int64(age)}
}

// decodeRateLimit returns an error for a limit that is not a number of 0 or more.
func decodeRateLimit(m *RateLimit) (l backend.RateLimit, age time.Duration, err error) {
	perSecond, age := m.GetPerSecond(), time.Duration(m.GetAgeNs())
	if !(perSecond >= 0) || math.IsInf(perSecond, 0) || age < 0 || age > maxPermitDuration {
		return backend.RateLimit{}, 0, ErrMalformed
	}
	return backend.RateLimit{Declared: m.GetDeclared(), PerSecond: perSecond}, age, nil
}

func encodePermitRequest(r backend.PermitRequest) *Question {
	return &Question{Kind: &Question_Permits{Permits: &PermitQuestion{
		Server: string(r.Server), Limit: encodeRateLimit(r.Limit, r.LimitAge), Urgent: uint32(r.Urgent), Other: uint32(r.Other),
	}}}
}

// decodePermitRequest returns an error for a request of another build that this one
// cannot handle.
func decodePermitRequest(m *PermitQuestion) (backend.PermitRequest, error) {
	limit, age, err := decodeRateLimit(m.GetLimit())
	if err != nil || m.GetServer() == "" || m.GetUrgent() > backend.MaxWantedPermits || m.GetOther() > backend.MaxWantedPermits {
		return backend.PermitRequest{}, ErrMalformed
	}
	return backend.PermitRequest{
		Server: core.ServerID(m.GetServer()), Limit: limit, LimitAge: age, Urgent: int(m.GetUrgent()), Other: int(m.GetOther()),
	}, nil
}

func encodePermitGrant(g backend.PermitGrant) *PermitAnswer {
	m := &PermitAnswer{Outcome: uint32(g.Outcome), RetryAfterNs: int64(g.RetryAfter), Limit: encodeRateLimit(g.Limit, g.LimitAge)}
	for _, delay := range g.Delays {
		m.DelaysNs = append(m.DelaysNs, int64(delay))
	}
	return m
}

// decodePermitGrant returns an error for a grant that no daemon of this build sends.
func decodePermitGrant(server core.ServerID, m *PermitAnswer) (backend.PermitGrant, error) {
	limit, age, err := decodeRateLimit(m.GetLimit())
	retryAfter := time.Duration(m.GetRetryAfterNs())
	if m == nil || err != nil || m.GetOutcome() > uint32(backend.PermitsElsewhere) || retryAfter < 0 || retryAfter > maxPermitDuration {
		return backend.PermitGrant{}, ErrMalformed
	}
	g := backend.PermitGrant{Server: server, Outcome: backend.PermitOutcome(m.GetOutcome()), RetryAfter: retryAfter, Limit: limit, LimitAge: age}
	for _, nanos := range m.GetDelaysNs() {
		delay := time.Duration(nanos)
		if delay < 0 || delay > maxPermitDuration || len(g.Delays) >= 2*backend.MaxWantedPermits {
			return backend.PermitGrant{}, ErrMalformed
		}
		g.Delays = append(g.Delays, delay)
	}
	return g, nil
}

func encodeServerLimits(list []backend.ServerRateLimit) []*ServerLimit {
	var messages []*ServerLimit
	for _, l := range list {
		messages = append(messages, &ServerLimit{Server: string(l.Server), Limit: encodeRateLimit(l.Limit, l.Age)})
	}
	return messages
}

// decodeServerLimits leaves out limits that are malformed.
func decodeServerLimits(messages []*ServerLimit) []backend.ServerRateLimit {
	var list []backend.ServerRateLimit
	for _, m := range messages {
		if limit, age, err := decodeRateLimit(m.GetLimit()); err == nil {
			list = append(list, backend.ServerRateLimit{Server: core.ServerID(m.GetServer()), Limit: limit, Age: age})
		}
	}
	return list
}
