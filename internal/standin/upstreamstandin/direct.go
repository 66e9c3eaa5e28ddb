package upstreamstandin

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Direct is an in-process client for the replicas of several data centres. It behaves
// like the HTTP client, but has no sockets and no connection limits.
type Direct struct {
	centres []*DataCentre
}

var _ upstream.Client = (*Direct)(nil)

// NewDirect returns an in-process client for the replicas of the data centres.
func NewDirect(centres ...*DataCentre) *Direct { return &Direct{centres: centres} }

// Do implements upstream.Client. The address is a replica ID, or ends with a slash and a
// replica ID.
func (c *Direct) Do(ctx context.Context, address string, q upstream.Request) (upstream.Reply, error) {
	id := address[strings.LastIndex(address, "/")+1:]
	for _, d := range c.centres {
		if r, ok := d.replicas[id]; ok {
			return d.handleDirect(ctx, r, q)
		}
	}
	return upstream.Reply{}, errors.Wrapf(upstream.ErrConnect, "no replica %q", id)
}

func (d *DataCentre) handleDirect(ctx context.Context, r *replica, q upstream.Request) (upstream.Reply, error) {
	if ctx.Err() != nil || q.Deadline <= 0 || r.isDown() {
		return upstream.Reply{}, errors.Wrap(upstream.ErrConnect, r.cfg.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	o := r.handle(ctx, q, d.outOfServiceSince())
	if o.delivery != replyComplete {
		return upstream.Reply{}, lostReplyError(ctx, r.cfg.ID)
	}
	if o.status != http.StatusOK {
		return o.reply, errors.Wrap(refusalError(o), r.cfg.ID)
	}
	if o.reply.Attempt != q.Attempt {
		o.reply.Records = nil
		return o.reply, errors.Wrap(upstream.ErrMismatch, r.cfg.ID)
	}
	return o.reply, nil
}

func (r *replica) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

func lostReplyError(ctx context.Context, id string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.Wrap(upstream.ErrTimeout, id)
	}
	return errors.Wrap(upstream.ErrReplyLost, id)
}

func refusalError(o outcome) error {
	switch {
	case o.status == http.StatusGatewayTimeout:
		return upstream.ErrTimeout
	case o.code == "draining":
		return upstream.ErrDraining
	case o.code == "snapshot_gone":
		return upstream.ErrSnapshotGone
	case o.code == "moved":
		return upstream.ErrMoved
	default:
		return upstream.ErrShed
	}
}
