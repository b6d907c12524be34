package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// relayTimeout bounds the wait for the owner's response, in addition to the
	// wait that the query requests. After it this daemon takes the job over.
	relayTimeout = 700 * time.Millisecond
	// ownQueryTimeout bounds the wait for the own jobs duty, in addition to the
	// wait that the query requests.
	ownQueryTimeout = 2500 * time.Millisecond
	// maxRelays bounds the successive owners that one query is relayed to.
	maxRelays = 2
	// maxDelegates bounds the peers that a query is delegated to when this daemon
	// cannot reach the store.
	maxDelegates = 2
)

// Peers sends queries to peers. SendQuery blocks until the peer has responded or
// ctx has ended.
type Peers interface {
	SendQuery(ctx context.Context, address string, q Query) (Reply, error)
	// Addresses returns the addresses of the peers that are known now.
	Addresses() []string
}

// Router answers queries about jobs at any daemon: from the own jobs duty, by
// relaying them to the owner, or by taking the job over from an owner that does
// not respond or cannot write.
type Router struct {
	manager *Manager
	peers   Peers
	log     *logrus.Entry
}

// NewRouter returns a router. Its methods may be called from any goroutine.
func NewRouter(m *Manager, p Peers, log *logrus.Entry) *Router {
	return &Router{manager: m, peers: p, log: log}
}

// HandleQuery answers the query. It blocks, so only request handlers may call it.
// If this daemon cannot reach the store, the query is delegated to a peer.
func (r *Router) HandleQuery(ctx context.Context, q Query) Reply {
	reply := r.answerByOwner(ctx, q)
	needsDelegate := reply.Status == StatusUnavailable || reply.StoreUnreachable
	if q.Delegated || !needsDelegate || ctx.Err() != nil {
		return reply
	}
	q.Delegated = true
	for _, address := range r.randomPeers() {
		peerReply, err := r.relayQuery(ctx, Owner{Address: address}, q)
		if err == nil && peerReply.Status.IsConclusive() {
			r.log.WithFields(logrus.Fields{"job": q.ID, "daemon": address}).Info("delegated query answered by a peer")
			return peerReply
		}
		if q.Kind == QuerySubmit && (err != nil || peerReply.Status == StatusUnknownOutcome) {
			return Reply{Status: StatusUnknownOutcome}
		}
	}
	return reply
}

// answerByOwner answers from the own jobs duty or relays the query to the owner,
// from which it takes the job over if the owner does not respond or cannot write.
func (r *Router) answerByOwner(ctx context.Context, q Query) Reply {
	reply := r.queryOwnDuty(ctx, q)
	for range maxRelays {
		if reply.Status != StatusNotOwner {
			return reply
		}
		owner := reply.Owner
		peerReply, err := r.relayToOwner(ctx, owner, q)
		isConclusive := err == nil && peerReply.Status.IsConclusive()
		if isConclusive && !peerReply.StoreUnreachable {
			return peerReply
		}
		if ctx.Err() != nil {
			// The query ended because its caller left, which says nothing about the owner.
			return Reply{Status: StatusUnavailable}
		}
		r.log.WithError(err).WithFields(logrus.Fields{
			"job": q.ID, "owner": owner.Address, "answer": peerReply.Status.String(), "cut_off": peerReply.StoreUnreachable,
		}).Info("owner of a job does not answer or cannot write")
		reply = r.takeOver(ctx, q, owner, peerReply, err)
		if isConclusive && reply.Status != StatusOK {
			return peerReply
		}
	}
	return reply
}

// randomPeers returns at most maxDelegates peers in random order.
func (r *Router) randomPeers() []string {
	peers := slices.Clone(r.peers.Addresses())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxDelegates)]
}

// takeOver makes this daemon the owner, unless the store names another one, and
// notifies a former owner that responded without access to the store, which then
// stops its runs.
func (r *Router) takeOver(ctx context.Context, q Query, former Owner, peerReply Reply, err error) Reply {
	if err != nil || peerReply.StoreUnreachable {
		q.ReplaceOwner = former
	}
	q.Reload = true
	q.Unpublished = peerReply.Unpublished
	reply := r.queryOwnDuty(ctx, q)
	if reply.Status == StatusOK && peerReply.StoreUnreachable {
		if _, err := r.relayQuery(ctx, former, Query{Kind: QueryRelinquish, ID: q.ID}); err != nil {
			r.log.WithError(err).WithField("job", q.ID).Info("former owner could not be notified of the takeover")
		}
	}
	return reply
}

// HandleRelayed answers a query that a peer has relayed or delegated to this
// daemon.
func (r *Router) HandleRelayed(ctx context.Context, q Query) Reply {
	if err := q.check(); err != nil {
		r.log.WithError(err).WithField("job", q.ID).Warn("query of a peer cannot be handled")
		return Reply{Status: StatusUnavailable}
	}
	if q.Delegated {
		return r.HandleQuery(ctx, q)
	}
	q.Relayed = true
	return r.queryOwnDuty(ctx, q)
}

func (r *Router) queryOwnDuty(ctx context.Context, q Query) Reply {
	ctx, cancel := context.WithTimeout(ctx, ownQueryTimeout+q.MaxWait)
	defer cancel()
	reply, err := r.manager.queries.Do(ctx, q)
	if err != nil {
		r.log.WithError(err).WithField("job", q.ID).Warn("no answer from the jobs duty")
		if q.Kind == QuerySubmit {
			return Reply{Status: StatusUnknownOutcome}
		}
		return Reply{Status: StatusUnavailable}
	}
	return reply
}

// relayToOwner relays the query to the owner. If the connection breaks, it asks once more
// on a new one: a takeover from an owner that lives discards what its items have
// generated. An owner that does not respond is not asked again.
func (r *Router) relayToOwner(ctx context.Context, owner Owner, q Query) (Reply, error) {
	reply, err := r.relayQuery(ctx, owner, q)
	if err == nil || isTimeout(err) || ctx.Err() != nil {
		return reply, err
	}
	q.MaxWait = 0
	return r.relayQuery(ctx, owner, q)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func (r *Router) relayQuery(ctx context.Context, owner Owner, q Query) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+q.MaxWait)
	defer cancel()
	return r.peers.SendQuery(ctx, owner.Address, q)
}
