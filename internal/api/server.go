package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/callers"
	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

const (
	problemMediaType = "application/problem+json"
	maxHeaderBytes   = 16 << 10
	// overloadRetryAfter is the retry delay that is sent to callers refused by the
	// concurrency limit.
	overloadRetryAfter = 200 * time.Millisecond
	// idleTimeout is the time after which connections that the load balancer does not
	// use are closed.
	idleTimeout = 2 * time.Minute
)

// Limits bound the resources that callers can make the server hold.
type Limits struct {
	BodyBytes          int
	ConcurrentRequests int
	HeaderTimeout      time.Duration
	BodyTimeout        time.Duration
	// LongestDeadline also bounds the time to write an answer.
	LongestDeadline time.Duration
	// Connections is the largest number of open connections. Beyond it, those without a whole
	// request in progress give way to new ones.
	Connections int
	// Memory bounds what all requests hold, from their bodies to their answers.
	Memory *membudget.Budget
}

// Server serves the interface over HTTP.
type Server struct {
	service  Service
	limits   Limits
	registry metrics.Registry
	slots    chan struct{}
	http     *http.Server
	conns    atomic.Pointer[callers.Listener] // nil before Serve
	tracer   trace.Tracer
}

// NewServer returns a server for service. It serves the metrics in registry at
// /metrics.
func NewServer(service Service, limits Limits, registry metrics.Registry) *Server {
	s := &Server{
		service:  service,
		limits:   limits,
		registry: registry,
		slots:    make(chan struct{}, limits.ConcurrentRequests),
		tracer:   otel.Tracer("marigoldlever/api"),
	}
	s.http = &http.Server{
		Handler:        s.routes(),
		WriteTimeout:   limits.HeaderTimeout + limits.BodyTimeout + 2*limits.LongestDeadline,
		MaxHeaderBytes: maxHeaderBytes,
	}
	limits.Memory.WhenShort(s.freeMemory)
	return s
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	conns := callers.NewListener(l, s.limits.Connections, s.callerLimits, s.registry)
	conns.Attach(s.http)
	s.conns.Store(conns)
	err := s.http.Serve(conns)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) callerLimits() callers.Limits {
	return callers.Limits{Header: s.limits.HeaderTimeout, Body: s.limits.BodyTimeout, Idle: idleTimeout}
}

// freeMemory makes a caller give way whose large body has been incomplete for long.
func (s *Server) freeMemory() {
	if conns := s.conns.Load(); conns != nil {
		conns.FreeMemory()
	}
}

// freeSlot makes a caller give way whose body has been incomplete for long.
func (s *Server) freeSlot() {
	if conns := s.conns.Load(); conns != nil {
		conns.FreeRequest()
	}
}

// Shutdown stops accepting connections and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.writeError
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", s.metrics)
	e.GET("/status", s.status)
	e.GET("/v1/configuration", s.configuration)
	e.GET("/v1/configuration/history", s.history)
	e.GET("/v1/configuration/:number", s.configuration)
	e.POST("/v1/configuration/patches", s.patch, s.holdMemory)
	e.POST("/v1/query", s.query, s.limitConcurrency, s.holdMemory)
	e.POST("/v1/execute", s.execute, s.limitConcurrency, s.holdMemory)
	return e
}

// limitConcurrency immediately refuses requests above the limit, before their body is
// read, so that a refused request costs little during overload.
func (s *Server) limitConcurrency(next echo.HandlerFunc) echo.HandlerFunc {
	refused := metrics.GetOrRegisterCounter("api.refused.concurrency", s.registry)
	return func(c echo.Context) error {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			return next(c)
		default:
			refused.Inc(1)
			s.freeSlot()
			p := NewProblem(KindOverloaded, "%d requests are running on this host", s.limits.ConcurrentRequests)
			p.WithRetry(true, overloadRetryAfter).WithRun(runBeforeJournal(c.Request()))
			return p
		}
	}
}

