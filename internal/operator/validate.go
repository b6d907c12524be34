package operator

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Bounds of a contract's values.
const (
	maxWeight            = 1000
	maxShedRank          = 100
	maxRequestsPerSecond = 1e6
	maxTokensPerSecond   = 1e9
	maxConcurrency       = 1_000_000
	maxQueue             = 4096 // calls; the capacity of a daemon's call queue
	maxVersionsBehind    = 1000
	maxAge               = 24 * time.Hour
	maxExtraWork         = 0.05 // hedging adds at most 5% of work
	maxDeadline          = time.Hour
	maxContextTokens     = 10_000_000
	maxSpareSamples      = 64
	// maxAvailability is below 1, since the burn rate of an objective without an
	// error budget is undefined.
	minAvailability = 0.5
	maxAvailability = 0.999999
	// maxListEntries bounds the length of every list in a contract.
	maxListEntries = 256
)

const nameRule = "1 to 63 of a-z, 0-9, '-', '.', '_', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidateContract returns an error for each invalid value of the contract. Each
// error names the field, the value and the allowed values.
func ValidateContract(c *core.Contract) []*core.Error {
	k := &validator{}
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

type validator struct {
	errors []*core.Error
}

func (k *validator) addError(field, value, allowed, reason string) {
	k.errors = append(k.errors, core.InvalidError(field, value, allowed, reason))
}

func (k *validator) name(field, value string) {
	if value == "" {
		k.addError(field, "", nameRule, "is required")
		return
	}
	if !namePattern.MatchString(value) {
		k.addError(field, value, nameRule, "is not a valid name")
	}
}

// integer checks that the value is between 0 and high.
func (k *validator) integer(field string, value, high int) {
	if value < 0 || value > high {
		k.addError(field, strconv.Itoa(value), fmt.Sprintf("0 to %d", high), "is out of range")
	}
}

// number checks that the value is between low and high. It rejects NaN, which is in
// no range.
func (k *validator) number(field string, value, low, high float64) {
	if value >= low && value <= high {
		return
	}
	k.addError(field, fmt.Sprint(value), fmt.Sprintf("%v to %v", low, high), "is out of range")
}

// duration checks an optional duration, which is 0 if omitted.
func (k *validator) duration(field string, value core.Duration, longest time.Duration) {
	if value < 0 || time.Duration(value) > longest {
		k.addError(field, time.Duration(value).String(), "above 0, up to "+longest.String(), "is out of range")
	}
}

func (k *validator) class(field string, value core.Class) {
	if value != "" && value.Rank() == len(core.Classes()) {
		k.addError(field, string(value), "interactive, background, rollout", "is not a class")
	}
}

// uniqueNames checks the length of a list of named objects and that no name is used
// twice.
func (k *validator) uniqueNames(field string, names []string) {
	if len(names) > maxListEntries {
		k.addError(field, strconv.Itoa(len(names)), fmt.Sprintf("up to %d entries", maxListEntries), "is too long")
	}
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		if name != "" && seen[name] {
			k.addError(at+".name", name, "each name once", "is used twice")
		}
		seen[name] = true
	}
}

// nameList checks a list of names: its length, each name and that no name is used
// twice.
func (k *validator) nameList(field string, names []string) {
	if len(names) > maxListEntries {
		k.addError(field, strconv.Itoa(len(names)), fmt.Sprintf("up to %d entries", maxListEntries), "is too long")
	}
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		k.name(at, name)
		if name != "" && seen[name] {
			k.addError(at, name, "each name once", "is used twice")
		}
		seen[name] = true
	}
}

func (k *validator) limits(l core.Limits) {
	k.number("limits.requestsPerSecond", l.RequestsPerSecond, 0, maxRequestsPerSecond)
	k.number("limits.tokensPerSecond", l.TokensPerSecond, 0, maxTokensPerSecond)
	k.integer("limits.concurrency", l.Concurrency, maxConcurrency)
	k.integer("limits.queue", l.Queue, maxQueue)
}

