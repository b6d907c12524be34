package trainer

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Parameters of the prediction of sample lengths.
const (
	promptHistorySize    = 65536 // prompts in the history, about 100 bytes each
	lengthWeight         = 0.3   // weight of the newest length in the mean of its prompt
	defaultLength        = 256   // tokens, until the first sample has ended
	defaultTokenTime     = 20 * time.Millisecond
	stragglerFactor      = 2.5 // multiple of the expected time after which a sample is a straggler
	stragglerFactorAtEnd = 1.5 // the same when the trainer has no other sample to start
	minStragglerTime     = 100 * time.Millisecond
)

// predictor estimates the length of samples from the history of their prompt, or
// from the mean of all samples if the prompt has none.
type predictor struct {
	byPrompt  *lru.Cache[uint64, float64]
	mean      float64
	tokenTime time.Duration
}

func newPredictor() *predictor {
	cache, _ := lru.New[uint64, float64](promptHistorySize) // fails only if the size is below 1
	return &predictor{byPrompt: cache, mean: defaultLength, tokenTime: defaultTokenTime}
}

// predictLength returns the expected number of tokens, at most limit.
func (p *predictor) predictLength(fingerprint uint64, limit int) float64 {
	length, known := p.byPrompt.Get(fingerprint)
	if !known {
		length = p.mean
	}
	return max(1, min(length, float64(limit)))
}

// observeLength records the length and the duration of a sample.
func (p *predictor) observeLength(fingerprint uint64, tokens int, took time.Duration) {
	length := float64(max(tokens, 1))
	old, known := p.byPrompt.Get(fingerprint)
	if !known {
		old = length
	}
	p.byPrompt.Add(fingerprint, old+lengthWeight*(length-old))
	// The means over all samples have a small weight for the newest, because
	// they are updated by every sample.
	const slowWeight = 0.02
	p.mean += slowWeight * (length - p.mean)
	p.tokenTime += time.Duration(slowWeight * float64(time.Duration(float64(took)/length)-p.tokenTime))
}

// stragglerAfter returns the duration after which a sample is a straggler.
func (p *predictor) stragglerAfter(length, factor float64) time.Duration {
	return max(minStragglerTime, time.Duration(length*factor*float64(p.tokenTime)))
}
