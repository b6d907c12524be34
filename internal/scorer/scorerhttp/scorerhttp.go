// Package scorerhttp is the HTTP client for scoring services. It decides nothing
// about batches or retries (see package scorer), owns no state but its
// connections, and returns scores without checking that they match the batch.
package scorerhttp

import (
	"context"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/scorer"
	"github.com/berylfall/berylfall/internal/transport"
)

// PathScore is the path of a scoring service.
const PathScore = "/v1/score"

// BatchMessage is the body of POST /v1/score.
type BatchMessage struct {
	BatchID string          `json:"batch_id"`
	Samples []SampleMessage `json:"samples"`
}

// SampleMessage is one sample to score.
type SampleMessage struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// ScoresMessage is the answer to POST /v1/score.
type ScoresMessage struct {
	Scores []ScoreMessage `json:"scores"`
}

// ScoreMessage is the score of one sample.
type ScoreMessage struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// Client implements scorer.Client over HTTP.
type Client struct {
	pool *transport.Pool
}

var _ scorer.Client = (*Client)(nil)

// NewClient returns a client for scoring services.
func NewClient() *Client { return &Client{pool: transport.NewPool(transport.DefaultReadTimeout)} }

// Score posts the batch to the scoring service at the base URL. The request
// times out at the deadline of ctx.
func (c *Client) Score(ctx context.Context, url string, b scorer.Batch) ([]scorer.Score, error) {
	message := BatchMessage{BatchID: b.ID, Samples: make([]SampleMessage, 0, len(b.Samples))}
	for _, sample := range b.Samples {
		message.Samples = append(message.Samples, SampleMessage{ID: string(sample.ID), Prompt: sample.Prompt, Text: sample.Text})
	}
	exchange := transport.Exchange{Method: consts.MethodPost, URL: url + PathScore, Body: message}
	var answer ScoresMessage
	if _, err := c.pool.DoJSON(ctx, exchange, &answer); err != nil {
		return nil, err
	}
	scores := make([]scorer.Score, 0, len(answer.Scores))
	for _, s := range answer.Scores {
		scores = append(scores, scorer.Score{ID: scorer.SampleID(s.ID), Value: s.Score})
	}
	return scores, nil
}
