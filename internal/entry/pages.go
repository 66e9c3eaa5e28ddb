package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/explain"
)

// pages serves the readiness and metrics endpoints, and explanations for operators.
func (e *Entry) pages() http.Handler {
	pages := echo.New()
	pages.GET("/ready", func(c echo.Context) error {
		ready, reason := e.ready(time.Now())
		e.readiness.logChange(ready, reason)
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
	pages.POST(explain.Path, e.explainPage)
	return pages
}

// ready reports whether the balancer should send callers here, and the reason if not.
func (e *Entry) ready(now time.Time) (bool, string) {
	if ready, reason := e.lifecycle.Ready(); !ready {
		return false, reason
	}
	if !e.view.complete(now) {
		return false, "the replicas are not known yet"
	}
	if e.isolated(now) {
		return false, "too few replicas are in reach"
	}
	return true, ""
}

// readiness holds the reason of the last readiness answer.
type readiness struct{ reason atomic.Pointer[string] }

// logChange logs an answer that differs from the previous one.
func (r *readiness) logChange(ready bool, reason string) {
	previous := r.reason.Swap(&reason)
	if previous == nil || *previous != reason {
		klog.InfoS("Readiness changed", "ready", ready, "reason", reason)
	}
}
