package duty

import (
	"os"
	"os/signal"
)

// Signals is a subscription to operating system signals.
type Signals struct {
	received chan os.Signal
}

// NotifySignals subscribes to the signals until Stop.
func NotifySignals(list ...os.Signal) *Signals {
	s := &Signals{received: make(chan os.Signal, 8)}
	signal.Notify(s.received, list...)
	return s
}

// Wait blocks until the next signal.
func (s *Signals) Wait() os.Signal { return <-s.received }

// Stop ends the subscription.
func (s *Signals) Stop() { signal.Stop(s.received) }
