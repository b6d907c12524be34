package batch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// relayTimeout bounds the wait for the owner's answer, beside the wait that
	// the query itself asks for. A longer silence makes this daemon the owner.
	relayTimeout = 700 * time.Millisecond
	// askTimeout bounds the wait for the own duty, beside the query's wait.
	askTimeout = 2500 * time.Millisecond
	// maxRelays bounds the owners that one query is relayed to.
	maxRelays = 2
	// maxDelegates bounds the daemons that are asked in place of the store.
	maxDelegates = 2
)

// Peers relays queries to other daemons. Its methods block.
type Peers interface {
	Ask(ctx context.Context, address string, q Query) (Reply, error)
	// Addresses returns the addresses of the other daemons as far as known.
	Addresses() []string
}

// Router answers queries at any daemon: from the own duty, from the owner, or by
// taking the job over from an owner that does not answer.
type Router struct {
	keeper *Manager
	peers  Peers
	log    *logrus.Entry
}

// NewRouter returns a desk.
func NewRouter(k *Manager, p Peers, log *logrus.Entry) *Router {
	return &Router{keeper: k, peers: p, log: log}
}

// Answer answers the query. It blocks; callers are handlers. A daemon without
// the store has another one answer.
func (d *Router) Answer(ctx context.Context, q Query) Reply {
	a := d.answer(ctx, q)
	isCutOff := a.Status == StatusUnavailable || a.StoreUnreachable
	if q.Delegated || !isCutOff {
		return a
	}
	q.Delegated = true
	for _, address := range d.others() {
		answer, err := d.relay(ctx, Owner{Address: address}, q)
		if err == nil && (answer.Status == StatusOK || answer.Status == StatusNotFound) {
			d.log.WithFields(logrus.Fields{"job": q.ID, "daemon": address}).Info("query answered by another daemon")
			return answer
		}
		if q.Kind == QuerySubmit && (err != nil || answer.Status == StatusUnknownOutcome) {
			return Reply{Status: StatusUnknownOutcome}
		}
	}
	return a
}

// answer answers from the own duty or from the owner.
func (d *Router) answer(ctx context.Context, q Query) Reply {
	a := d.own(ctx, q)
	for range maxRelays {
		if a.Status != StatusNotOwner {
			return a
		}
		owner := a.Owner
		answer, err := d.relay(ctx, owner, q)
		isAnswered := err == nil && (answer.Status == StatusOK || answer.Status == StatusNotFound)
		if isAnswered && !answer.StoreUnreachable {
			return answer
		}
		d.log.WithError(err).WithFields(logrus.Fields{
			"job": q.ID, "owner": owner.Address, "answer": answer.Status.String(), "cut_off": answer.StoreUnreachable,
		}).Info("owner of a job does not answer or cannot write")
		a = d.takeOver(ctx, q, owner, answer, err)
		if isAnswered && a.Status != StatusOK {
			return answer
		}
	}
	return a
}

// others returns some other daemons in a random order.
func (d *Router) others() []string {
	list := slices.Clone(d.peers.Addresses())
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxDelegates)]
}

// takeOver makes this daemon the owner, unless the store names a new one, and
// tells the former one, which then stops its runs.
func (d *Router) takeOver(ctx context.Context, q Query, former Owner, answer Reply, err error) Reply {
	if err != nil || answer.StoreUnreachable {
		q.ReplaceOwner = former
	}
	q.Reload = true
	q.Unpublished = answer.Unpublished
	taken := d.own(ctx, q)
	if taken.Status == StatusOK && answer.StoreUnreachable {
		if _, err := d.relay(ctx, former, Query{Kind: QueryRelinquish, ID: q.ID}); err != nil {
			d.log.WithError(err).WithField("job", q.ID).Info("former owner could not be told")
		}
	}
	return taken
}

// HandleRelayed answers a query that another daemon has relayed to this one.
func (d *Router) HandleRelayed(ctx context.Context, q Query) Reply {
	if q.Delegated {
		return d.Answer(ctx, q)
	}
	q.Relayed = true
	return d.own(ctx, q)
}

func (d *Router) own(ctx context.Context, q Query) Reply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout+q.MaxWait)
	defer cancel()
	a, err := d.keeper.queries.Do(ctx, q)
	if err != nil {
		d.log.WithError(err).WithField("job", q.ID).Warn("no answer from the jobs duty")
		if q.Kind == QuerySubmit {
			return Reply{Status: StatusUnknownOutcome}
		}
		return Reply{Status: StatusUnavailable}
	}
	return a
}

func (d *Router) relay(ctx context.Context, owner Owner, q Query) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+q.MaxWait)
	defer cancel()
	return d.peers.Ask(ctx, owner.Address, q)
}
