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
	readyEvery = 250 * time.Millisecond
	readyLimit = time.Second
	// readyMisses in a row take an instance out of rotation.
	readyMisses = 2
)

// Instance is a process of the program under test with proxies to its callers and to the store.
type Instance struct {
	*process.Process
	Name string
	// Callers is in front of its address for callers, StorePath between it and the store.
	Callers, StorePath *proxy.Proxy

	site     *Site
	file     string
	settings deployment.Settings
	log      string
	mu       sync.Mutex // held while the file cannot be used
	inTurn   atomic.Bool
	isClosed atomic.Bool
}

// ip gives an address of the loopback range, unlikely to be used by another soak.
func ip(i int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id%250, 1+id/250%250, 1+i)
}

func newInstance(s *Site, i int, seeds []string, store string, program []string, dir string) (*Instance, error) {
	in := &Instance{Name: fmt.Sprintf("instance-%d", i+1), site: s}
	in.file = filepath.Join(dir, in.Name+".settings")
	in.log = filepath.Join(dir, in.Name+".log")
	var err error
	if in.StorePath, err = proxy.New(store); err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip(i), port) }
	if in.Callers, err = proxy.New(at(callerPort)); err != nil {
		return nil, err
	}
	domain := Domains[i%len(Domains)]
	in.settings = deployment.Settings{
		Instance: in.Name, FailureDomain: domain, Region: domains[domain], Regions: domains, Seeds: seeds,
		CallerAddress: at(callerPort), ReadyAddress: at(readyPort), PeerAddress: at(peerPort), MetricsAddress: at(metricsPort),
		StoreAddress: in.StorePath.Address(), MemoryBytes: memoryBytes, Bounds: Bounds,
	}
	if err := write(in.file, s.Settings(in.settings)); err != nil {
		return nil, err
	}
	in.Process, err = process.New(append(program[:len(program):len(program)], "-settings", in.file), in.log, func(detail string) {
		s.Find("no instance ends by itself", "", in.Name+": "+detail)
	})
	if err != nil {
		return nil, err
	}
	go in.watch()
	return in, nil
}

// watch asks whether the instance takes requests, as a balancer does.
func (i *Instance) watch() {
	client := &http.Client{Timeout: readyLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := readyMisses
	for !i.isClosed.Load() {
		resp, err := client.Get("http://" + i.settings.ReadyAddress + i.site.ReadyPath())
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		i.inTurn.Store(misses < readyMisses)
		time.Sleep(readyEvery)
	}
}

// InRotation tells whether the instance gets new connections.
func (i *Instance) InRotation() bool { return i.inTurn.Load() }

// Log is the file with the output of all its processes.
func (i *Instance) Log() string { return i.log }

// Reload changes the settings file in a way that does not matter and tells the process.
func (i *Instance) Reload(seed uint64) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	d := i.settings
	d.MemoryBytes += int64(seed%16) << 20
	if err := write(i.file, i.site.Settings(d)); err != nil {
		return err
	}
	i.Signal(syscall.SIGHUP)
	return nil
}

// Spoil writes a settings file that cannot be used for a while and tells the process, which keeps its settings. No process starts
// meanwhile, since it could not.
func (i *Instance) Spoil(d time.Duration) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := write(i.file, []byte("nodeName = ")); err != nil {
		return err
	}
	i.Signal(syscall.SIGHUP)
	time.Sleep(d)
	return write(i.file, i.site.Settings(i.settings))
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
	_ = i.Callers.Close()
	_ = i.StorePath.Close()
}
