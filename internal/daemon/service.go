package daemon

import (
	"context"
	"encoding/json"
	"math/big"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/once"
	"github.com/marigoldlever/marigoldlever/query"
)

const (
	// notReadyRetryAfter is the Retry-After time while this host has no configuration.
	notReadyRetryAfter = time.Second
	// noMemoryRetryAfter is the Retry-After time while the requests in progress take all of
	// their memory.
	noMemoryRetryAfter = 200 * time.Millisecond
	// patchTimeout limits the processing of one patch.
	patchTimeout = 8 * time.Second
	// shareScale is the number of steps to which a coverage in an answer is rounded.
	shareScale = 1_000_000
)

// Query implements api.Service.
func (d *Daemon) Query(ctx context.Context, q api.QueryRequest) (api.Answer, error) {
	if !d.beginRequest() {
		return api.Answer{}, api.NewProblem(api.KindLeaving, "this host is leaving").WithRetry(true, 0)
	}
	defer d.endWork(drain.CallerWork)
	started := time.Now()
	plan, ok := d.directory.plan(started, d.attemptPrefix(q.RequestID), q.Contract)
	if !ok {
		return api.Answer{}, d.unknownContract(q.Contract)
	}
	limit, err := d.answerTime(plan.AnswerTime, q.DeadlineMS)
	if err != nil {
		return api.Answer{}, err
	}
	release, ok := d.memory.parts.Reserve(plan.Services())
	if !ok {
		return api.Answer{}, api.NewProblem(api.KindOverloaded, "no memory is left for the request").WithRetry(true, noMemoryRetryAfter)
	}
	defer release()
	if !q.Memory.Take(copiesOf(len(q.Request), plan.Services())) {
		return api.Answer{}, api.NewProblem(api.KindOverloaded, "no memory is left for the request").WithRetry(true, noMemoryRetryAfter)
	}
	plan.AnswerTime = limit
	plan.LatencyGoal = min(plan.LatencyGoal, limit)
	plan.Tuning = d.tuning
	finish, err := d.scatter.Run(ctx, d.router, plan, q.Request, q.Memory)
	if err != nil {
		return api.Answer{}, api.NewProblem(api.KindDeadlineExceeded, "the caller cancelled the request: %v", err)
	}
	if finish.Refusal != nil {
		return api.Answer{}, refusal(finish)
	}
	d.countSends(finish.Answer.Counts)
	return answerOf(q.RequestID, finish.Answer, time.Since(started)), nil
}

// unknownContract returns the problem of a request whose contract was not found.
func (d *Daemon) unknownContract(name string) error {
	if d.directory.active() == nil {
		return api.NewProblem(api.KindNotReady, "this host has no configuration yet").WithRetry(true, notReadyRetryAfter)
	}
	return api.NewProblem(api.KindNotFound, "the configuration has no contract %q", name).WithRetry(false, 0)
}

// answerTime returns the time within which to answer: the minimum of the contract's
// answer time, the longest deadline of the settings and the caller's deadline, if any.
func (d *Daemon) answerTime(contract time.Duration, deadlineMS int64) (time.Duration, error) {
	if deadlineMS < 0 {
		return 0, api.NewProblem(api.KindInvalidRequest, "deadline_ms is negative").WithRetry(false, 0)
	}
	limit := min(contract, d.settings.Limits.LongestDeadline)
	asked := time.Duration(deadlineMS) * time.Millisecond
	if deadlineMS > 0 && asked < limit {
		limit = asked
	}
	return limit, nil
}

// refusal returns the problem of a query that ended without an answer.
func refusal(f query.Finish) error {
	kind := api.KindCoverageBelowMinimum
	if errors.Is(f.Refusal, query.ErrNoCommonSnapshot) {
		kind = api.KindNoCommonSnapshot
	}
	p := api.NewProblem(kind, "%v", f.Refusal)
	coverage := coverageOf(f.Answer)
	p.Coverage = &coverage
	return p
}

func answerOf(id string, a query.Answer, elapsed time.Duration) api.Answer {
	answer := api.Answer{
		RequestID: id,
		Snapshot:  a.Snapshot,
		Coverage:  coverageOf(a),
		Parts:     make([]api.Part, len(a.Parts)),
		ElapsedMS: float64(elapsed.Microseconds()) / 1000,
		Sends:     api.Sends{Primary: a.Counts.Primary, Hedges: a.Counts.Hedges, Retries: a.Counts.Retries},
	}
	for i, p := range a.Parts {
		answer.Parts[i] = api.Part{Service: p.Service, Partition: p.Partition, Records: p.Records}
	}
	return answer
}

