package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/stepper"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
)

// fetchTimeout limits the fetch of a table from a peer.
const fetchTimeout = 500 * time.Millisecond

// tableRunner maintains the ownership tables: together with its peers it writes the
// table of this host's data centre, and it follows those of the other data centres.
type tableRunner struct {
	dataCentre string
	store      objectstore.Store
	node       *peer.Node
	directory  *directory
	reconciler *ownership.Reconciler
	step       stepper.Stepper[ownership.Action]
	ctx        context.Context
	// holders returns the peer addresses of hosts from which to fetch a table.
	holders func(dataCentre string) []string
	// onChange is called after a newer table of any data centre was applied.
	onChange func(t ownership.Table)
}

func newTableRunner(ctx context.Context, cfg ownership.ReconcilerConfig, dataCentre string, self ownership.Member, store objectstore.Store, node *peer.Node, d *directory) *tableRunner {
	r := &tableRunner{
		dataCentre: dataCentre, store: store, node: node, directory: d, ctx: ctx,
		reconciler: ownership.NewReconciler(cfg, dataCentre, self),
		holders:    func(string) []string { return nil },
		onChange:   func(ownership.Table) {},
	}
	r.step.Tick, r.step.Perform = r.reconciler.Tick, r.perform
	r.step.Next = func() (time.Time, bool) {
		next := r.reconciler.Next(time.Now())
		return next, !next.IsZero()
	}
	node.Handle(methodOwnershipFetch, r.handleFetch)
	return r
}

// start triggers the first read of the table.
func (r *tableRunner) start() { r.step.Step(r.reconciler.Tick) }

func (r *tableRunner) perform(now time.Time, actions []ownership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ownership.ReadTable:
			go r.read(a.DataCentre)
		case ownership.WriteTable:
			go r.write(a)
		case ownership.AdoptTable:
			r.adopt(now, a.Table)
		case ownership.AddProof:
			r.addProof(a.Epoch, a.SentAt)
		case ownership.FetchTable:
			go r.fetch(a)
		}
	}
}

// adopt applies a new table of this host's data centre.
func (r *tableRunner) adopt(now time.Time, t ownership.Table) {
	klog.InfoS("Ownership table adopted", "dataCentre", t.DataCentre, "epoch", t.Epoch, "members", len(t.Members))
	r.directory.setTable(now, t)
	r.onChange(t)
}

// addProof passes a proof to the holder, which ignores it if its epoch is not that of
// the holder's table.
func (r *tableRunner) addProof(epoch uint64, sentAt time.Time) {
	r.directory.withHolder(func(now time.Time, h *ownership.LeaseHolder) { h.AddProof(now, epoch, sentAt) })
}

// readTable reads a table from the platform. An absent object stands for a table of
// epoch 0.
func (r *tableRunner) readTable(ctx context.Context, dataCentre string) (ownership.Table, error) {
	object, err := r.store.Get(ctx, ownership.ObjectName(dataCentre))
	if errors.Is(err, objectstore.ErrNotFound) {
		return ownership.Table{DataCentre: dataCentre}, nil
	}
	if err != nil {
		return ownership.Table{}, err
	}
	return ownership.Decode(dataCentre, object.Version, object.Value)
}

// watchTable returns this data centre's table once its epoch is above known. If known is
// 0, it returns the table at once.
func (r *tableRunner) watchTable(ctx context.Context, known uint64) (ownership.Table, error) {
	if known == 0 {
		return r.readTable(ctx, r.dataCentre)
	}
	object, err := r.store.Watch(ctx, ownership.ObjectName(r.dataCentre), known)
	if err != nil {
		return ownership.Table{}, err
	}
	return ownership.Decode(r.dataCentre, object.Version, object.Value)
}

// epoch returns the epoch of this data centre's newest known table.
func (r *tableRunner) epoch() uint64 {
	var epoch uint64
	r.step.View(func(time.Time) { epoch = r.reconciler.Table(r.dataCentre).Epoch })
	return epoch
}

func (r *tableRunner) read(dataCentre string) {
	sentAt := time.Now()
	t, err := r.readTable(r.ctx, dataCentre)
	r.step.Step(func(now time.Time) []ownership.Action {
		return r.reconciler.ReadDone(now, sentAt, t, callResult(err))
	})
}

func (r *tableRunner) write(a ownership.WriteTable) {
	sentAt := time.Now()
	var object objectstore.Object
	value, err := ownership.Encode(a.Table)
	if err == nil {
		object, err = r.store.Put(r.ctx, ownership.ObjectName(r.dataCentre), a.Base, value)
	}
	r.step.Step(func(now time.Time) []ownership.Action {
		return r.reconciler.WriteDone(now, sentAt, object.Version, callResult(err))
	})
}

