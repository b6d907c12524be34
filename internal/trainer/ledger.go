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
	// maxPartBytes keeps part objects well below platform.MaxValueBytes.
	maxPartBytes = 512 << 10
	// maxPromptBytes leaves room for the JSON escapes of a prompt (up to six
	// bytes per byte) within one part.
	maxPromptBytes = 64 << 10
	partOverhead   = 64 // bytes around one group
)

// Bitmap is the set of acknowledged groups of a step.
type Bitmap []byte

func newBitmap(size int) Bitmap { return make(Bitmap, (size+7)/8) }

// Contains reports whether i is in the set.
func (b Bitmap) Contains(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b Bitmap) add(i int) { b[i/8] |= 1 << (i % 8) }

// Count returns the size of the set.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

// place is a place in a trainer's stream.
type place struct {
	Epoch    int64 `json:"epoch"`
	Sequence int64 `json:"sequence"`
}

func (p place) isBefore(q place) bool {
	return p.Epoch < q.Epoch || (p.Epoch == q.Epoch && p.Sequence < q.Sequence)
}

// ledgerStep is an open step in the ledger object.
type ledgerStep struct {
	Step      int64  `json:"step"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	MaxTokens int    `json:"maxTokens"`
	Groups    int    `json:"groups"`
	// Opening tells apart two openings of one step number. Part objects are
	// named by it, so that a former owner cannot replace those in use.
	Opening string `json:"opening"`
	// Since is the place in the stream at which the step was opened. What the
	// trainer held before that is not of this opening.
	Since place  `json:"since"`
	Parts int    `json:"parts"`
	Acked Bitmap `json:"acked"`
}

// ledgerRecord is the value of the ledger object.
type ledgerRecord struct {
	Epoch    int64        `json:"epoch"` // fencing number of the owner that wrote it
	Owner    string       `json:"owner"` // address for redirects
	Cursor   int64        `json:"cursor"`
	LastStep int64        `json:"lastStep"`
	Restart  int64        `json:"restart,omitempty"` // number of the last restart
	Steps    []ledgerStep `json:"steps"`
}

// partRecord is the value of a part object.
type partRecord struct {
	Groups []GroupSpec `json:"groups"`
}

func (k streamKey) path() string { return string(k.customer) + "/" + k.trainer }

func (k streamKey) ledgerKey() string { return "rollouts/" + k.path() }

func (k streamKey) leaseName() string { return "trainers/" + k.path() }

func (k streamKey) partKey(step int64, opening string, part int) string {
	return fmt.Sprintf("rollouts/%s/step-%d/%s/part-%d", k.path(), step, opening, part)
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func decodeLedger(r platform.Result) (ledgerRecord, error) {
	var record ledgerRecord
	err := json.Unmarshal(r.Object.Value, &record)
	return record, err
}

func (r ledgerRecord) encode() []byte {
	// A struct of strings, integers and bytes always encodes.
	value, _ := json.Marshal(r)
	return value
}

// splitParts encodes the groups into values of at most maxPartBytes.
func splitParts(groups []GroupSpec) [][]byte {
	var parts [][]byte
	var part partRecord
	size := 0
	for _, g := range groups {
		encoded, _ := json.Marshal(g.Prompt)
		cost := len(encoded) + partOverhead
		if size+cost > maxPartBytes && len(part.Groups) > 0 {
			parts = append(parts, encodePart(part))
			part, size = partRecord{}, 0
		}
		part.Groups = append(part.Groups, g)
		size += cost
	}
	return append(parts, encodePart(part))
}

func encodePart(p partRecord) []byte {
	value, _ := json.Marshal(p)
	return value
}
