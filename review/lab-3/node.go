package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// zones are those of a small deployment, each in a region of its own.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// node is a machine with one process of the tier.
type node struct {
	name, zone, file      string
	front, ready, control string
	metricsPort           int
	seeds                 []string
	process               *exec.Cmd
	exited                chan error
	log                   *os.File
	startedAt             time.Time
}

// newNodes returns n machines that know each other as seeds. Nothing runs on them yet.
func newNodes(n int, dir string) []*node {
	var nodes []*node
	var seeds []string
	for i := range n {
		p := freePorts(4)
		d := &node{
			name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)],
			front: addr(p[0]), ready: addr(p[1]), control: addr(p[2]), metricsPort: p[3],
		}
		d.file = filepath.Join(dir, d.name+".toml")
		log, err := os.Create(filepath.Join(dir, d.name+".log"))
		check(err)
		d.log = log
		nodes = append(nodes, d)
		if i < 3 {
			seeds = append(seeds, d.control)
		}
	}
	for _, d := range nodes {
		d.seeds = seeds
	}
	return nodes
}

// nodeIP is the loopback address of all nodes. It depends on the process, so that runs at the same time share no ports.
var nodeIP = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, 1+os.Getpid()/250%250)

func addr(port int) string { return fmt.Sprintf("%s:%d", nodeIP, port) }

// Ports of the nodes. They lie below those from which the system takes the ports of outgoing connections.
const (
	lowestPort = 20000
	portCount  = 12000
)

var usedPorts = map[int]bool{}

// freePorts returns ports that nothing listens on and that no earlier call has returned.
func freePorts(n int) []int {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		if tries > 1000 {
			fail("no free ports")
		}
		port := lowestPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", addr(port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		ports = append(ports, port)
	}
	return ports
}

// writeSettings writes the settings file in one step, as DEPLOY.md shows it.
func (d *node) writeSettings(storeAddress string) {
	quoted := make([]string, len(d.seeds))
	for i, s := range d.seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	var zoneLines strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneLines, "%s = \"region-%s\"\n", z, z)
	}
	text := fmt.Sprintf(`nodeName = %q
role = "tier"
machineClass = "front"
serves = ["front","control_plane"]
ip = %q
zone = %q
region = "region-%s"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = %d
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
[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, d.name, nodeIP, d.zone, d.zone, d.metricsPort, d.metricsPort+1, strings.Join(quoted, ","), heartbeat.Milliseconds(), zoneLines.String(),
		d.front, d.ready, d.control, storeAddress)
	check(os.WriteFile(d.file+".new", []byte(text), 0o600))
	check(os.Rename(d.file+".new", d.file))
}

// start starts the program with the command of the deploy file.
func (d *node) start() {
	d.process = exec.Command(program, "platform")
	d.process.Env = []string{"CROCUSWING_NODE_FILE=" + d.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.process.Stdout, d.process.Stderr = d.log, d.log
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(d.process.Start())
	d.startedAt = time.Now()
	d.exited = make(chan error, 1)
	go func(p *exec.Cmd, exited chan<- error) { exited <- p.Wait() }(d.process, d.exited)
}

// awaitReady waits until the readiness check answers 200.
func (d *node) awaitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + "/v1/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	text, _ := os.ReadFile(d.log.Name())
	note("log of %s: %s", d.name, text)
	fail(d.name + " did not become ready")
}

func (d *node) kill() {
	if d.process != nil {
		_ = d.process.Process.Kill()
	}
}
