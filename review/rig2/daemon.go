package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// daemon is an entry daemon under test, started with the command of the deploy file.
type daemon struct {
	name, zone           string
	front, ready, metric string
	memoryMB             int
	command              *exec.Cmd
	ended                chan struct{}
	log                  *os.File
	boot                 string
}

// daemonSettings are what differs between the daemons of a case.
type daemonSettings struct {
	name, zone string
	store      string
	memoryMB   int
	cpuShare   float64
	maxFDs     int
	bounds     map[string]any
	bootstrap  bool
	dir        string // for the settings and the log
}

// freePorts returns n free ports of the loopback address in ascending order.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(ports)
	return ports, nil
}

// startDaemon writes the settings of a daemon and starts it.
func startDaemon(s daemonSettings) (*daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	zones := map[string]string{}
	for _, zone := range siteZones {
		zones[zone] = "punjab"
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	d := &daemon{name: s.name, zone: s.zone, front: address(0), ready: address(1), metric: address(2), memoryMB: s.memoryMB}
	settings := map[string]any{
		"node_name": s.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": "127.0.0.1",
		"zone": s.zone, "region": zones[s.zone], "zones": zones,
		"listen":         map[string]string{"front": d.front, "readiness": d.ready},
		"internal_ports": []int{ports[2], ports[3]}, "seeds": []string{}, "bootstrap": s.bootstrap, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": s.cpuShare, "cores": 1, "memory_mb": s.memoryMB, "max_fds": s.maxFDs, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": s.bounds,
		"platform": map[string]any{
			"address": s.store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	d.boot = filepath.Join(s.dir, s.name+".json")
	if err := os.WriteFile(d.boot, text, 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(s.dir, s.name+".log")); err != nil {
		return nil, err
	}
	return d, d.run()
}

// run starts the process.
func (d *daemon) run() error {
	d.command = exec.Command("target/marigoldleverd", "-entry")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "MARIGOLDLEVER_BOOT=" + d.boot}
	d.command.Stdout, d.command.Stderr = d.log, d.log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	command, ended := d.command, d.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// lives reports whether the process has not ended.
func (d *daemon) lives() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// kill ends the process.
func (d *daemon) kill() {
	_ = d.command.Process.Kill()
	<-d.ended
}

// isReady reports whether the daemon answers GET /ready with 200.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if !d.lives() {
			return fmt.Errorf("%s ended", d.name)
		}
		if d.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.name, timeout)
}

// memory returns a field of the process's status in MB, such as VmRSS or VmHWM; 0 if it has ended.
func (d *daemon) memory(field string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if name != field {
			continue
		}
		kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
		return kb / 1024
	}
	return 0
}
