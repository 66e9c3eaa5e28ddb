package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/jsonlist"
	"github.com/marigoldlever/marigoldlever/objectstore"
)

const (
	objectsPath = "/v1/objects/"
	hostsPath   = "/v1/hosts"
)

// Get implements objectstore.Store.
func (c *Client) Get(ctx context.Context, name string) (objectstore.Object, error) {
	k := call{method: http.MethodGet, path: objectPath(name), timeout: c.cfg.CallTimeout, maxReply: objectstore.MaxValueBytes}
	r, err := c.do(ctx, k)
	if err != nil {
		return objectstore.Object{}, err
	}
	return readObject(k, name, r)
}

// Watch implements objectstore.Store. It returns objectstore.ErrTimeout only if the platform
// answers so, which proves that the version was still current after the call was sent.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (objectstore.Object, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait_ms", strconv.FormatInt(c.watchWait(ctx).Milliseconds(), 10))
	k := call{
		method: http.MethodGet, path: objectPath(name), query: query,
		timeout: c.cfg.WatchWait + c.cfg.CallTimeout, maxReply: objectstore.MaxValueBytes,
	}
	r, err := c.do(ctx, k)
	if err != nil {
		return objectstore.Object{}, err
	}
	if r.status == http.StatusNotModified {
		return objectstore.Object{}, failure(objectstore.ErrTimeout, k, "no change")
	}
	o, err := readObject(k, name, r)
	if err == nil && o.Version <= after {
		return objectstore.Object{}, failure(objectstore.ErrUnavailable, k, "watch returned a version that is not newer")
	}
	return o, err
}

// watchWait returns the time for which the platform may hold a watch. It ends before the
// deadline of ctx, so that the platform's answer arrives in time.
func (c *Client) watchWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.cfg.WatchWait
	}
	remaining := time.Until(deadline)
	return max(0, min(c.cfg.WatchWait, remaining-remaining/watchMarginDivisor))
}

// watchMarginDivisor sets the part of the time to the deadline, 1/3, that a watch leaves for
// the transfer of the answer.
const watchMarginDivisor = 3

// Put implements objectstore.Store. With objectstore.ErrConflict the returned object has the
// current version, if the platform stated it, and no value.
func (c *Client) Put(ctx context.Context, name string, base uint64, value []byte) (objectstore.Object, error) {
	k := call{
		method: http.MethodPut, path: objectPath(name), body: value,
		header:  http.Header{"If-Match": {strconv.FormatUint(base, 10)}},
		timeout: c.cfg.CallTimeout, maxReply: maxErrorBytes,
	}
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, failure(objectstore.ErrTooLarge, k, len(value))
	}
	r, err := c.do(ctx, k)
	if err != nil {
		return objectstore.Object{}, err
	}
	version, versionErr := etag(r)
	err = writeError(k, r)
	if errors.Is(err, objectstore.ErrConflict) {
		return objectstore.Object{Name: name, Version: version}, err
	}
	if err != nil {
		return objectstore.Object{}, err
	}
	if versionErr != nil {
		return objectstore.Object{}, failure(objectstore.ErrUnknownOutcome, k, versionErr)
	}
	return objectstore.Object{Name: name, Version: version, Value: value}, nil
}

// Hosts implements objectstore.HostList.
func (c *Client) Hosts(ctx context.Context) ([]objectstore.Host, error) {
	k := call{method: http.MethodGet, path: hostsPath, timeout: c.cfg.CallTimeout, maxReply: c.cfg.HostListBytes}
	r, err := c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, failure(objectstore.ErrUnavailable, k, statusText(r))
	}
	entries, err := jsonlist.Elements(r.body, "")
	if err != nil {
		return nil, failure(objectstore.ErrUnavailable, k, err)
	}
	hosts := make([]objectstore.Host, 0, len(entries))
	for _, entry := range entries {
		var h objectstore.Host
		if err := jsonlist.Decode(entry, &h); err != nil {
			klog.ErrorS(err, "Skipped an entry of the host list that can't be decoded", "bytes", len(entry))
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// Register implements objectstore.HostList.
func (c *Client) Register(ctx context.Context, h objectstore.Host) error {
	value, err := json.Marshal(h)
	if err != nil {
		return errors.Wrapf(err, "host %s", h.ID)
	}
	return c.writeHost(ctx, http.MethodPut, h.ID, value)
}

// Deregister implements objectstore.HostList. It is not an error if there is no entry.
func (c *Client) Deregister(ctx context.Context, id string) error {
	err := c.writeHost(ctx, http.MethodDelete, id, nil)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	return err
}

// writeHost writes or deletes the host list entry of a host.
func (c *Client) writeHost(ctx context.Context, method, id string, value []byte) error {
	k := call{
		method: method, path: hostsPath + "/" + url.PathEscape(id), body: value,
		timeout: c.cfg.CallTimeout, maxReply: maxErrorBytes,
	}
	r, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	return writeError(k, r)
}

// readObject converts the reply to a Get or Watch.
func readObject(k call, name string, r reply) (objectstore.Object, error) {
	switch r.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return objectstore.Object{}, failure(objectstore.ErrNotFound, k, statusText(r))
	default:
		return objectstore.Object{}, failure(objectstore.ErrUnavailable, k, statusText(r))
	}
	version, err := etag(r)
	if err != nil {
		return objectstore.Object{}, failure(objectstore.ErrUnavailable, k, err)
	}
	return objectstore.Object{Name: name, Version: version, Value: r.body}, nil
}

// writeError converts the status of a reply to a write. The platform does not apply a write
// that it answers with a 4xx status or 503. The outcome of a write with any other status
// except success is unknown.
func writeError(k call, r reply) error {
	switch {
	case r.status == http.StatusOK, r.status == http.StatusCreated, r.status == http.StatusNoContent:
		return nil
	case r.status == http.StatusNotFound:
		return failure(objectstore.ErrNotFound, k, statusText(r))
	case r.status == http.StatusConflict:
		return failure(objectstore.ErrConflict, k, statusText(r))
	case r.status == http.StatusRequestEntityTooLarge:
		return failure(objectstore.ErrTooLarge, k, statusText(r))
	case r.status == http.StatusServiceUnavailable, r.status >= 400 && r.status < 500:
		return failure(objectstore.ErrUnavailable, k, statusText(r))
	default:
		return failure(objectstore.ErrUnknownOutcome, k, statusText(r))
	}
}

// etag returns the object version that a reply states.
func etag(r reply) (uint64, error) {
	text := strings.Trim(r.header.Get("ETag"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	return version, errors.Wrapf(err, "ETag %q", text)
}

func statusText(r reply) string {
	return strconv.Itoa(r.status) + " " + http.StatusText(r.status)
}

// objectPath returns the URL path of an object. It escapes the name except for slashes.
func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return objectsPath + strings.Join(segments, "/")
}

// bodyReader returns nil for a call without a body.
func bodyReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return bytes.NewReader(body)
}
