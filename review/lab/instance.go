package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// instance is one process of the system, started with the command of the deploy file.
type instance struct {
	name, zone, region               string
	front, ready, control, metrics   string
	settings, program, root, logPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// settingsOptions are what the cases vary in the settings of an instance.
type settingsOptions struct {
	seeds   []string
	zones   map[string]string
	storeAt string
	extra   string // further lines of the section [bounds]
}

// Ports of instances are chosen from this range, which lies below that of outgoing connections.
const firstPort, portCount = 12000, 18000

// freeAddress returns a loopback address with a port that nobody uses.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))); err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", err
}

func newInstance(dir, root, name, zone, region string) (*instance, error) {
	in := &instance{
		name: name, zone: zone, region: region, root: root, program: filepath.Join(root, "target", "crocuswing"),
		settings: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log"),
	}
	for _, a := range []*string{&in.front, &in.ready, &in.control, &in.metrics} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return in, nil
}

// writeSettings writes the settings file, with the figures of DEPLOY.md.
func (in *instance) writeSettings(o settingsOptions) error {
	_, port, _ := net.SplitHostPort(in.metrics)
	seeds, zones := "", ""
	for i, s := range o.seeds {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", s)
	}
	for zone, region := range o.zones {
		zones += fmt.Sprintf("%s = %q\n", zone, region)
	}
	text := fmt.Sprintf(`nodeName = %q
role = "tier"
machineClass = "front"
serves = ["front","control_plane"]
ip = "127.0.0.1"
zone = %q
region = %q
internalPorts = [%s, %s]
seeds = [%s]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
%s[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.8
cores = 1
memoryMb = 544
maxFds = 8200
linkMbps = 2000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 1
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lostSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
%s[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, in.name, in.zone, in.region, port, port, seeds, zones, in.front, in.ready, in.control, o.extra, o.storeAt)
	return os.WriteFile(in.settings, []byte(text), 0o600)
}

func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	log, err := os.OpenFile(in.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(in.program, "platform")
	cmd.Dir = in.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSWING_NODE_FILE=" + in.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	in.cmd, in.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits until it is gone.
func (in *instance) kill() {
	in.signal(syscall.SIGKILL)
	in.mu.Lock()
	done := in.done
	in.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (in *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + in.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready.
func waitReady(all []*instance, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for _, in := range all {
		for !in.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
