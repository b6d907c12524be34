package operator

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Ranges of a contract's values.
const (
	maxWeight            = 1000
	maxShedRank          = 100
	maxRequestsPerSecond = 1e6
	maxTokensPerSecond   = 1e9
	maxConcurrency       = 1_000_000
	maxQueue             = 4096 // the capacity of a daemon's queue of calls
	maxVersionsBehind    = 1000
	maxAge               = 24 * time.Hour
	maxExtraWork         = 0.05 // hedging adds at most 5% of work
	maxDeadline          = time.Hour
	maxContextTokens     = 10_000_000
	maxSpareSamples      = 64
	// maxAvailability is below 1, since an objective without any error budget
	// has no burn rate.
	minAvailability = 0.5
	maxAvailability = 0.999999
	// maxListed bounds every list of a contract.
	maxListed = 256
)

const nameRule = "1 to 63 of a-z, 0-9, '-', '.', '_', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidateContract returns every fault of the contract's values. Each error names
// the field, the value and what is allowed.
func ValidateContract(c *core.Contract) []*core.Error {
	k := &checker{}
	k.name("customer", string(c.Customer))
	k.integer("weight", c.Weight, maxWeight)
	k.integer("shedRank", c.ShedRank, maxShedRank)
	k.limits(c.Limits)
	k.integer("freshness.maxVersionsBehind", c.Freshness.MaxVersionsBehind, maxVersionsBehind)
	k.duration("freshness.maxAge", c.Freshness.MaxAge, maxAge)
	k.number("hedge.maxExtraWork", c.Hedge.MaxExtraWork, 0, maxExtraWork)
	k.services(c)
	k.trainers(c)
	k.objectives(c)
	return k.errors
}

type checker struct {
	errors []*core.Error
}

func (k *checker) fail(field, value, allowed, reason string) {
	k.errors = append(k.errors, core.InvalidError(field, value, allowed, reason))
}

func (k *checker) name(field, value string) {
	if value == "" {
		k.fail(field, "", nameRule, "is required")
		return
	}
	if !namePattern.MatchString(value) {
		k.fail(field, value, nameRule, "is not a valid name")
	}
}

// integer checks a value from 0 to high.
func (k *checker) integer(field string, value, high int) {
	if value < 0 || value > high {
		k.fail(field, strconv.Itoa(value), fmt.Sprintf("0 to %d", high), "is out of range")
	}
}

// number refuses NaN too, which is in no range.
func (k *checker) number(field string, value, low, high float64) {
	if value >= low && value <= high {
		return
	}
	k.fail(field, fmt.Sprint(value), fmt.Sprintf("%v to %v", low, high), "is out of range")
}

// duration checks an optional duration, which is 0 when it is left out.
func (k *checker) duration(field string, value core.Duration, longest time.Duration) {
	if value < 0 || time.Duration(value) > longest {
		k.fail(field, time.Duration(value).String(), "above 0, up to "+longest.String(), "is out of range")
	}
}

func (k *checker) class(field string, value core.Class) {
	if value != "" && value.Rank() == len(core.Classes()) {
		k.fail(field, string(value), "interactive, background, rollout", "is not a class")
	}
}

// listed checks the length of a list and that its names differ.
func (k *checker) listed(field string, names []string) {
	if len(names) > maxListed {
		k.fail(field, strconv.Itoa(len(names)), fmt.Sprintf("up to %d entries", maxListed), "is too long")
	}
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		if name != "" && seen[name] {
			k.fail(at+".name", name, "each name once", "is used twice")
		}
		seen[name] = true
	}
}

// plainNames checks a list of bare names.
func (k *checker) plainNames(field string, names []string) {
	if len(names) > maxListed {
		k.fail(field, strconv.Itoa(len(names)), fmt.Sprintf("up to %d entries", maxListed), "is too long")
	}
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		k.name(at, name)
		if name != "" && seen[name] {
			k.fail(at, name, "each name once", "is used twice")
		}
		seen[name] = true
	}
}

func (k *checker) limits(l core.Limits) {
	k.number("limits.requestsPerSecond", l.RequestsPerSecond, 0, maxRequestsPerSecond)
	k.number("limits.tokensPerSecond", l.TokensPerSecond, 0, maxTokensPerSecond)
	k.integer("limits.concurrency", l.Concurrency, maxConcurrency)
	k.integer("limits.queue", l.Queue, maxQueue)
}

