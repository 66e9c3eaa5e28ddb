package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// graceSeconds is the time that the platform leaves between SIGTERM and SIGKILL.
const graceSeconds = 6

// deployment holds the settings in which the users' deployments differ.
type deployment struct {
	cpuShare                                 float64
	memoryMB                                 int
	contactMS, ackMS, drainMS, configApplyMS int
}

var (
	abayWiki      = deployment{cpuShare: 0.4, memoryMB: 284, contactMS: 4000, ackMS: 5000, drainMS: 3000, configApplyMS: 3000}
	abayWikiGrown = deployment{cpuShare: 0.192, memoryMB: 184, contactMS: 5000, ackMS: 8000, drainMS: 5000, configApplyMS: 5000}
)

// daemon is one process of the project, started with the command of the deploy file.
type daemon struct {
	caller, readiness string
	settings          string
	log               *os.File
	command           *exec.Cmd
	exited            chan error
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	_, text, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(text)
}

// newDaemon writes the settings of a daemon into a folder.
func newDaemon(folder, name, storeAddress string, in deployment) (*daemon, error) {
	var ports [5]int
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	first, last := min(ports[3], ports[4]), max(ports[3], ports[4])
	d := &daemon{caller: address(0), readiness: address(1), settings: filepath.Join(folder, name+".json")}
	settings := map[string]any{
		"node_name": name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": "127.0.0.1",
		"zone": "zone-a", "region": "region", "zones": map[string]string{"zone-a": "region"},
		"listen":         map[string]string{"front": d.caller, "readiness": d.readiness, "control": address(2)},
		"internal_ports": []int{first, last}, "seeds": []string{}, "bootstrap": true, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": in.cpuShare, "cores": 1, "memory_mb": in.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": in.contactMS, "ack_ms": in.ackMS, "catch_up_s": 4, "drain_ms": in.drainMS, "grace_s": graceSeconds,
			"loss_slack_ms": 200, "config_apply_ms": in.configApplyMS, "downgrade_slack_ms": 250, "stretch_max_ms": 12000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "retry_budget_slack": 54, "cold_burst_factor": 1.5, "cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.settings, data, 0o600)
}

// start starts the process. Its output goes to a file beside the settings.
func (d *daemon) start() error {
	log, err := os.Create(d.settings + ".log")
	if err != nil {
		return err
	}
	d.log = log
	d.command = exec.Command("target/marigoldleverd", "-entry")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MARIGOLDLEVER_BOOT=" + d.settings}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan error, 1)
	go func() { d.exited <- d.command.Wait() }()
	return nil
}

// awaitReady waits until the daemon is ready for callers.
func (d *daemon) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + d.readiness + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready", d.settings)
}

func (d *daemon) signal(s syscall.Signal) error { return d.command.Process.Signal(s) }

// kill ends the process if it still runs.
func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Kill()
	d.log.Close()
}
