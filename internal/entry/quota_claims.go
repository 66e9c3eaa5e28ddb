package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/quota"
)

const (
	// claimTimeout is the timeout of a claim. A later answer is of little use.
	claimTimeout = 200 * time.Millisecond
	// relayedTimeout is the timeout of a claim that is passed on for a lender. It is shorter than
	// claimTimeout, so that the replies get back to the lender although one host doesn't answer.
	relayedTimeout = 100 * time.Millisecond
	// From minRelayed claims on, those to the hosts of a data centre go through one of them, which
	// gets at most maxRelayed in one call.
	minRelayed = 4
	maxRelayed = 24
)

// send sends claims and handles the replies. Those that renew grants of hosts of one data centre go
// to one of these hosts, which passes them on: a lender claims the shares of all hosts several times
// a second.
func (q *quotas) send(ctx context.Context, messages []quota.Message) {
	groups := map[string][]quota.Message{}
	q.mu.Lock()
	for _, m := range messages {
		if dataCentre := q.dataCentres[m.To]; m.Renewal && dataCentre != "" {
			groups[dataCentre] = append(groups[dataCentre], m)
		} else {
			go q.claim(ctx, m)
		}
	}
	q.mu.Unlock()
	for _, group := range groups {
		for chunk := range slices.Chunk(group, maxRelayed) {
			q.sendGroup(ctx, chunk)
		}
	}
}

// sendGroup sends messages to hosts of one data centre. They all carry the same claim: a lender makes
// one for all hosts each time.
func (q *quotas) sendGroup(ctx context.Context, group []quota.Message) {
	if len(group) >= minRelayed {
		go q.relay(ctx, group)
		return
	}
	for _, m := range group {
		go q.claim(ctx, m)
	}
}

// claim sends a claim.
func (q *quotas) claim(ctx context.Context, m quota.Message) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply claimReply
	if err := q.node.Call(ctx, m.To, methodClaim, newClaimRequest(m.Claim), &reply); err != nil {
		klog.V(1).InfoS("Failed to claim a share of the quotas", "host", m.To, "err", err)
		return
	}
	q.handleReply(ctx, m, reply)
}

// relay sends claims through one of the hosts. It is chosen at random, so that one that has failed
// doesn't keep the claims from the others of its data centre for long.
func (q *quotas) relay(ctx context.Context, group []quota.Message) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	via := group[rand.IntN(len(group))].To
	request := relayRequest{Claim: newClaimRequest(group[0].Claim)}
	for _, m := range group {
		request.To = append(request.To, m.To)
	}
	var reply relayReply
	if err := q.node.Call(ctx, via, methodRelay, request, &reply); err != nil {
		klog.V(1).InfoS("Failed to claim shares of the quotas", "via", via, "hosts", len(group), "err", err)
		return
	}
	for i, m := range group {
		if i < len(reply.Replies) && reply.Replies[i] != nil {
			q.handleReply(ctx, m, *reply.Replies[i])
		}
	}
}

// handleReply passes the reply to a claim to the lender and sends what follows from it. The timeout of
// the claim doesn't apply to that.
func (q *quotas) handleReply(ctx context.Context, m quota.Message, reply claimReply) {
	q.mu.Lock()
	next := q.lender.HandleReply(bootTime(), m, reply.reply())
	q.mu.Unlock()
	q.send(context.WithoutCancel(ctx), next)
}

// handleClaim answers the claim of another host.
func (q *quotas) handleClaim(_ context.Context, r peer.Request) (any, error) {
	var request claimRequest
	if err := r.Decode(&request); err != nil {
		return nil, err
	}
	return q.answerClaim(request), nil
}

// answerClaim answers a claim and sends what follows from it.
func (q *quotas) answerClaim(request claimRequest) claimReply {
	claim := request.claim()
	q.mu.Lock()
	if q.stopped && claim.Next == q.self {
		claim.Next = "" // a host that stops must not begin to lend
	}
	reply, messages := q.lender.HandleClaim(bootTime(), claim)
	q.mu.Unlock()
	q.send(context.Background(), messages)
	return newClaimReply(reply)
}

// handleRelay passes a claim on to hosts of this data centre and returns their replies.
func (q *quotas) handleRelay(ctx context.Context, r peer.Request) (any, error) {
	var request relayRequest
	if err := r.Decode(&request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout)
	defer cancel()
	replies := make([]*claimReply, len(request.To))
	var group sync.WaitGroup
	for i, to := range request.To[:min(len(request.To), maxRelayed)] {
		if to == q.self {
			reply := q.answerClaim(request.Claim)
			replies[i] = &reply
			continue
		}
		group.Go(func() {
			var reply claimReply
			if err := q.node.Call(ctx, to, methodClaim, request.Claim, &reply); err == nil {
				replies[i] = &reply
			}
		})
	}
	group.Wait()
	return relayReply{Replies: replies}, nil
}
