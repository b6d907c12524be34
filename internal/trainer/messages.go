package trainer

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// GroupSpec is one prompt and the number of its samples.
type GroupSpec struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// GroupRef identifies a group of a trainer. By this key the trainer recognises a
// group that it already has.
type GroupRef struct {
	Step  int64 `json:"step"`
	Group int   `json:"group"`
}

// HeldGroup identifies a group that the trainer has stored durably, with the
// epoch and sequence number of its delivery.
type HeldGroup struct {
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence"`
	GroupRef
}

// StepSpec describes a step to open. Steps are opened in ascending order. Opening
// a step again has no effect, unless the trainer has restarted.
type StepSpec struct {
	Customer  core.CustomerID `json:"customer"`
	Step      int64           `json:"step"`
	Model     string          `json:"model"`
	Adapter   string          `json:"adapter,omitempty"`
	MaxTokens int             `json:"maxTokens"`
	Groups    []GroupSpec     `json:"groups"`
	// Restart is the number of the trainer's last restart from an older
	// checkpoint, 0 before the first. The first request with a higher number
	// discards every open step and opens this one, whatever its step number. The
	// groups that the checkpoint already has are listed in HeldGroups. A request
	// with a lower number is outdated and is refused.
	Restart    int64 `json:"restart,omitempty"`
	HeldGroups []int `json:"held,omitempty"`
}

// FreshnessReport is the freshness of a group at the time of its delivery.
type FreshnessReport struct {
	Oldest         core.Version `json:"oldest"`
	Newest         core.Version `json:"newest"`
	Latest         core.Version `json:"latest"` // newest known version; 0 if none is known
	VersionsBehind int64        `json:"versionsBehind"`
	AgeMs          int64        `json:"ageMs"` // since the start of the oldest sample
}

// Delivery is one group with its position in the trainer's stream.
type Delivery struct {
	Epoch     int64           `json:"epoch"`
	Sequence  int64           `json:"sequence"` // ascending within the epoch and from one epoch to the next
	Step      int64           `json:"step"`
	Group     core.Group      `json:"group"`
	Freshness FreshnessReport `json:"facts"`
}

// Acknowledgement lists groups that the trainer has stored durably.
type Acknowledgement struct {
	Customer core.CustomerID `json:"customer"`
	Groups   []HeldGroup     `json:"groups"`
}

// OpenRequest requests that a step is opened.
type OpenRequest struct {
	Trainer string
	Spec    StepSpec
}

// maxSequence is the largest sequence number that a JSON number represents exactly.
const maxSequence = 1 << 53

// FetchRequest requests the deliveries after a sequence number.
type FetchRequest struct {
	Trainer  string          `json:"-"`
	Customer core.CustomerID `json:"-"`
	After    int64           `json:"after"`
	Epoch    int64           `json:"epoch"` // of After; 0 before the first delivery
	// HeldGroups lists the groups that the trainer has stored and whose
	// acknowledgement has not been confirmed.
	HeldGroups []HeldGroup `json:"held,omitempty"`
}

// AckRequest acknowledges the groups that the trainer has stored.
type AckRequest struct {
	Trainer string
	Ack     Acknowledgement
}

// Query is one request of a trainer: exactly one field is set.
type Query struct {
	Open  *OpenRequest
	Fetch *FetchRequest
	Ack   *AckRequest
}

func (q Query) key() streamKey {
	switch {
	case q.Open != nil:
		return streamKey{q.Open.Spec.Customer, q.Open.Trainer}
	case q.Fetch != nil:
		return streamKey{q.Fetch.Customer, q.Fetch.Trainer}
	default:
		return streamKey{q.Ack.Ack.Customer, q.Ack.Trainer}
	}
}

// Reply answers a Query.
type Reply struct {
	Epoch      int64
	Deliveries []Delivery
	Redirect   string // address of the owner if it is another daemon
	Err        *core.Error
}

func unavailable(format string, args ...any) Reply {
	err := core.NotRunError(core.CodeUnavailable, format, args...)
	err.RetryAfter = time.Second
	return Reply{Err: err}
}

// Limits of a step.
const (
	maxGroups          = 65536
	maxSamplesPerGroup = 1024
	maxSamplesPerStep  = 65536
)

// check returns an error for a step that can never run.
func (s *StepSpec) check() *core.Error {
	switch {
	case s.Step < 1:
		return core.InvalidError("step", formatInt(s.Step), "1 or more", "is not a step number")
	case s.Model == "":
		return core.InvalidError("model", "", "a model of the contract", "is missing")
	case s.MaxTokens < 1:
		return core.InvalidError("maxTokens", formatInt(int64(s.MaxTokens)), "1 or more", "leaves no room for an answer")
	case len(s.Groups) == 0 || len(s.Groups) > maxGroups:
		return core.InvalidError("groups", formatInt(int64(len(s.Groups))), "1 to 65536 groups", "cannot be run as one step")
	}
	samples := 0
	for _, g := range s.Groups {
		if g.Samples < 1 || g.Samples > maxSamplesPerGroup {
			return core.InvalidError("samples", formatInt(int64(g.Samples)), "1 to 1024", "cannot be run as one group")
		}
		if len(g.Prompt) > maxPromptBytes {
			return core.InvalidError("prompt", formatInt(int64(len(g.Prompt)))+" bytes", "at most 65536 bytes", "is too long")
		}
		samples += g.Samples
	}
	if samples > maxSamplesPerStep {
		return core.InvalidError("groups", formatInt(int64(samples))+" samples", "at most 65536 samples", "cannot be run as one step")
	}
	return nil
}
