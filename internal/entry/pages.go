package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// pages serves readiness and metrics.
func (e *Entry) pages() http.Handler {
	pages := echo.New()
	pages.GET("/ready", func(c echo.Context) error {
		ready, reason := e.ready(time.Now())
		e.readiness.told(ready, reason)
		if !ready {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	pages.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
		metrics.WriteOnce(e.metrics.registry, c.Response())
		return nil
	})
	return pages
}

// ready reports whether the balancer should send callers here, and if not, why.
func (e *Entry) ready(now time.Time) (bool, string) {
	if ready, reason := e.lifecycle.Ready(); !ready {
		return false, reason
	}
	if !e.view.complete() {
		return false, "the replicas are not known yet"
	}
	if e.cutOff(now) {
		return false, "too few replicas are in reach"
	}
	return true, ""
}

// readiness is what the balancer was told last.
type readiness struct{ reason atomic.Pointer[string] }

// told logs an answer that differs from the one before.
func (r *readiness) told(ready bool, reason string) {
	before := r.reason.Swap(&reason)
	if before == nil || *before != reason {
		klog.InfoS("Readiness changed", "ready", ready, "reason", reason)
	}
}
