package trainer

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"strconv"

	"github.com/berylfall/berylfall/internal/platform"
)

// Sizes of ledger objects.
const (
	// maxPromptPartBytes keeps prompt objects well below platform.MaxValueBytes.
	maxPromptPartBytes = 512 << 10
	// maxPromptBytes leaves room in one prompt object for the JSON escapes of a
	// prompt, up to six bytes per byte.
	maxPromptBytes     = 64 << 10
	groupOverheadBytes = 64 // JSON fields of one group
)

// Bitmap is the set of acknowledged groups of a step.
type Bitmap []byte

func newBitmap(size int) Bitmap { return make(Bitmap, (size+7)/8) }

// Contains reports whether group i is in the set.
func (b Bitmap) Contains(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b Bitmap) add(i int) { b[i/8] |= 1 << (i % 8) }

// Count returns the number of groups in the set.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// streamPosition is a position in a trainer's stream of deliveries.
type streamPosition struct {
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence"`
}

func (p streamPosition) isBefore(q streamPosition) bool {
	return p.Epoch < q.Epoch || (p.Epoch == q.Epoch && p.Sequence < q.Sequence)
}

// ledgerStep is an open step in the ledger object.
type ledgerStep struct {
	Step      int64  `json:"step"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	MaxTokens int    `json:"maxTokens"`
	Groups    int    `json:"groups"`
	// Opening distinguishes repeated openings of one step number. It is part of
	// the keys of prompt objects, so that a former owner cannot overwrite those
	// in use.
	Opening string `json:"opening"`
	// Since is the stream position at which the step was opened. Groups that
	// were delivered up to it belong to an earlier opening.
	Since streamPosition `json:"since"`
	Parts int            `json:"parts"`
	Acked Bitmap         `json:"acked"`
}

// ledgerRecord is the value of the ledger object.
type ledgerRecord struct {
	Epoch    int64        `json:"epoch"` // fencing number of the owner that wrote it
	Owner    string       `json:"owner"` // address for redirects
	Cursor   int64        `json:"cursor"`
	LastStep int64        `json:"lastStep"`
	Restart  int64        `json:"restart,omitempty"` // number of the trainer's last restart
	Steps    []ledgerStep `json:"steps"`
}

// promptPart is the value of a prompt object: some groups of a step.
type promptPart struct {
	Groups []GroupSpec `json:"groups"`
}

func (k streamKey) path() string { return string(k.customer) + "/" + k.trainer }

func (k streamKey) ledgerKey() string { return "rollouts/" + k.path() }

func (k streamKey) leaseName() string { return "trainers/" + k.path() }

func (k streamKey) promptPartKey(step int64, opening string, part int) string {
	return fmt.Sprintf("rollouts/%s/step-%d/%s/part-%d", k.path(), step, opening, part)
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func decodeLedger(r platform.Result) (ledgerRecord, error) {
	var record ledgerRecord
	err := json.Unmarshal(r.Object.Value, &record)
	return record, err
}

func (r ledgerRecord) encode() []byte {
	// Encoding a struct of strings, integers and bytes cannot fail.
	value, _ := json.Marshal(r)
	return value
}

// splitPrompts encodes the groups as values of at most maxPromptPartBytes.
func splitPrompts(groups []GroupSpec) [][]byte {
	var parts [][]byte
	var part promptPart
	size := 0
	for _, g := range groups {
		encoded, _ := json.Marshal(g.Prompt)
		cost := len(encoded) + groupOverheadBytes
		if size+cost > maxPromptPartBytes && len(part.Groups) > 0 {
			parts = append(parts, encodePromptPart(part))
			part, size = promptPart{}, 0
		}
		part.Groups = append(part.Groups, g)
		size += cost
	}
	return append(parts, encodePromptPart(part))
}

func encodePromptPart(p promptPart) []byte {
	value, _ := json.Marshal(p)
	return value
}
