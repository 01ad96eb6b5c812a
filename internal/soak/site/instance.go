package site

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/soak/process"
	"crocuswing/internal/standin/proxy"
)

// Ports of an instance. They are the same for all instances, since each has its own IP address.
const (
	callerPort  = 8104
	readyPort   = 8108
	peerPort    = 8106
	metricsPort = 7380
)

// MaxInstances is the maximum number of instances. Their addresses differ only in the last byte, of which 0 and the values above
// 250 are not used.
const MaxInstances = 250

const (
	readinessInterval = 250 * time.Millisecond
	readinessTimeout  = time.Second
	// unreadyThreshold is the number of consecutive failed probes that take an instance out of rotation.
	unreadyThreshold = 2
)

// Instance is a process of the program under test. Its connections from callers and to the store pass through proxies.
type Instance struct {
	*process.Process
	Name string
	// CallerProxy forwards to the caller address of the instance, StoreProxy from the instance to the store.
	CallerProxy, StoreProxy *proxy.Proxy

	site         *Site
	settingsFile string
	settings     deployment.Settings
	logFile      string
	mu           sync.Mutex // held while the settings file is changed or invalid
	inRotation   atomic.Bool
	isClosed     atomic.Bool
}

// loopbackIP returns the address of instance i in the loopback range. It depends on the process ID, so that soak tests that run
// at the same time rarely share addresses.
func loopbackIP(i int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id%250, 1+id/250%250, 1+i)
}

// newInstance creates the proxies, the settings file and the process of instance i and begins to poll its readiness. It does not
// start the process.
func newInstance(s *Site, i int, seeds []string, store string, program []string, dir string) (*Instance, error) {
	in := &Instance{Name: fmt.Sprintf("instance-%d", i+1), site: s}
	in.settingsFile = filepath.Join(dir, in.Name+".settings")
	in.logFile = filepath.Join(dir, in.Name+".log")
	var err error
	if in.StoreProxy, err = proxy.New(store); err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", loopbackIP(i), port) }
	if in.CallerProxy, err = proxy.New(address(callerPort)); err != nil {
		return nil, err
	}
	domain := Domains[i%len(Domains)]
	in.settings = deployment.Settings{
		Instance: in.Name, FailureDomain: domain, Region: regionByDomain[domain], Regions: regionByDomain, Seeds: seeds,
		CallerAddress: address(callerPort), ReadyAddress: address(readyPort), PeerAddress: address(peerPort), MetricsAddress: address(metricsPort),
		StoreAddress: in.StoreProxy.Address(), MemoryBytes: memoryBytes, Bounds: Bounds,
	}
	if err := replaceFile(in.settingsFile, s.Settings(in.settings)); err != nil {
		return nil, err
	}
	in.Process, err = process.New(append(program[:len(program):len(program)], "-settings", in.settingsFile), in.logFile, func(detail string) {
		s.AddFinding("no instance ends by itself", "", in.Name+": "+detail)
	})
	if err != nil {
		return nil, err
	}
	go in.pollReadiness()
	return in, nil
}

// pollReadiness polls the readiness endpoint of the instance, as a load balancer does, until the instance is closed.
func (i *Instance) pollReadiness() {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := unreadyThreshold
	for !i.isClosed.Load() {
		resp, err := client.Get("http://" + i.settings.ReadyAddress + i.site.ReadyPath())
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			failures = 0
		} else {
			failures++
		}
		i.inRotation.Store(failures < unreadyThreshold)
		time.Sleep(readinessInterval)
	}
}

// InRotation reports whether the instance receives new connections from the load balancer.
func (i *Instance) InRotation() bool { return i.inRotation.Load() }

// LogFile returns the path of the file that holds the output of all processes of the instance.
func (i *Instance) LogFile() string { return i.logFile }

// ReloadSettings writes settings that differ from the initial ones at most in the memory limit and sends SIGHUP to the process.
func (i *Instance) ReloadSettings(seed uint64) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	settings := i.settings
	settings.MemoryBytes += int64(seed%16) << 20
	if err := replaceFile(i.settingsFile, i.site.Settings(settings)); err != nil {
		return err
	}
	i.Signal(syscall.SIGHUP)
	return nil
}

// CorruptSettings writes an invalid settings file, sends SIGHUP to the process, which keeps its settings, and restores the file
// after d. Start blocks until then, since a process cannot start with an invalid file.
func (i *Instance) CorruptSettings(d time.Duration) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := replaceFile(i.settingsFile, []byte("nodeName = ")); err != nil {
		return err
	}
	i.Signal(syscall.SIGHUP)
	time.Sleep(d)
	return replaceFile(i.settingsFile, i.site.Settings(i.settings))
}

// Start starts the process. It blocks while the settings file is invalid.
func (i *Instance) Start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.Process.Start()
}

// close stops the polling and the process and closes the proxies.
func (i *Instance) close() {
	i.isClosed.Store(true)
	i.Close()
	_ = i.CallerProxy.Close()
	_ = i.StoreProxy.Close()
}
