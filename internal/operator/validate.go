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
	v := &validator{}
	v.name("customer", string(c.Customer))
	v.integer("weight", c.Weight, maxWeight)
	v.integer("shedRank", c.ShedRank, maxShedRank)
	v.limits(c.Limits)
	v.integer("freshness.maxVersionsBehind", c.Freshness.MaxVersionsBehind, maxVersionsBehind)
	v.duration("freshness.maxAge", c.Freshness.MaxAge, maxAge)
	v.number("hedge.maxExtraWork", c.Hedge.MaxExtraWork, 0, maxExtraWork)
	v.services(c)
	v.trainers(c)
	v.objectives(c)
	return v.errors
}

type validator struct {
	errors []*core.Error
}

func (v *validator) addError(field, value, allowed, reason string) {
	v.errors = append(v.errors, core.InvalidError(field, value, allowed, reason))
}

func (v *validator) name(field, value string) {
	if value == "" {
		v.addError(field, "", nameRule, "is required")
		return
	}
	if !namePattern.MatchString(value) {
		v.addError(field, value, nameRule, "is not a valid name")
	}
}

// integer checks that the value is between 0 and high.
func (v *validator) integer(field string, value, high int) {
	if value < 0 || value > high {
		v.addError(field, strconv.Itoa(value), fmt.Sprintf("0 to %d", high), "is out of range")
	}
}

// number checks that the value is between low and high. It rejects NaN, which is in
// no range.
func (v *validator) number(field string, value, low, high float64) {
	if value >= low && value <= high {
		return
	}
	v.addError(field, fmt.Sprint(value), fmt.Sprintf("%v to %v", low, high), "is out of range")
}

// duration checks an optional duration, which is 0 if omitted.
func (v *validator) duration(field string, value core.Duration, longest time.Duration) {
	if value < 0 || time.Duration(value) > longest {
		v.addError(field, time.Duration(value).String(), "above 0, up to "+longest.String(), "is out of range")
	}
}

func (v *validator) class(field string, value core.Class) {
	if value != "" && value.Rank() == len(core.Classes()) {
		v.addError(field, string(value), "interactive, background, rollout", "is not a class")
	}
}

// uniqueNames checks the length of a list of named objects and that no name is used
// twice.
func (v *validator) uniqueNames(field string, names []string) {
	if len(names) > maxListEntries {
		v.addError(field, strconv.Itoa(len(names)), fmt.Sprintf("up to %d entries", maxListEntries), "is too long")
	}
	seen := map[string]bool{}
	for i, name := range names {
		path := fmt.Sprintf("%s[%d]", field, i)
		if name != "" && seen[name] {
			v.addError(path+".name", name, "each name once", "is used twice")
		}
		seen[name] = true
	}
}

// nameList checks a list of names: its length, each name and that no name is used
// twice.
func (v *validator) nameList(field string, names []string) {
	if len(names) > maxListEntries {
		v.addError(field, strconv.Itoa(len(names)), fmt.Sprintf("up to %d entries", maxListEntries), "is too long")
	}
	seen := map[string]bool{}
	for i, name := range names {
		path := fmt.Sprintf("%s[%d]", field, i)
		v.name(path, name)
		if name != "" && seen[name] {
			v.addError(path, name, "each name once", "is used twice")
		}
		seen[name] = true
	}
}

func (v *validator) limits(l core.Limits) {
	v.number("limits.requestsPerSecond", l.RequestsPerSecond, 0, maxRequestsPerSecond)
	v.number("limits.tokensPerSecond", l.TokensPerSecond, 0, maxTokensPerSecond)
	v.integer("limits.concurrency", l.Concurrency, maxConcurrency)
	v.integer("limits.queue", l.Queue, maxQueue)
}

