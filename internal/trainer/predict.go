package trainer

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Constants of the prediction of lengths.
const (
	historySize    = 65536 // prompts remembered, about 100 bytes each
	lengthWeight   = 0.3   // of the newest length in the mean
	defaultLength  = 256   // tokens, before any sample has ended
	defaultPerTok  = 20 * time.Millisecond
	overdueFactor  = 2.5 // a sample this far beyond its expected time is a straggler
	overdueAtEnd   = 1.5 // the same when the trainer has nothing left to start
	overdueMinimum = 100 * time.Millisecond
)

// predictor estimates the length of samples: from the history of their prompt,
// else from the mean of all samples.
type predictor struct {
	byPrompt *lru.Cache[uint64, float64]
	mean     float64
	perToken time.Duration
}

func newPredictor() *predictor {
	cache, _ := lru.New[uint64, float64](historySize) // fails only for a size below 1
	return &predictor{byPrompt: cache, mean: defaultLength, perToken: defaultPerTok}
}

// predict returns the expected number of tokens, at most limit.
func (p *predictor) predict(fingerprint uint64, limit int) float64 {
	length, known := p.byPrompt.Get(fingerprint)
	if !known {
		length = p.mean
	}
	return max(1, min(length, float64(limit)))
}

// learn takes the length of a sample and the time it took.
func (p *predictor) learn(fingerprint uint64, tokens int, took time.Duration) {
	length := float64(max(tokens, 1))
	old, known := p.byPrompt.Get(fingerprint)
	if !known {
		old = length
	}
	p.byPrompt.Add(fingerprint, old+lengthWeight*(length-old))
	// The means over all samples move slowly, because they see many samples.
	const slowWeight = 0.02
	p.mean += slowWeight * (length - p.mean)
	p.perToken += time.Duration(slowWeight * float64(time.Duration(float64(took)/length)-p.perToken))
}

// overdueAfter returns after what time a sample counts as a straggler.
func (p *predictor) overdueAfter(length, factor float64) time.Duration {
	return max(overdueMinimum, time.Duration(length*factor*float64(p.perToken)))
}
