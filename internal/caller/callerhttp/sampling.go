package callerhttp

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/berylfall/berylfall/internal/core"
)

// Limits of sampling parameters.
const (
	maxTemperature = 2
	maxPenalty     = 2
	// MaxStopSequences bounds the stop sequences of a request.
	MaxStopSequences = 4
	maxStopBytes     = 256 // of each stop sequence
)

// newSampling validates the sampling parameters and rejects options that are
// not supported.
func newSampling(fields *SamplingFields) (core.Sampling, *core.Error) {
	stop, failure := parseStopSequences(fields.Stop)
	for _, check := range []func(*SamplingFields) *core.Error{checkRanges, checkUnsupported} {
		if failure == nil {
			failure = check(fields)
		}
	}
	if failure != nil {
		return core.Sampling{}, failure
	}
	return core.Sampling{
		Temperature:      fields.Temperature,
		TopP:             fields.TopP,
		Seed:             fields.Seed,
		Stop:             stop,
		FrequencyPenalty: fields.FrequencyPenalty,
		PresencePenalty:  fields.PresencePenalty,
	}, nil
}

func checkRanges(fields *SamplingFields) *core.Error {
	for _, p := range []struct {
		field    string
		value    *float64
		low, top float64
		allowed  string
	}{
		{"temperature", fields.Temperature, 0, maxTemperature, "0 to 2"},
		{"top_p", fields.TopP, math.SmallestNonzeroFloat64, 1, "above 0, up to 1"},
		{"frequency_penalty", fields.FrequencyPenalty, -maxPenalty, maxPenalty, "-2 to 2"},
		{"presence_penalty", fields.PresencePenalty, -maxPenalty, maxPenalty, "-2 to 2"},
	} {
		if p.value != nil && (*p.value < p.low || *p.value > p.top) {
			return core.InvalidError(p.field, strconv.FormatFloat(*p.value, 'g', -1, 64), p.allowed, "is out of range")
		}
	}
	return nil
}

// checkUnsupported rejects options that would add parts to the answer: several
// choices or log probabilities.
func checkUnsupported(fields *SamplingFields) *core.Error {
	if fields.N != nil && *fields.N != 1 {
		return core.InvalidError("n", strconv.Itoa(*fields.N), "1", "is not supported")
	}
	if fields.Logprobs != nil && fields.Logprobs != false {
		return core.InvalidError("logprobs", jsonExcerpt(fields.Logprobs), "false", "is not supported")
	}
	return nil
}

// parseStopSequences accepts a string or a list of strings.
func parseStopSequences(v any) ([]string, *core.Error) {
	var list []any
	switch v := v.(type) {
	case nil:
		return nil, nil
	case string:
		list = []any{v}
	case []any:
		list = v
	default:
		return nil, stopError(v)
	}
	if len(list) > MaxStopSequences {
		return nil, stopError(v)
	}
	stops := make([]string, 0, len(list))
	for _, item := range list {
		text, isText := item.(string)
		if !isText || text == "" || len(text) > maxStopBytes {
			return nil, stopError(v)
		}
		stops = append(stops, text)
	}
	return stops, nil
}

func stopError(v any) *core.Error {
	allowed := fmt.Sprintf("a string or up to %d strings, each of 1 to %d bytes", MaxStopSequences, maxStopBytes)
	return core.InvalidError("stop", jsonExcerpt(v), allowed, "is not valid")
}

// jsonExcerpt returns the value as JSON, truncated to maxNameBytes for use in an
// error.
func jsonExcerpt(v any) string {
	text, _ := json.Marshal(v) // a decoded value always encodes
	if len(text) > maxNameBytes {
		return string(text[:maxNameBytes]) + "..."
	}
	return string(text)
}
