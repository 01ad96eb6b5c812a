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

// Ports of an instance, which has an address of its own.
const (
	callerPort  = 8104
	readyPort   = 8108
	peerPort    = 8106
	metricsPort = 7380
)

// MaxInstances is the number of addresses that differ in the last byte, without the lowest and the highest few.
const MaxInstances = 250

const (
	readinessInterval = 250 * time.Millisecond
	readinessTimeout  = time.Second
	// unreadyThreshold in a row take an instance out of rotation.
	unreadyThreshold = 2
)

// Instance is a process of the program under test with proxies to its callers and to the store.
type Instance struct {
	*process.Process
	Name string
	// CallerProxy is in front of its address for callers, StorePath between it and the store.
	CallerProxy, StoreProxy *proxy.Proxy

	site         *Site
	settingsFile string
	settings     deployment.Settings
	logFile      string
	mu           sync.Mutex // held while the file cannot be used
	inRotation   atomic.Bool
	isClosed     atomic.Bool
}

// loopbackIP gives an address of the loopback range, unlikely to be used by another soak.
func loopbackIP(i int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id%250, 1+id/250%250, 1+i)
}

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

// pollReadiness asks whether the instance takes requests, as a balancer does.
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

// InRotation tells whether the instance gets new connections.
func (i *Instance) InRotation() bool { return i.inRotation.Load() }

// LogFile is the file with the output of all its processes.
func (i *Instance) LogFile() string { return i.logFile }

// ReloadSettings changes the settings file in a way that does not matter and tells the process.
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

// CorruptSettings writes a settings file that cannot be used for a while and tells the process, which keeps its settings. No process starts
// meanwhile, since it could not.
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

// Start starts the process.
func (i *Instance) Start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.Process.Start()
}

func (i *Instance) close() {
	i.isClosed.Store(true)
	i.Close()
	_ = i.CallerProxy.Close()
	_ = i.StoreProxy.Close()
}
