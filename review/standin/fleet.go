package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is a process of the project, started with the command of the deploy file.
type instance struct {
	name, zone, region string
	front, ready       string
	control            string
	file               string
	cmd                *exec.Cmd
	ended              chan struct{}
}

// fleet is a small deployment: instances in three zones of three regions.
type fleet struct {
	dir       string
	store     *store
	instances []*instance
	bounds    string
}

var zones = [][2]string{{"south-a", "south"}, {"south-a", "south"}, {"central-a", "central"}, {"north-a", "north"}}

// usedPorts are the ports that freePort has returned.
var usedPorts = make(map[int]bool)

// freePort returns a free port below those that the system gives to outgoing connections.
func freePort() int {
	for {
		port := 11000 + rand.Intn(20000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		return port
	}
}

// newFleet prepares the settings files of n instances.
func newFleet(dir string, st *store, n int) *fleet {
	f := &fleet{dir: dir, store: st}
	var seeds []string
	ports := make([]int, 0, n)
	for i := range n {
		in := &instance{
			name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)][0], i+1), zone: zones[i%len(zones)][0], region: zones[i%len(zones)][1],
			front: fmt.Sprintf("127.0.0.1:%d", freePort()), ready: fmt.Sprintf("127.0.0.1:%d", freePort()), control: fmt.Sprintf("127.0.0.1:%d", freePort()),
			file: filepath.Join(dir, fmt.Sprintf("settings-%d.toml", i)),
		}
		ports = append(ports, freePort())
		f.instances = append(f.instances, in)
		if i == 0 || i == 2 || i == 3 { // one of each zone
			seeds = append(seeds, fmt.Sprintf("%q", in.control))
		}
	}
	for i, in := range f.instances {
		text := fmt.Sprintf(settingsText, in.name, in.zone, in.region, ports[i], ports[i]+15, strings.Join(seeds, ","), in.front, in.ready, in.control, st.listen(i))
		check(os.WriteFile(in.file, []byte(text), 0o600))
	}
	return f
}

const settingsText = `nodeName = %q
role = "tier"
machineClass = "front"
serves = ["front","control_plane"]
ip = "127.0.0.1"
zone = %q
region = %q
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
south-a = "south"
central-a = "central"
north-a = "north"
[listen]
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
[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// start starts the process of an instance.
func (f *fleet) start(in *instance) {
	program, err := filepath.Abs("target/crocuswing")
	check(err)
	log, err := os.OpenFile(in.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(program, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CROCUSWING_NODE_FILE=" + in.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	in.cmd, in.ended = cmd, make(chan struct{})
	ended := in.ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
}

// startAll starts all instances and waits until they are ready.
func (f *fleet) startAll() {
	for _, in := range f.instances {
		f.start(in)
	}
	for _, in := range f.instances {
		if !in.awaitReady(15 * time.Second) {
			fail("instance %s is not ready", in.name)
		}
	}
}

func (in *instance) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + in.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (in *instance) signal(s syscall.Signal) { _ = in.cmd.Process.Signal(s) }

// stopAll kills all processes that were started.
func (f *fleet) stopAll() {
	for _, in := range f.instances {
		if in.cmd != nil {
			_ = in.cmd.Process.Signal(syscall.SIGCONT)
			_ = in.cmd.Process.Kill()
			<-in.ended
		}
	}
}