func coverageOf(a query.Answer) api.Coverage {
	c := api.Coverage{Share: floorShare(a.Coverage), Complete: a.Coverage.Cmp(big.NewRat(1, 1)) == 0}
	for _, g := range a.Groups {
		group := api.GroupCoverage{Group: g.Name, Share: floorShare(g.Coverage)}
		for _, m := range g.Missing {
			group.Missing = append(group.Missing, api.Missing{Service: m.Service, Partition: m.Partition, Reason: string(m.Reason)})
		}
		c.Groups = append(c.Groups, group)
	}
	return c
}

// floorShare rounds down, so that an incomplete coverage is never reported as 1.
func floorShare(r *big.Rat) float64 {
	scaled := new(big.Int).Mul(r.Num(), big.NewInt(shareScale))
	scaled.Div(scaled, r.Denom())
	return float64(scaled.Int64()) / shareScale
}

// Execute implements api.Service.
func (d *Daemon) Execute(ctx context.Context, e api.ExecuteRequest) (api.ExecuteAnswer, error) {
	if !d.beginRequest() {
		return api.ExecuteAnswer{}, api.NewProblem(api.KindLeaving, "this host is leaving").
			WithRun(runBeforeJournal(e)).WithRetry(true, 0)
	}
	defer d.endWork(drain.CallerWork)
	started := time.Now()
	limit, err := d.checkExecute(e)
	if err != nil {
		return api.ExecuteAnswer{}, err
	}
	outcome := d.journal.execute(ctx, once.Submission{
		ID: d.attemptPrefix(e.RequestID), Key: e.Key, Number: uint32(e.SubmissionNumber),
		Contract: e.Contract, Service: e.Service, Body: e.Request, Deadline: started.Add(limit),
	})
	if outcome.Run != once.RunRan || outcome.Reason == once.ReasonKeyReused {
		return api.ExecuteAnswer{}, problemOfOutcome(outcome)
	}
	return api.ExecuteAnswer{
		RequestID: e.RequestID, Key: e.Key, Run: api.Ran, Result: resultOf(outcome),
		Resent: outcome.Reason == once.ReasonRecorded, ElapsedMS: float64(time.Since(started).Microseconds()) / 1000,
	}, nil
}

// runBeforeJournal returns whether a request may have run, before its journal is read:
// the first submission of a key cannot have run earlier.
func runBeforeJournal(e api.ExecuteRequest) api.Run {
	if e.SubmissionNumber == 1 {
		return api.NotRun
	}
	return api.MayHaveRun
}

// checkExecute checks that the contract allows the service, and returns the time within
// which to answer.
func (d *Daemon) checkExecute(e api.ExecuteRequest) (time.Duration, error) {
	active := d.directory.active()
	if active == nil {
		return 0, api.NewProblem(api.KindNotReady, "this host has no configuration yet").
			WithRun(runBeforeJournal(e)).WithRetry(true, notReadyRetryAfter)
	}
	limits, ok := active.Contract(e.Contract)
	if !ok {
		return 0, api.NewProblem(api.KindNotFound, "the configuration has no contract %q", e.Contract).
			WithRun(runBeforeJournal(e)).WithRetry(false, 0)
	}
	group, _, ok := active.Service(e.Service)
	if !ok || !slices.Contains(limits.Groups, group.Name) {
		return 0, api.NewProblem(api.KindNotFound, "contract %q has no service %q", e.Contract, e.Service).
			WithRun(runBeforeJournal(e)).WithRetry(false, 0)
	}
	return d.answerTime(limits.AnswerTime, e.DeadlineMS)
}

// resultOf returns the recorded result, or its digest if only that was recorded.
func resultOf(o once.Outcome) json.RawMessage {
	if len(o.Result) > 0 || o.ResultDigest == "" {
		return o.Result
	}
	digest, err := json.Marshal(map[string]string{"digest": o.ResultDigest})
	if err != nil {
		return nil
	}
	return digest
}

var kindsOfReasons = map[once.Reason]api.Kind{
	once.ReasonClaimed:      api.KindKeyInProgress,
	once.ReasonTombstone:    api.KindUpstreamFailed,
	once.ReasonReleased:     api.KindOverloaded,
	once.ReasonReplyLost:    api.KindOutcomeUnknown,
	once.ReasonRecorded:     api.KindOutcomeUnknown,
	once.ReasonDeadline:     api.KindDeadlineExceeded,
	once.ReasonBadKey:       api.KindInvalidRequest,
	once.ReasonKeyAge:       api.KindKeyExpired,
	once.ReasonKeyReused:    api.KindKeyReused,
	once.ReasonPlatformDown: api.KindPlatformUnavailable,
	once.ReasonBusy:         api.KindOverloaded,
	once.ReasonConflict:     api.KindOverloaded,
	once.ReasonJournalFull:  api.KindJournalFull,
	once.ReasonJournalBad:   api.KindInternal,
}

