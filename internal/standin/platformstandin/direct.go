package platformstandin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// directWatchWait is how long a watch of Direct waits, which is the same time as in the
// HTTP client.
const directWatchWait = 10 * time.Second

// Direct is an in-process client in one data centre. It behaves like the HTTP client, but
// has no sockets and no call budget.
type Direct struct {
	platform   *Platform
	dataCentre string
}

var (
	_ objectstore.Store    = (*Direct)(nil)
	_ objectstore.HostList = (*Direct)(nil)
)

// Direct returns an in-process client in the data centre.
func (p *Platform) Direct(dataCentre string) *Direct {
	return &Direct{platform: p, dataCentre: dataCentre}
}

// Get implements objectstore.Store.
func (d *Direct) Get(ctx context.Context, name string) (objectstore.Object, error) {
	o, err := d.platform.get(ctx, d.dataCentre, name)
	return readResult(o, err)
}

// Watch implements objectstore.Store.
func (d *Direct) Watch(ctx context.Context, name string, after uint64) (objectstore.Object, error) {
	o, err := d.platform.watch(ctx, d.dataCentre, name, after, directWatchWait)
	return readResult(o, err)
}

// Put implements objectstore.Store.
func (d *Direct) Put(ctx context.Context, name string, base uint64, value []byte) (objectstore.Object, error) {
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, errors.WithStack(objectstore.ErrTooLarge)
	}
	o, err := d.platform.put(ctx, d.dataCentre, name, base, value)
	if errors.Is(err, objectstore.ErrConflict) {
		return o, errors.WithStack(err)
	}
	if err != nil {
		return objectstore.Object{}, convertWriteError(err)
	}
	return o, nil
}

// Hosts implements objectstore.HostList.
func (d *Direct) Hosts(ctx context.Context) ([]objectstore.Host, error) {
	hosts, err := d.platform.listHosts(ctx, d.dataCentre)
	if err != nil {
		return nil, convertReadError(err)
	}
	return hosts, nil
}

// Register implements objectstore.HostList.
func (d *Direct) Register(ctx context.Context, h objectstore.Host) error {
	return convertWriteError(d.platform.writeHost(ctx, d.dataCentre, h.ID, &h))
}

// Deregister implements objectstore.HostList.
func (d *Direct) Deregister(ctx context.Context, id string) error {
	return convertWriteError(d.platform.writeHost(ctx, d.dataCentre, id, nil))
}

func readResult(o objectstore.Object, err error) (objectstore.Object, error) {
	if err != nil {
		return objectstore.Object{}, convertReadError(err)
	}
	return o, nil
}

// convertReadError converts the error of a read to one of package objectstore.
func convertReadError(err error) error {
	if errors.IsAny(err, errCut, errOutage, errOverRate) {
		return errors.Wrapf(objectstore.ErrUnavailable, "%v", err)
	}
	return err
}

// convertWriteError converts the error of a write to one of package objectstore. The
// connection may have been cut after the write took effect.
func convertWriteError(err error) error {
	if errors.Is(err, errCut) {
		return errors.Wrapf(objectstore.ErrUnknownOutcome, "%v", err)
	}
	return convertReadError(err)
}