// memoryKey is the key of a request's memory in its context.
const memoryKey = "memory"

// holdMemory gives a request its part of the memory until its answer is written.
func (s *Server) holdMemory(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		hold := s.limits.Memory.NewHold()
		defer hold.Release()
		c.Set(memoryKey, hold)
		return next(c)
	}
}

// memoryOf returns the memory that holdMemory gave to a request.
func memoryOf(c echo.Context) *membudget.Hold { return c.Get(memoryKey).(*membudget.Hold) }

// runBeforeJournal returns what is known about a request that is refused before the
// journal is read. An earlier submission of the same key may have run, so only a query
// or the first submission of a key is certain not to have run.
func runBeforeJournal(r *http.Request) Run {
	if r.Header.Get(HeaderIdempotencyKey) == "" || r.Header.Get(HeaderSubmissionNumber) == "1" {
		return NotRun
	}
	return MayHaveRun
}

func (s *Server) query(c echo.Context) error {
	var q QueryRequest
	if err := s.decodeBody(c, &q); err != nil {
		return err
	}
	q.RequestID, q.Memory = requestID(c), memoryOf(c)
	ctx, span := s.startSpan(c, "query", q.RequestID)
	defer span.End()
	span.SetAttributes(attribute.String("contract", q.Contract))
	started := time.Now()
	answer, err := s.service.Query(ctx, q)
	s.recordResult("query", q.RequestID, span, started, err)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) execute(c echo.Context) error {
	var e ExecuteRequest
	if err := s.decodeBody(c, &e); err != nil {
		return err
	}
	e.Key = c.Request().Header.Get(HeaderIdempotencyKey)
	if e.Key == "" {
		return NewProblem(KindInvalidRequest, "header %s is missing", HeaderIdempotencyKey).WithRetry(false, 0)
	}
	if n := c.Request().Header.Get(HeaderSubmissionNumber); n != "" {
		number, err := strconv.Atoi(n)
		if err != nil || number < 1 {
			return NewProblem(KindInvalidRequest, "header %s: %q is not a positive integer", HeaderSubmissionNumber, n).
				WithRetry(false, 0).WithRun(MayHaveRun)
		}
		e.SubmissionNumber = number
	}
	e.RequestID = requestID(c)
	ctx, span := s.startSpan(c, "execute", e.RequestID)
	defer span.End()
	span.SetAttributes(attribute.String("service", e.Service))
	started := time.Now()
	answer, err := s.service.Execute(ctx, e)
	s.recordResult("execute", e.RequestID, span, started, err)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) patch(c echo.Context) error {
	var p PatchRequest
	if err := s.decodeBody(c, &p); err != nil {
		return err
	}
	ctx, span := s.startSpan(c, "patch", requestID(c))
	defer span.End()
	answer, err := s.service.Patch(ctx, p)
	if err != nil {
		return err
	}
	klog.InfoS("Configuration patch accepted", "patch", p.ID, "base", p.Base, "number", answer.Number, "author", p.Author)
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) configuration(c echo.Context) error {
	var number uint64
	if text := c.Param("number"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n == 0 {
			return NewProblem(KindInvalidRequest, "%q is not a configuration number", text).WithRetry(false, 0)
		}
		number = n
	}
	answer, err := s.service.Configuration(c.Request().Context(), number)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) history(c echo.Context) error {
	entries, err := s.service.History(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, entries)
}

func (s *Server) status(c echo.Context) error {
	status, err := s.service.Status(c.Request().Context(), c.QueryParam("all") == "true")
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, status)
}

