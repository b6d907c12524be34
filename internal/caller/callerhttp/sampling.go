package callerhttp

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/berylfall/berylfall/internal/core"
)

// Bounds of sampling parameters.
const (
	maxTemperature = 2
	maxPenalty     = 2
	// MaxStopSequences bounds the texts that end an answer, and maxStopBytes each of them.
	MaxStopSequences = 4
	maxStopBytes     = 256
)

// newSampling checks the parameters that determine the choice of tokens, and
// those that would change the shape of the answer.
func newSampling(o *SamplingFields) (core.Sampling, *core.Error) {
	stop, failure := readStop(o.Stop)
	for _, check := range []func(*SamplingFields) *core.Error{checkRanges, checkShape} {
		if failure == nil {
			failure = check(o)
		}
	}
	if failure != nil {
		return core.Sampling{}, failure
	}
	return core.Sampling{
		Temperature:      o.Temperature,
		TopP:             o.TopP,
		Seed:             o.Seed,
		Stop:             stop,
		FrequencyPenalty: o.FrequencyPenalty,
		PresencePenalty:  o.PresencePenalty,
	}, nil
}

func checkRanges(o *SamplingFields) *core.Error {
	for _, p := range []struct {
		field    string
		value    *float64
		low, top float64
		allowed  string
	}{
		{"temperature", o.Temperature, 0, maxTemperature, "0 to 2"},
		{"top_p", o.TopP, math.SmallestNonzeroFloat64, 1, "above 0, up to 1"},
		{"frequency_penalty", o.FrequencyPenalty, -maxPenalty, maxPenalty, "-2 to 2"},
		{"presence_penalty", o.PresencePenalty, -maxPenalty, maxPenalty, "-2 to 2"},
	} {
		if p.value != nil && (*p.value < p.low || *p.value > p.top) {
			return core.InvalidError(p.field, strconv.FormatFloat(*p.value, 'g', -1, 64), p.allowed, "is out of range")
		}
	}
	return nil
}

// checkShape refuses what would give the answer other parts than it has.
func checkShape(o *SamplingFields) *core.Error {
	if o.N != nil && *o.N != 1 {
		return core.InvalidError("n", strconv.Itoa(*o.N), "1", "is not supported")
	}
	if o.Logprobs != nil && o.Logprobs != false {
		return core.InvalidError("logprobs", textOf(o.Logprobs), "false", "is not supported")
	}
	return nil
}

// readStop reads a text or a list of texts.
func readStop(v any) ([]string, *core.Error) {
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
	allowed := fmt.Sprintf("a text or up to %d texts, each of 1 to %d bytes", MaxStopSequences, maxStopBytes)
	return core.InvalidError("stop", textOf(v), allowed, "is not valid")
}

// textOf returns the value as JSON, cut to a length that fits an error.
func textOf(v any) string {
	text, _ := json.Marshal(v) // a decoded value always encodes
	if len(text) > maxName {
		return string(text[:maxName]) + "..."
	}
	return string(text)
}
