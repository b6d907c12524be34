package trainer

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// GroupSpec is one prompt and the number of samples wanted of it.
type GroupSpec struct {
	Prompt  string `json:"prompt"`
	Samples int    `json:"samples"`
}

// GroupRef names a group of a trainer. It is the key by which the trainer
// recognises a group that it holds already.
type GroupRef struct {
	Step  int64 `json:"step"`
	Group int   `json:"group"`
}

// HeldGroup names a group that the trainer keeps durably, with the epoch and the
// sequence under which it was delivered.
type HeldGroup struct {
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence"`
	GroupRef
}

// StepSpec opens a step. Steps are opened in rising order; opening a step again
// has no effect, unless the trainer has restarted.
type StepSpec struct {
	Customer  core.CustomerID `json:"customer"`
	Step      int64           `json:"step"`
	Model     string          `json:"model"`
	Adapter   string          `json:"adapter,omitempty"`
	MaxTokens int             `json:"maxTokens"`
	Groups    []GroupSpec     `json:"groups"`
	// Restart is the number of the trainer's last restart from an older
	// checkpoint, 0 before the first. The first request with a higher number
	// than before discards every open step and opens this one, whatever its
	// step number, with the groups that the checkpoint holds of it. A request
	// with a lower number is a late copy and is refused.
	Restart    int64 `json:"restart,omitempty"`
	HeldGroups []int `json:"held,omitempty"`
}

// FreshnessReport are what the check of freshness and labels found at the hand-over.
type FreshnessReport struct {
	Oldest         core.Version `json:"oldest"`
	Newest         core.Version `json:"newest"`
	Latest         core.Version `json:"latest"` // newest version known; 0 when none is
	VersionsBehind int64        `json:"versionsBehind"`
	AgeMs          int64        `json:"ageMs"` // of the oldest sample, from its start
}

// Delivery is one group with its place in the trainer's stream.
type Delivery struct {
	Epoch     int64           `json:"epoch"`
	Sequence  int64           `json:"sequence"` // grows within the epoch, and from one epoch to the next
	Step      int64           `json:"step"`
	Group     core.Group      `json:"group"`
	Freshness FreshnessReport `json:"facts"`
}

// Acknowledgement names deliveries that the trainer keeps durably.
type Acknowledgement struct {
	Customer core.CustomerID `json:"customer"`
	Groups   []HeldGroup     `json:"groups"`
}

// OpenRequest asks the duty to open a step.
type OpenRequest struct {
	Trainer string
	Spec    StepSpec
}

// maxSequence bounds cursors to what JSON numbers carry exactly.
const maxSequence = 1 << 53

// FetchRequest asks the duty for deliveries after a sequence.
type FetchRequest struct {
	Trainer  string          `json:"-"`
	Customer core.CustomerID `json:"-"`
	After    int64           `json:"after"`
	Epoch    int64           `json:"epoch"` // in which After was handed out; 0 before the first delivery
	// HeldGroups lists the groups that the trainer keeps and has no answer to an
	// acknowledgement for.
	HeldGroups []HeldGroup `json:"held,omitempty"`
}

// AckRequest tells the duty what the trainer holds.
type AckRequest struct {
	Trainer string
	Ack     Acknowledgement
}

// Query is one of Open, Fetch and Ack.
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
	Redirect   string // address of the owner, when it is another daemon
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

// check refuses a step that could never be run.
func (s *StepSpec) check() *core.Error {
	switch {
	case s.Step < 1:
		return core.InvalidError("step", itoa(s.Step), "1 or more", "is not a step number")
	case s.Model == "":
		return core.InvalidError("model", "", "a model of the contract", "is missing")
	case s.MaxTokens < 1:
		return core.InvalidError("maxTokens", itoa(int64(s.MaxTokens)), "1 or more", "leaves no room for an answer")
	case len(s.Groups) == 0 || len(s.Groups) > maxGroups:
		return core.InvalidError("groups", itoa(int64(len(s.Groups))), "1 to 65536 groups", "cannot be run as one step")
	}
	samples := 0
	for _, g := range s.Groups {
		if g.Samples < 1 || g.Samples > maxSamplesPerGroup {
			return core.InvalidError("samples", itoa(int64(g.Samples)), "1 to 1024", "cannot be run as one group")
		}
		if len(g.Prompt) > maxPromptBytes {
			return core.InvalidError("prompt", itoa(int64(len(g.Prompt)))+" bytes", "at most 65536 bytes", "is too long")
		}
		samples += g.Samples
	}
	if samples > maxSamplesPerStep {
		return core.InvalidError("groups", itoa(int64(samples))+" samples", "at most 65536 samples", "cannot be run as one step")
	}
	return nil
}
