// Command trial measures the membership protocol in one process and in virtual
// time. Members that pause at random exchange encoded messages over links with
// latency and loss. docs/measurements-membership.md holds the results.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/marigoldlever/marigoldlever/membership"
)

// Flag defaults and durations of the phases of a run.
const (
	defaultLoss   = 0.01
	defaultCrash  = 5
	settleTime    = 30 * time.Second
	steadyTime    = 60 * time.Second
	crashInterval = 15 * time.Second
	changePause   = 4 * time.Second
	pollInterval  = 10 * time.Millisecond
)

func main() {
	links := flag.String("links", "ring,all,random", "variants to run: ring, all, random")
	members := flag.String("members", "2,20,200", "members in each data centre")
	centres := flag.Int("centres", 1, "data centres")
	loss := flag.Float64("loss", defaultLoss, "share of messages lost")
	pauses := flag.Duration("pause-every", time.Minute, "mean time between pauses of a member; 0 for none")
	longest := flag.Duration("pause-longest", 1500*time.Millisecond, "longest pause")
	crashes := flag.Int("crashes", defaultCrash, "crashes and configuration changes to measure")
	seed := flag.Uint64("seed", 1, "seed of all random choices")
	sockets := flag.Duration("sockets", 0, "run the ring over loopback sockets in real time for so long instead")
	flag.Parse()
	if *sockets > 0 {
		measureSockets(*seed, *members, *sockets)
		return
	}
	fmt.Println("| links | members | kB/s out per member | messages/s | peers/min | CPU % | joined s | crash known s (mean, max) | suspected | false dead | configuration known s (mean, max) | proof age s (p50, p99, max) |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, name := range strings.Split(*links, ",") {
		cfg, ok := variant(name)
		if !ok {
			fail("links: unknown variant: " + name)
		}
		for _, n := range parseCounts(*members) {
			w := newWorld(*seed, cfg, n, *centres)
			w.loss, w.pauseEvery, w.pauseLongest = *loss, *pauses, *longest
			fmt.Println(w.measure(name, *crashes))
		}
	}
}

func measureSockets(seed uint64, members string, length time.Duration) {
	fmt.Println("| members | kB/s out per member, framed | CPU % per member | connections per member |")
	fmt.Println("|---|---|---|---|")
	for _, n := range parseCounts(members) {
		row, err := runOverSockets(seed, n, length)
		if err != nil {
			fail(err.Error())
		}
		fmt.Println(row)
	}
}

// parseCounts parses a comma-separated list of member counts.
func parseCounts(list string) []int {
	var all []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			fail("members: not a positive number: " + s)
		}
		all = append(all, n)
	}
	return all
}

func fail(message string) {
	fmt.Fprintln(os.Stderr, message)
	os.Exit(2)
}

// variant returns the configuration of a variant. In every variant, news goes to
// five hosts of the data centre.
func variant(name string) (membership.Config, bool) {
	cfg := membership.DefaultConfig()
	switch name {
	case "ring":
	case "all":
		cfg.Topology = membership.AllToAll{Fanout: 5}
	case "random":
		cfg.Topology = membership.RandomProbing{Probes: 3, Fanout: 5}
	default:
		return cfg, false
	}
	return cfg, true
}

// measure runs all phases and returns a row of the results table.
func (w *world) measure(name string, crashes int) string {
	joinTime := w.until(settleTime, w.allJoined)
	w.run(w.now + settleTime - joinTime)
	w.sent, w.messages, w.proofAges = 0, 0, nil
	cpu := cpuTime()
	w.sampling = true
	w.run(w.now + steadyTime)
	w.sampling = false
	cpu = cpuTime() - cpu
	perMember := float64(len(w.nodes)) * steadyTime.Seconds()
	bytes, messages := float64(w.sent)/perMember, float64(w.messages)/perMember

	var changeTimes, crashed []time.Duration
	for i := range crashes {
		number := uint64(i + 1)
		source := w.anyLive()
		source.machine.SetConfiguration(source.clock(), number)
		w.wake(source)
		changeTimes = append(changeTimes, w.until(crashInterval, func() bool { return w.allHave(number) }))
		w.run(w.now + changePause)
		if w.liveCount() > 1 {
			victim := w.anyLive()
			victim.crashed = true
			crashed = append(crashed, w.until(crashInterval, func() bool { return w.allKnowDead(victim) }))
		}
		w.run(w.now + changePause)
	}
	return fmt.Sprintf("| %s | %d x %d | %.2f | %.1f | %.0f | %.3f | %.1f | %s | %d | %d | %s | %s |", name, w.perCentre, w.centres,
		bytes/1000, messages, float64(w.peers())/float64(len(w.nodes)), 100*cpu.Seconds()/perMember, joinTime.Seconds(), meanMax(crashed), w.suspected,
		w.falseDead, meanMax(changeTimes), w.ageQuantiles())
}

// peers returns the number of pairs of members, by direction, that exchanged
// messages in the steady phase.
func (w *world) peers() int {
	sum := 0
	for _, n := range w.nodes {
		sum += len(n.peers)
	}
	return sum
}

func meanMax(list []time.Duration) string {
	var sum, longest time.Duration
	for _, d := range list {
		sum += d
		longest = max(longest, d)
	}
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f, %.2f", sum.Seconds()/float64(len(list)), longest.Seconds())
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
