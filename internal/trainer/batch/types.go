// Package batch runs the batch jobs that trainers submit. It decides whether a
// job is accepted, which daemon owns it, when its items run or are abandoned,
// and in which order their results are published.
//
// The jobs duty (Manager) owns the state of the jobs that this daemon knows,
// and the sweep duty (Sweeper) the removal of ended jobs. Router runs on the
// goroutines of request handlers and keeps no state.
//
// Guarantees: a job is accepted once its object has been created in the store.
// Each item has exactly one result, and a published result keeps its position
// and content on every daemon. Job and result objects are created once and
// never changed. One daemon owns an open job and runs its items; any other
// daemon may take the job over, because the result list only grows by creating
// its next part, and that conditional write succeeds for one daemon only.
package batch

import (
	"strconv"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// JobID identifies a batch job. The trainer chooses it.
type JobID string

// ItemID identifies an item within its batch job.
type ItemID string

// RewardRequest is the call that scores the generated text of an item.
type RewardRequest struct {
	ID     string `json:"id"`
	Host   string `json:"host"`
	Target string `json:"target"`
	Body   []byte `json:"body"`
}

// Item is one model request of a batch job.
type Item struct {
	ID        ItemID        `json:"id"`
	Target    string        `json:"target"` // path and query
	Headers   []core.Header `json:"headers"`
	Body      []byte        `json:"body"`
	Model     string        `json:"model"`
	MaxTokens int           `json:"maxTokens"` // output tokens
	// LengthHint is the trainer's estimate of the output tokens; 0 if it gave none.
	LengthHint int            `json:"lengthHint,omitempty"`
	Group      string         `json:"group"`
	Reward     *RewardRequest `json:"reward,omitempty"`
}

// Job is an accepted batch job. It is immutable.
type Job struct {
	ID JobID `json:"id"`
	// Customer may read and end the job, and its items run for it; every customer may if
	// it is "".
	Customer     core.CustomerID `json:"customer,omitempty"`
	Host         string          `json:"host"`
	Target       string          `json:"target"` // path of the submission
	Step         int64           `json:"step"`
	Model        string          `json:"model"`
	MinVersion   core.Version    `json:"minVersion"` // oldest weight version that may generate its tokens
	WantedGroups int             `json:"wanted"`     // complete groups that the trainer waits for
	Items        []Item          `json:"items"`
	AcceptedAt   time.Time       `json:"acceptedAt"`
	AcceptedBy   Owner           `json:"owner"` // daemon that accepted it
	// ItemParts is the number of additional objects that hold the items, and
	// ItemsDigest is part of their keys; 0 and "" if the items are in the job's
	// own object.
	ItemParts   int    `json:"parts,omitempty"`
	ItemsDigest string `json:"partsOf,omitempty"`
}

// Owner identifies the daemon that owns a job. The zero Owner means that no
// daemon owns it.
type Owner struct {
	Address string `json:"address"` // for peer requests
	Run     string `json:"run"`     // unique to each start of the daemon
}

// Ownership reports which daemon owns a job and how much work remains.
type Ownership struct {
	Job             JobID
	Owner           Owner
	Model           string
	Customer        core.CustomerID // of the job
	RemainingTokens int64           // estimated output tokens of the items without a result
}

// state is the mutable part of a job, stored as an object of its own.
type state struct {
	Owner Owner `json:"owner"`
	Ended bool  `json:"ended"`
	// EndedAt is the wall-clock time of the daemon that ended the job.
	EndedAt time.Time `json:"endedAt,omitzero"`
}

// Result is the outcome of one item.
type Result struct {
	Item     ItemID         `json:"item"`
	Done     bool           `json:"done"` // false if the item was abandoned
	Text     string         `json:"text,omitempty"`
	Versions []core.Version `json:"versions,omitempty"` // that generated the text, ascending
	Score    string         `json:"score,omitempty"`
}

// resultPart is one object of a job's result list.
type resultPart struct {
	From    int      `json:"from"` // list position of the first result
	Results []Result `json:"results"`
}

// JobRules are the settings of a job's route in the configuration in force.
type JobRules struct {
	Service       string
	Rank          core.Rank // of the items
	MaxAttempts   int       // failures after which an item is abandoned
	SingleVersion bool
	AbandonAfter  time.Duration // counted from the acceptance
}

// RewardRules are the settings of a reward route in the configuration in force.
type RewardRules struct {
	Service     string
	MaxAttempts int // failures of the reward call after which its item is abandoned
	Timeout     time.Duration
}

// Routes looks up rules in the configuration in force. ok is false if no route
// matches.
type Routes interface {
	JobRules(host, target string, customer core.CustomerID) (r JobRules, ok bool)
	RewardRules(host, target string) (r RewardRules, ok bool)
}

// QueryKind is the operation that a query requests. Its number is part of the
// messages between daemons.
type QueryKind int

// Kinds of queries.
const (
	QuerySubmit QueryKind = iota
	QueryResults
	QueryItemBody
	QueryEndJob
	QueryRelinquish // notifies the former owner that another daemon has taken the job over
)

// Query is a request about one job, from a handler of this daemon or a peer.
type Query struct {
	Kind QueryKind
	ID   JobID
	Job  *Job // for QuerySubmit
	// Customer is the one who asks; "" if the daemon that has the request knows no
	// customers, and for QueryRelinquish, which concerns daemons only.
	Customer core.CustomerID

	FromPosition int           // first list position to return
	MaxWait      time.Duration // how long to wait for a result at that position
	Item         ItemID

	// Relayed is set on queries from a peer that considers this daemon the owner.
	Relayed bool
	// Delegated is set on queries from a peer that cannot reach the store.
	Delegated bool
	// Reload requests that the state is read from the store again.
	Reload bool
	// ReplaceOwner is an owner that could not be reached or cannot write to the
	// store. This daemon takes the job over from it. The zero Owner requests
	// no takeover.
	ReplaceOwner Owner
	// Unpublished are results that the former owner could not publish.
	Unpublished []Result
}

// maxQueryWait is the longest wait for a result that a peer may request.
const maxQueryWait = 30 * time.Second

// check returns an error for a query that the jobs duty cannot handle. A peer of
// another build may send one.
func (q *Query) check() error {
	isKnown := q.Kind >= QuerySubmit && q.Kind <= QueryRelinquish
	switch {
	case !isKnown:
		return core.InvalidError("kind", strconv.Itoa(int(q.Kind)), "a kind of query", "is not known")
	case q.Kind == QuerySubmit && q.Job == nil:
		return core.InvalidError("job", "", "the job", "is missing in a submission")
	case q.FromPosition < 0:
		return core.InvalidError("position", strconv.Itoa(q.FromPosition), "0 or more", "is out of range")
	case q.MaxWait < 0 || q.MaxWait > maxQueryWait:
		return core.InvalidError("wait", q.MaxWait.String(), "0 to "+maxQueryWait.String(), "is out of range")
	}
	return nil
}

// Status is the outcome of a query. Its number is part of the messages between
// daemons.
type Status int

// Outcomes of queries.
const (
	StatusUnavailable Status = iota // cannot be answered now; nothing was changed
	StatusOK
	StatusNotFound
	StatusNotOwner       // another daemon owns the job
	StatusUnknownOutcome // the submission may or may not have been stored
	StatusConflict       // the id is that of another customer's job; the submission can never be stored
)

// IsConclusive reports whether no other daemon could answer otherwise.
func (s Status) IsConclusive() bool {
	return s == StatusOK || s == StatusNotFound || s == StatusConflict
}

// String returns the name of the status in logs.
func (s Status) String() string {
	return [...]string{"unavailable", "ok", "not-found", "elsewhere", "uncertain", "conflict"}[s]
}

// Reply is the outcome of a query, from the own jobs duty or from a peer.
type Reply struct {
	Status  Status
	Owner   Owner    // set with StatusNotOwner
	Total   int      // items of the job
	Results []Result // from Query.FromPosition on
	Body    []byte
	// StoreUnreachable reports that the owner cannot write to the store, and
	// Unpublished holds the results that it could not publish.
	StoreUnreachable bool
	Unpublished      []Result
}