func (s *Server) readyz(c echo.Context) error {
	ready, reason := s.service.Ready()
	if !ready {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(http.StatusOK)
	metrics.WriteJSONOnce(s.registry, c.Response())
	return nil
}

// decodeBody decodes a JSON body. It refuses unknown fields, bodies above the size limit and
// bytes that are not UTF-8, which would not reach upstreams as sent.
func (s *Server) decodeBody(c echo.Context, target any) error {
	limit := int64(s.limits.BodyBytes)
	conn := callers.FromContext(c.Request().Context())
	body, held, err := conn.ReadBody(s.limits.Memory, http.MaxBytesReader(c.Response(), c.Request().Body, limit), c.Request().ContentLength, limit)
	memoryOf(c).Adopt(held)
	if err == nil && !utf8.Valid(body) {
		err = errors.New("not UTF-8")
	}
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		if err = decoder.Decode(target); err == nil {
			err = requireEOF(decoder)
		}
	}
	if err == nil {
		return nil
	}
	run := runBeforeJournal(c.Request())
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, callers.ErrGaveWay):
		return NewProblem(KindOverloaded, "%v", err).WithRetry(true, overloadRetryAfter).WithRun(run)
	case errors.Is(err, membudget.ErrExhausted):
		return NewProblem(KindOverloaded, "no memory is left for the body").WithRetry(true, overloadRetryAfter).WithRun(run)
	case errors.As(err, &tooLarge), errors.Is(err, membudget.ErrTooLarge):
		return NewProblem(KindBodyTooLarge, "the body is larger than %d bytes", s.limits.BodyBytes).WithRetry(false, 0).WithRun(run)
	}
	return NewProblem(KindInvalidRequest, "body: %v", err).WithRetry(false, 0).WithRun(run)
}

func requireEOF(decoder *json.Decoder) error {
	_, err := decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return errors.New("more than one JSON value")
	}
	return err
}

func (s *Server) startSpan(c echo.Context, name, id string) (context.Context, trace.Span) {
	ctx := otel.GetTextMapPropagator().Extract(c.Request().Context(), propagation.HeaderCarrier(c.Request().Header))
	ctx, span := s.tracer.Start(ctx, "caller."+name, trace.WithSpanKind(trace.SpanKindServer))
	span.SetAttributes(attribute.String("request_id", id))
	c.Response().Header().Set(HeaderRequestID, id)
	return ctx, span
}

func (s *Server) recordResult(name, id string, span trace.Span, started time.Time, err error) {
	metrics.GetOrRegisterTimer("api."+name, s.registry).UpdateSince(started)
	if err == nil {
		return
	}
	p := asProblem(err)
	metrics.GetOrRegisterCounter("api."+name+".problem."+string(p.Kind), s.registry).Inc(1)
	span.SetAttributes(attribute.String("problem", string(p.Kind)))
	klog.V(1).InfoS("Request refused", "request", name, "requestID", id,
		"traceID", span.SpanContext().TraceID(), "kind", p.Kind, "run", p.Run, "detail", p.Detail)
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// requestID returns the caller's request ID if it is valid, otherwise a new one.
func requestID(c echo.Context) string {
	id := c.Request().Header.Get(HeaderRequestID)
	if requestIDPattern.MatchString(id) {
		return id
	}
	return uuid.NewString()
}

func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) && httpErr.Code < http.StatusInternalServerError {
		problem := NewProblem(KindNotFound, "%v", httpErr.Message).WithRetry(false, 0)
		problem.Status = httpErr.Code
		problem.Title = http.StatusText(httpErr.Code)
		return problem
	}
	return NewProblem(KindInternal, "%v", err).WithRun(MayHaveRun).WithRetry(false, 0)
}

func (s *Server) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := *asProblem(err)
	if p.Kind == KindInternal {
		klog.ErrorS(err, "Request failed", "path", c.Path())
	}
	if p.RequestID == "" {
		p.RequestID = c.Response().Header().Get(HeaderRequestID)
	}
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body, encodeErr := json.Marshal(p)
	if encodeErr != nil {
		klog.ErrorS(encodeErr, "Cannot encode the problem response")
		body = []byte(`{"kind":"internal","run":"may_have_run"}`)
	}
	if err := c.Blob(p.Status, problemMediaType, body); err != nil {
		klog.V(1).InfoS("Cannot send the problem response to the caller", "err", err)
	}
}