func (k *checker) services(c *core.Contract) {
	if len(c.Services) == 0 {
		k.fail("services", "", "at least one service", "is required")
	}
	k.listed("services", namesOf(c.Services, func(s core.Service) string { return s.Name }))
	for i := range c.Services {
		k.service(fmt.Sprintf("services[%d]", i), &c.Services[i])
	}
}

func (k *checker) service(at string, s *core.Service) {
	k.name(at+".name", s.Name)
	k.class(at+".class", s.Class)
	k.duration(at+".deadline", s.Deadline, maxDeadline)
	k.plainNames(at+".backendKinds", s.BackendKinds)
	switch s.Kind {
	case core.KindEngine:
		k.engineService(at, s)
	case core.KindPlain:
		k.plainService(at, s)
	default:
		k.fail(at+".kind", string(s.Kind), "engine, plain", "is not a kind of service")
	}
	k.listed(at+".models", namesOf(s.Models, func(m core.Model) string { return m.Name }))
	for i, m := range s.Models {
		model := fmt.Sprintf("%s.models[%d]", at, i)
		k.name(model+".name", m.Name)
		k.plainNames(model+".adapters", m.Adapters)
		k.integer(model+".contextTokens", m.ContextTokens, maxContextTokens)
	}
	k.listed(at+".operations", namesOf(s.Operations, func(o core.Operation) string { return o.Name }))
	for i, o := range s.Operations {
		operation := fmt.Sprintf("%s.operations[%d]", at, i)
		k.name(operation+".name", o.Name)
		k.class(operation+".class", o.Class)
		k.duration(operation+".deadline", o.Deadline, maxDeadline)
	}
}

func (k *checker) engineService(at string, s *core.Service) {
	if len(s.Models) == 0 {
		k.fail(at+".models", "", "at least one model", "is required for an engine")
	}
	if len(s.Operations) > 0 {
		k.fail(at+".operations", strconv.Itoa(len(s.Operations)), "no operations for an engine", "is not allowed")
	}
}

func (k *checker) plainService(at string, s *core.Service) {
	if len(s.Operations) == 0 {
		k.fail(at+".operations", "", "at least one operation", "is required for a plain service")
	}
	if len(s.Models) > 0 {
		k.fail(at+".models", strconv.Itoa(len(s.Models)), "no models for a plain service", "is not allowed")
	}
}

func (k *checker) trainers(c *core.Contract) {
	k.listed("trainers", namesOf(c.Trainers, func(t core.Trainer) string { return t.Name }))
	var total float64
	for i, t := range c.Trainers {
		at := fmt.Sprintf("trainers[%d]", i)
		k.name(at+".name", t.Name)
		k.number(at+".share", t.Share, 0, 1)
		k.integer(at+".spareSamples", t.SpareSamples, maxSpareSamples)
		total += t.Share
		service := c.Service(t.Service)
		if service == nil {
			k.fail(at+".service", t.Service, serviceList(c), "names no service of this contract")
		} else if service.Kind != core.KindEngine {
			k.fail(at+".service", t.Service, "a service of kind engine", "is not an engine")
		}
	}
	// The margin covers the rounding of shares such as 0.1 in binary.
	const roundingMargin = 1e-9
	if total > 1+roundingMargin {
		k.fail("trainers", fmt.Sprint(total), "shares that add up to at most 1", "give away more than the whole")
	}
}

func (k *checker) objectives(c *core.Contract) {
	k.listed("objectives", namesOf(c.Objectives, func(o core.Objective) string { return o.Name }))
	for i, o := range c.Objectives {
		at := fmt.Sprintf("objectives[%d]", i)
		k.name(at+".name", o.Name)
		k.class(at+".class", o.Class)
		k.duration(at+".latency", o.Latency, maxDeadline)
		k.number(at+".availability", o.Availability, minAvailability, maxAvailability)
		if c.Service(o.Service) == nil {
			k.fail(at+".service", o.Service, serviceList(c), "names no service of this contract")
		}
	}
}

func serviceList(c *core.Contract) string {
	if len(c.Services) == 0 {
		return "a service of this contract"
	}
	text := ""
	for i, s := range c.Services {
		if i > 0 {
			text += ", "
		}
		text += s.Name
	}
	return text
}

func namesOf[T any](list []T, name func(T) string) []string {
	names := make([]string, 0, len(list))
	for _, item := range list {
		names = append(names, name(item))
	}
	return names
}