func callResult(err error) ownership.Result {
	switch {
	case err == nil:
		return ownership.Done
	case errors.Is(err, objectstore.ErrConflict):
		return ownership.Conflict
	case errors.IsAny(err, objectstore.ErrUnavailable, objectstore.ErrBudget, objectstore.ErrTooLarge):
		return ownership.Unavailable
	default:
		return ownership.Unknown
	}
}

// fetch obtains a newer table from a peer or, if that fails, from the platform.
func (r *tableRunner) fetch(f ownership.FetchTable) {
	t, ok := r.fetchFromPeers(f)
	if !ok {
		var err error
		if t, err = r.readTable(r.ctx, f.DataCentre); err != nil {
			return
		}
	}
	r.receiveTable(t)
}

func (r *tableRunner) fetchFromPeers(f ownership.FetchTable) (ownership.Table, bool) {
	var have ownership.Table
	r.step.View(func(time.Time) { have = r.reconciler.Table(f.DataCentre) })
	for _, address := range r.holders(f.DataCentre) {
		ctx, cancel := context.WithTimeout(r.ctx, fetchTimeout)
		var m tableMessage
		err := r.node.Call(ctx, address, methodOwnershipFetch, fetchTableRequest{DataCentre: f.DataCentre, Have: have.Epoch}, &m)
		cancel()
		if err != nil {
			continue
		}
		if t, ok := m.table(f.DataCentre, have); ok && t.Epoch >= f.Epoch {
			return t, true
		}
	}
	return ownership.Table{}, false
}

// receiveTable applies a fetched table.
func (r *tableRunner) receiveTable(t ownership.Table) {
	if t.Epoch == 0 {
		return
	}
	r.step.Step(func(now time.Time) []ownership.Action { return r.reconciler.ReceiveTable(now, t) })
	if t.DataCentre != r.dataCentre {
		r.directory.setTable(time.Now(), t)
		r.onChange(t)
	}
}

// observeEpoch records that a peer knows a table of the epoch.
func (r *tableRunner) observeEpoch(dataCentre string, epoch uint64) {
	if dataCentre == r.dataCentre {
		r.directory.withHolder(func(_ time.Time, h *ownership.LeaseHolder) { h.ObserveEpoch(epoch) })
	}
	r.step.Step(func(now time.Time) []ownership.Action { return r.reconciler.ObserveEpoch(now, dataCentre, epoch) })
}

func (r *tableRunner) setPeers(peers []ownership.Peer) {
	r.step.Step(func(now time.Time) []ownership.Action { return r.reconciler.SetPeers(now, peers) })
}

// release gives up this host's rights. It returns when the written table no longer names
// this host, or when ctx ends.
func (r *tableRunner) release(ctx context.Context) {
	r.directory.withHolder(func(_ time.Time, h *ownership.LeaseHolder) { h.Release() })
	r.step.Step(r.reconciler.Release)
	for ctx.Err() == nil {
		released := false
		r.step.View(func(time.Time) { released = r.reconciler.Released() })
		if released {
			return
		}
		sleep(ctx, releasePollInterval)
	}
}

// releasePollInterval is the time between two checks of whether the release is written, or
// of whether the submissions before it are answered.
const releasePollInterval = 20 * time.Millisecond

// tableMessage transfers a newer table to a peer: as the changes since the peer's table,
// or as a whole if not all of these changes are known.
type tableMessage struct {
	Delta *ownership.Delta `json:"delta,omitempty"`
	Table json.RawMessage  `json:"table,omitempty"`
}

// table returns the newer table, given the one that this host has.
func (m tableMessage) table(dataCentre string, have ownership.Table) (ownership.Table, bool) {
	if m.Delta != nil {
		return have.ApplyDelta(*m.Delta)
	}
	t, err := ownership.Decode(dataCentre, 0, m.Table)
	return t, err == nil
}

// handleFetch is the other side of fetchFromPeers.
func (r *tableRunner) handleFetch(_ context.Context, request peer.Request) (any, error) {
	var f fetchTableRequest
	if err := request.Decode(&f); err != nil {
		return nil, err
	}
	var t ownership.Table
	r.step.View(func(time.Time) { t = r.reconciler.Table(f.DataCentre) })
	if d, ok := t.DeltaSince(f.Have); ok {
		return tableMessage{Delta: &d}, nil
	}
	encoded, err := ownership.Encode(t)
	return tableMessage{Table: encoded}, err
}