func (k *validator) services(c *core.Contract) {
	if len(c.Services) == 0 {
		k.addError("services", "", "at least one service", "is required")
	}
	k.uniqueNames("services", namesOf(c.Services, func(s core.Service) string { return s.Name }))
	for i := range c.Services {
		k.service(fmt.Sprintf("services[%d]", i), &c.Services[i])
	}
}

func (k *validator) service(at string, s *core.Service) {
	k.name(at+".name", s.Name)
	k.class(at+".class", s.Class)
	k.duration(at+".deadline", s.Deadline, maxDeadline)
	k.nameList(at+".backendKinds", s.BackendKinds)
	switch s.Kind {
	case core.KindEngine:
		k.engineService(at, s)
	case core.KindPlain:
		k.plainService(at, s)
	default:
		k.addError(at+".kind", string(s.Kind), "engine, plain", "is not a kind of service")
	}
	k.uniqueNames(at+".models", namesOf(s.Models, func(m core.Model) string { return m.Name }))
	for i, m := range s.Models {
		model := fmt.Sprintf("%s.models[%d]", at, i)
		k.name(model+".name", m.Name)
		k.nameList(model+".adapters", m.Adapters)
		k.integer(model+".contextTokens", m.ContextTokens, maxContextTokens)
	}
	k.uniqueNames(at+".operations", namesOf(s.Operations, func(o core.Operation) string { return o.Name }))
	for i, o := range s.Operations {
		operation := fmt.Sprintf("%s.operations[%d]", at, i)
		k.name(operation+".name", o.Name)
		k.class(operation+".class", o.Class)
		k.duration(operation+".deadline", o.Deadline, maxDeadline)
	}
}

func (k *validator) engineService(at string, s *core.Service) {
	if len(s.Models) == 0 {
		k.addError(at+".models", "", "at least one model", "is required for an engine")
	}
	if len(s.Operations) > 0 {
		k.addError(at+".operations", strconv.Itoa(len(s.Operations)), "no operations for an engine", "is not allowed")
	}
}

func (k *validator) plainService(at string, s *core.Service) {
	if len(s.Operations) == 0 {
		k.addError(at+".operations", "", "at least one operation", "is required for a plain service")
	}
	if len(s.Models) > 0 {
		k.addError(at+".models", strconv.Itoa(len(s.Models)), "no models for a plain service", "is not allowed")
	}
}

func (k *validator) trainers(c *core.Contract) {
	k.uniqueNames("trainers", namesOf(c.Trainers, func(t core.Trainer) string { return t.Name }))
	var total float64
	for i, t := range c.Trainers {
		at := fmt.Sprintf("trainers[%d]", i)
		k.name(at+".name", t.Name)
		k.number(at+".share", t.Share, 0, 1)
		k.integer(at+".spareSamples", t.SpareSamples, maxSpareSamples)
		total += t.Share
		service := c.Service(t.Service)
		if service == nil {
			k.addError(at+".service", t.Service, formatServices(c), "names no service of this contract")
		} else if service.Kind != core.KindEngine {
			k.addError(at+".service", t.Service, "a service of kind engine", "is not an engine")
		}
	}
	// The margin covers rounding errors of shares such as 0.1 in binary floating
	// point.
	const roundingMargin = 1e-9
	if total > 1+roundingMargin {
		k.addError("trainers", fmt.Sprint(total), "shares that add up to at most 1", "add up to more than 1")
	}
}

func (k *validator) objectives(c *core.Contract) {
	k.uniqueNames("objectives", namesOf(c.Objectives, func(o core.Objective) string { return o.Name }))
	for i, o := range c.Objectives {
		at := fmt.Sprintf("objectives[%d]", i)
		k.name(at+".name", o.Name)
		k.class(at+".class", o.Class)
		k.duration(at+".latency", o.Latency, maxDeadline)
		k.number(at+".availability", o.Availability, minAvailability, maxAvailability)
		if c.Service(o.Service) == nil {
			k.addError(at+".service", o.Service, formatServices(c), "names no service of this contract")
		}
	}
}

func formatServices(c *core.Contract) string {
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