func (v *validator) services(c *core.Contract) {
	if len(c.Services) == 0 {
		v.addError("services", "", "at least one service", "is required")
	}
	v.uniqueNames("services", namesOf(c.Services, func(s core.Service) string { return s.Name }))
	for i := range c.Services {
		v.service(fmt.Sprintf("services[%d]", i), &c.Services[i])
	}
}

func (v *validator) service(path string, s *core.Service) {
	v.name(path+".name", s.Name)
	v.class(path+".class", s.Class)
	v.duration(path+".deadline", s.Deadline, maxDeadline)
	v.nameList(path+".backendKinds", s.BackendKinds)
	switch s.Kind {
	case core.KindEngine:
		v.engineService(path, s)
	case core.KindPlain:
		v.plainService(path, s)
	default:
		v.addError(path+".kind", string(s.Kind), "engine, plain", "is not a kind of service")
	}
	v.uniqueNames(path+".models", namesOf(s.Models, func(m core.Model) string { return m.Name }))
	for i, m := range s.Models {
		model := fmt.Sprintf("%s.models[%d]", path, i)
		v.name(model+".name", m.Name)
		v.nameList(model+".adapters", m.Adapters)
		v.integer(model+".contextTokens", m.ContextTokens, maxContextTokens)
	}
	v.uniqueNames(path+".operations", namesOf(s.Operations, func(o core.Operation) string { return o.Name }))
	for i, o := range s.Operations {
		operation := fmt.Sprintf("%s.operations[%d]", path, i)
		v.name(operation+".name", o.Name)
		v.class(operation+".class", o.Class)
		v.duration(operation+".deadline", o.Deadline, maxDeadline)
	}
}

func (v *validator) engineService(path string, s *core.Service) {
	if len(s.Models) == 0 {
		v.addError(path+".models", "", "at least one model", "is required for an engine")
	}
	if len(s.Operations) > 0 {
		v.addError(path+".operations", strconv.Itoa(len(s.Operations)), "no operations for an engine", "is not allowed")
	}
}

func (v *validator) plainService(path string, s *core.Service) {
	if len(s.Operations) == 0 {
		v.addError(path+".operations", "", "at least one operation", "is required for a plain service")
	}
	if len(s.Models) > 0 {
		v.addError(path+".models", strconv.Itoa(len(s.Models)), "no models for a plain service", "is not allowed")
	}
}

func (v *validator) trainers(c *core.Contract) {
	v.uniqueNames("trainers", namesOf(c.Trainers, func(t core.Trainer) string { return t.Name }))
	var total float64
	for i, t := range c.Trainers {
		path := fmt.Sprintf("trainers[%d]", i)
		v.name(path+".name", t.Name)
		v.number(path+".share", t.Share, 0, 1)
		v.integer(path+".spareSamples", t.SpareSamples, maxSpareSamples)
		total += t.Share
		service := c.Service(t.Service)
		if service == nil {
			v.addError(path+".service", t.Service, formatServices(c), "names no service of this contract")
		} else if service.Kind != core.KindEngine {
			v.addError(path+".service", t.Service, "a service of kind engine", "is not an engine")
		}
	}
	// The margin covers rounding errors of shares such as 0.1 in binary floating
	// point.
	const roundingMargin = 1e-9
	if total > 1+roundingMargin {
		v.addError("trainers", fmt.Sprint(total), "shares that add up to at most 1", "add up to more than 1")
	}
}

func (v *validator) objectives(c *core.Contract) {
	v.uniqueNames("objectives", namesOf(c.Objectives, func(o core.Objective) string { return o.Name }))
	for i, o := range c.Objectives {
		path := fmt.Sprintf("objectives[%d]", i)
		v.name(path+".name", o.Name)
		v.class(path+".class", o.Class)
		v.duration(path+".latency", o.Latency, maxDeadline)
		v.number(path+".availability", o.Availability, minAvailability, maxAvailability)
		if c.Service(o.Service) == nil {
			v.addError(path+".service", o.Service, formatServices(c), "names no service of this contract")
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