// problemOfOutcome converts an outcome without a result to a problem. The request may be
// resent with the same key, unless the key itself is the problem.
func problemOfOutcome(o once.Outcome) error {
	kind, ok := kindsOfReasons[o.Reason]
	if !ok {
		kind = api.KindInternal
	}
	safe := o.Reason != once.ReasonBadKey && o.Reason != once.ReasonKeyAge && o.Reason != once.ReasonKeyReused
	return api.NewProblem(kind, "%s", o.Reason).WithRun(api.Run(o.Run)).WithRetry(safe, o.RetryAfter)
}

var patchTypes = map[string]configuration.PatchType{
	"merge":      configuration.MergePatch,
	"json-patch": configuration.JSONPatch,
}

// Patch implements api.Service.
func (d *Daemon) Patch(ctx context.Context, p api.PatchRequest) (api.PatchAnswer, error) {
	patchType, ok := patchTypes[p.Type]
	if !ok {
		return api.PatchAnswer{}, api.NewProblem(api.KindInvalidRequest, "patch type %q is not supported, want merge or json-patch", p.Type).WithRetry(false, 0)
	}
	now := time.Now()
	if !d.beginWork(drain.CallerWork, now.Add(patchTimeout)) {
		return api.PatchAnswer{}, api.NewProblem(api.KindLeaving, "this host is leaving")
	}
	defer d.endWork(drain.CallerWork)
	result, err := d.configuration.patch(ctx, configuration.Patch{
		ID: p.ID, Base: p.Base, Author: p.Author, Type: patchType, Body: p.Patch,
	}, now.Add(patchTimeout))
	if err != nil {
		return api.PatchAnswer{}, problemOfPatch(err)
	}
	return api.PatchAnswer{Number: result.Number, AlreadyAccepted: result.Resent}, nil
}

func problemOfPatch(err error) error {
	var stale *configuration.StaleError
	var invalid *configuration.InvalidError
	switch {
	case errors.As(err, &stale):
		p := api.NewProblem(api.KindStaleBase, "base %d is not the current number %d", stale.Base, stale.Current).WithRetry(false, 0)
		p.Current = stale.Current
		p.Differences, _ = json.Marshal(stale.Differences)
		if stale.HistoryTruncated {
			p.Run = api.MayHaveRun
		}
		return p
	case errors.As(err, &invalid):
		p := api.NewProblem(api.KindPatchRefused, "the patched document is invalid").WithRetry(false, 0)
		for _, problem := range invalid.Problems {
			p.Errors = append(p.Errors, problem.Error())
		}
		return p
	case errors.IsAny(err, configuration.ErrPatch, configuration.ErrIDReused, configuration.ErrTooLarge):
		return api.NewProblem(api.KindPatchRefused, "%v", err).WithRetry(false, 0)
	case errors.Is(err, configuration.ErrBusy):
		return api.NewProblem(api.KindOverloaded, "%v", err)
	case errors.Is(err, configuration.ErrUnavailable):
		return api.NewProblem(api.KindPlatformUnavailable, "%v", err)
	default:
		return api.NewProblem(api.KindOutcomeUnknown, "%v; send the patch again with the same id", err).WithRun(api.MayHaveRun)
	}
}

// Configuration implements api.Service.
func (d *Daemon) Configuration(_ context.Context, number uint64) (api.ConfigurationAnswer, error) {
	active := d.directory.active()
	if active == nil {
		return api.ConfigurationAnswer{}, api.NewProblem(api.KindNotReady, "this host has no configuration yet").WithRetry(true, notReadyRetryAfter)
	}
	if number != 0 && number != active.Number {
		return api.ConfigurationAnswer{}, api.NewProblem(api.KindNotFound,
			"only the version in force, %d, is kept as a whole; history lists the patches", active.Number).WithRetry(false, 0)
	}
	document, err := json.Marshal(active.Document)
	if err != nil {
		return api.ConfigurationAnswer{}, errors.Wrap(err, "encode configuration")
	}
	return api.ConfigurationAnswer{Number: active.Number, Digest: active.Digest, Document: document}, nil
}

// History implements api.Service.
func (d *Daemon) History(context.Context) ([]api.HistoryEntry, error) {
	records := d.configuration.history()
	entries := make([]api.HistoryEntry, len(records))
	for i, r := range records {
		entries[i] = api.HistoryEntry{ID: r.ID, Number: r.Number, Type: string(r.Type), Author: r.Author, Time: r.Time}
	}
	return entries, nil
}

// Ready implements api.Service.
func (d *Daemon) Ready() (bool, string) {
	var ready bool
	var reason string
	ready, reason = d.lifecycle.Ready()
	// Without the ownership tables this host would refuse every request.
	if ready && !d.directory.canRoute(time.Now(), d.settings.Ownership.Lease) {
		return false, "the ownership tables are not known yet"
	}
	return ready, reason
}
