package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	methodGather = "entry.gather"
	methodAlive  = "entry.alive"
	// methodLeave tells that the caller of a request has left; its parameter is the
	// request's id.
	methodLeave = "entry.leave"
)

const (
	// aliveInterval is the time between questions to the stronger hosts, and aliveTime
	// the time for an answer: many times what a call within a data centre takes, as a host
	// with a fifth of a core may be busy for that long.
	aliveInterval = 250 * time.Millisecond
	aliveTime     = 60 * time.Millisecond
	// firstWay is what the way to another host and back is taken for until it is known,
	// and wayMost bounds it.
	firstWay = 3 * time.Millisecond
	wayMost  = 25 * time.Millisecond
	// leaveTime bounds the message that a caller has left.
	leaveTime = time.Second
)

// gatherCall asks another host of the data centre for the answer from all parts.
type gatherCall struct {
	ID     string      `json:"id"`
	Method string      `json:"method"`
	Target string      `json:"target"`
	Host   string      `json:"host"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Version is that of the caller's configuration. Another one may name other parts.
	Version uint64 `json:"version"`
	// WaitUS and GoalUS are the times, in microseconds, that are left to answer at all
	// and within the target latency.
	WaitUS int64 `json:"wait_us"`
	GoalUS int64 `json:"goal_us"`
}

// gatherReply is the outcome of such a request.
type gatherReply struct {
	// Refused is why nothing was sent for the request; empty if it was taken on.
	Refused string `json:"refused,omitempty"`
	// Failure is why there is no answer, and MayHaveRun whether a part may have run.
	Failure    string   `json:"failure,omitempty"`
	MayHaveRun bool     `json:"may_have_run,omitempty"`
	Body       []byte   `json:"body,omitempty"`
	Signatures []string `json:"signatures,omitempty"`
	// TookUS is the time in microseconds that the host had the request.
	TookUS int64 `json:"took_us"`
}

// aliveReply answers the question whether a host is alive.
type aliveReply struct {
	// OutOfReach are the data centres that the host can't reach.
	OutOfReach []string `json:"out_of_reach,omitempty"`
}

// offloader gives requests over many parts to stronger hosts, and takes those of weaker
// ones.
type offloader struct {
	entry *Entry
	node  *peer.Node

	mu      sync.Mutex
	chooser *offload.Chooser
	// pending holds the calls that other hosts have not answered, by host.
	pending map[string]map[*pendingCall]struct{}

	// running holds what ends the requests of other hosts in progress, by host and id.
	running map[[2]string]context.CancelFunc

	room chan struct{} // an element for each request of another host in progress
	// ways are the times that calls took beyond the work on the request, by host.
	ways *upperEstimate[string]

	given, refused, broken, taken metrics.Counter
	alive                         metrics.Gauge // stronger hosts that take requests
}

// pendingCall is a call that is given up once its host shows no sign of life.
type pendingCall struct{ giveUp context.CancelCauseFunc }

// EnableOffload lets the entry give requests to other hosts and take theirs. It is called
// before Run, and before the node listens.
func (e *Entry) EnableOffload(node *peer.Node) {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("offload."+name, e.metrics.registry)
	}
	e.offload = &offloader{
		entry: e, node: node, chooser: offload.NewChooser(e.settings.Self()), pending: map[string]map[*pendingCall]struct{}{}, running: map[[2]string]context.CancelFunc{},
		room: make(chan struct{}, offload.MaxConcurrent(e.settings.Cores)), ways: newUpperEstimate[string](),
		given: counter("given"), refused: counter("refused"), broken: counter("broken"), taken: counter("taken"),
		alive: metrics.GetOrRegisterGauge("offload.stronger_alive", e.metrics.registry),
	}
	node.Handle(methodGather, e.offload.handle)
	node.Handle(methodLeave, e.offload.leave)
	node.Handle(methodAlive, func(context.Context, peer.Request) (any, error) {
		return aliveReply{OutOfReach: e.reach.outOfReach()}, nil
	})
}

func (o *offloader) setHosts(hosts []watchers.Host) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chooser.SetHosts(hosts)
}

// givable reports whether requests of a route may go to another host.
func givable(route *routing.Route) bool {
	return route.Idempotent && offload.Large(len(route.Shards))
}

func (o *offloader) next(now time.Time, route *routing.Route) (watchers.Host, bool) {
	if o == nil || !givable(route) {
		return watchers.Host{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.chooser.Next(now, len(route.Shards))
}

func (o *offloader) ended(id string, r offload.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chooser.RecordResult(time.Now(), id, r)
}

// look asks the stronger hosts whether they are alive.
func (o *offloader) look(ctx context.Context) {
	o.mu.Lock()
	hosts := o.chooser.Candidates()
	o.mu.Unlock()
	var group sync.WaitGroup
	for _, h := range hosts {
		group.Go(func() {
			asked, cancel := context.WithTimeout(ctx, aliveTime)
			defer cancel()
			var reply aliveReply
			o.looked(h, o.node.Call(asked, h.Address, methodAlive, struct{}{}, &reply))
			o.entry.reach.doubt(ctx, reply.OutOfReach)
		})
	}
	group.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.alive.Update(int64(o.chooser.AliveCount()))
}

// looked takes the outcome of such a question.
func (o *offloader) looked(h watchers.Host, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		if o.chooser.MarkAlive(h.ID) {
			klog.InfoS("Stronger host takes requests", "host", h.ID, "cores", h.Cores)
		}
		return
	}
	news, lost := o.chooser.MarkMissed(h.ID)
	if news {
		klog.InfoS("Stronger host shows no sign of life", "host", h.ID, "err", err)
	}
	if lost {
		for c := range o.pending[h.ID] {
			c.giveUp(errors.Newf("host %s shows no sign of life", h.ID))
		}
	}
}
