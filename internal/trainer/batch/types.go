// Package batch holds the decisions about trainers' batch jobs: acceptance,
// ownership, the runs of their items, and the list of results that keeps each
// position for ever.
//
// A job and its results are objects of the platform's store that are created
// once and never changed, so that every daemon reads the same. One daemon owns
// an open job and runs its items; any other may take it over, because a list
// of results only grows by creating its next part, which succeeds once.
package batch

import (
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// JobID names a batch job.
type JobID string

// ItemID names an item of a batch job.
type ItemID string

// RewardRequest is the request that scores an item's text.
type RewardRequest struct {
	ID     string `json:"id"`
	Host   string `json:"host"`
	Target string `json:"target"`
	Body   []byte `json:"body"`
}

// Item is one request for tokens of a batch job.
type Item struct {
	ID        ItemID        `json:"id"`
	Target    string        `json:"target"` // path and query
	Headers   []core.Header `json:"headers"`
	Body      []byte        `json:"body"`
	Model     string        `json:"model"`
	MaxTokens int           `json:"maxTokens"` // of the output
	// LengthHint is the caller's guess of the output tokens; 0 is none.
	LengthHint int            `json:"lengthHint,omitempty"`
	Group      string         `json:"group"`
	Reward     *RewardRequest `json:"reward,omitempty"`
}

// Job is a batch job as it was accepted. It does not change.
type Job struct {
	ID           JobID        `json:"id"`
	Host         string       `json:"host"`
	Target       string       `json:"target"` // path that it was submitted to
	Step         int64        `json:"step"`
	Model        string       `json:"model"`
	MinVersion   core.Version `json:"minVersion"` // oldest weights that may make its tokens
	WantedGroups int          `json:"wanted"`     // groups that the trainer waits for
	Items        []Item       `json:"items"`
	AcceptedAt   time.Time    `json:"acceptedAt"`
	AcceptedBy   Owner        `json:"owner"` // that accepted it
	// ItemParts is the number of further objects that hold the items, and PartsOf
	// names them; 0 and "" if the items are in the job's own object.
	ItemParts   int    `json:"parts,omitempty"`
	ItemsDigest string `json:"partsOf,omitempty"`
}

// Owner is the run of a daemon that owns a job. The zero Owner is none.
type Owner struct {
	Address string `json:"address"` // for other daemons
	Run     string `json:"run"`     // differs for each start of the daemon
}

// Ownership tells who owns a job and how much of it is left.
type Ownership struct {
	Job             JobID
	Owner           Owner
	Model           string
	RemainingTokens int64 // output tokens of the items without a result, as guessed
}

// state is the part of a job that changes: who owns it and whether it has ended.
type state struct {
	Owner Owner `json:"owner"`
	Ended bool  `json:"ended"`
	// EndedAt is by the time of day of the daemon that wrote the end.
	EndedAt time.Time `json:"endedAt,omitzero"`
}

// Result is the outcome of one item.
type Result struct {
	Item     ItemID         `json:"item"`
	Done     bool           `json:"done"` // false: given up
	Text     string         `json:"text,omitempty"`
	Versions []core.Version `json:"versions,omitempty"` // that made the text, ascending
	Score    string         `json:"score,omitempty"`
}

// resultPart is one object of a job's list of results.
type resultPart struct {
	From    int      `json:"from"` // position of the first result
	Results []Result `json:"results"`
}

// JobRules are what the configuration says of a job now.
type JobRules struct {
	Service       string
	MaxAttempts   int // failures of an item after which it is given up
	SingleVersion bool
	AbandonAfter  time.Duration // since the submission
}

// RewardRules are what the configuration says of a reward call now.
type RewardRules struct {
	Service     string
	MaxAttempts int // failures after which the item is given up
	Timeout     time.Duration
}

// Routes finds the rules in the configuration in force. ok is false without a route.
type Routes interface {
	JobRules(host, target string) (r JobRules, ok bool)
	RewardRules(host, target string) (r RewardRules, ok bool)
}

// QueryKind is what a query asks for.
type QueryKind int

// Kinds of queries.
const (
	QuerySubmit QueryKind = iota
	QueryResults
	QueryItemBody
	QueryEndJob
	QueryRelinquish // tells the former owner that the asking daemon has taken the job over
)

// Query is a question about one job.
type Query struct {
	Kind QueryKind
	ID   JobID
	Job  *Job // of a submission

	FromPosition int           // first position wanted
	MaxWait      time.Duration // longest wait for a result at that position
	Item         ItemID

	// Relayed queries come from a daemon that takes this one for the owner.
	Relayed bool
	// Delegated queries come from a daemon that the store does not answer.
	Delegated bool
	// Reload asks for the state in the store in place of the one in memory.
	Reload bool
	// ReplaceOwner asks this daemon to become the owner in place of this one, which
	// could not be reached or cannot write. The zero Owner asks for nothing.
	ReplaceOwner Owner
	// Unpublished are results that the former owner could not list.
	Unpublished []Result
}

// Status is how a query was answered.
type Status int

// Statuses of answers.
const (
	StatusUnavailable Status = iota // not known now; nothing was done
	StatusOK
	StatusNotFound
	StatusNotOwner       // another daemon owns the job
	StatusUnknownOutcome // a submission whose outcome is not known
)

// String returns the status as it is logged.
func (s Status) String() string {
	return [...]string{"unavailable", "ok", "not-found", "elsewhere", "uncertain"}[s]
}

// Reply is the answer to a query.
type Reply struct {
	Status  Status
	Owner   Owner // for StatusElsewhere
	Total   int
	Results []Result // from Query.After on
	Body    []byte
	// StoreUnreachable reports that the owner cannot write to the store, and Handover the
	// results that it could not list.
	StoreUnreachable bool
	Unpublished      []Result
}
