package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site holds the figures of a users' site file that settings name.
type site struct {
	area          string
	zones         []string
	frontMemoryMB int
	catchUpS      float64
}

var (
	phcc    = site{area: "prairie", zones: []string{"regina", "saskatoon", "brandon"}, frontMemoryMB: 284, catchUpS: 4.5}
	kartvel = site{area: "tbilisi", zones: []string{"vake", "saburtalo", "didube", "isani"}, frontMemoryMB: 134, catchUpS: 4.8}
)

func (s site) zoneTable() string {
	var b strings.Builder
	for _, zone := range s.zones {
		fmt.Fprintf(&b, "%s = %q\n", zone, s.area)
	}
	return b.String()
}

// front is one front machine: a process of the deploy file's role front, which the
// stand-in of the platform starts again after it has ended.
type front struct {
	name, zone, ip       string
	frontend, ready      string
	settings, logPath    string
	bootstrap            bool
	storeAddress         string
	internalPort         int
	site                 site
	mu                   sync.Mutex
	command              *exec.Cmd
	exited               chan struct{}
	startedAt, stoppedAt time.Time
	misses               int
	inRotation           bool
	closed               bool
}

const (
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = time.Second
	// maxDuration bounds a case, with the time that it takes to end.
	maxDuration = 115 * time.Second
)

func freePort(ip string) int {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// rig is a small deployment: a store, workers, and fronts as separate processes.
type rig struct {
	dir    string
	store  *store
	fronts []*front
	site   site
	zones  []string
	record *record
}

func newRig(rec *record, at site) *rig {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun(err)
	}
	s, err := startStore(rec)
	if err != nil {
		cannotRun(err)
	}
	g := &rig{dir: dir, store: s, record: rec, site: at, zones: at.zones}
	time.AfterFunc(maxDuration, func() {
		g.close()
		cannotRun(errors.New("it takes too long"))
	})
	return g
}

func (g *rig) addFront() *front {
	i := len(g.fronts)
	// Each run has loopback addresses of its own.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, i+1)
	f := &front{
		name: fmt.Sprintf("front-%d", i+1), zone: g.zones[i%len(g.zones)], ip: ip, bootstrap: true,
		storeAddress: g.store.address, internalPort: freePort(ip), site: g.site,
		settings: filepath.Join(g.dir, fmt.Sprintf("front-%d.toml", i+1)),
		logPath:  filepath.Join(g.dir, fmt.Sprintf("front-%d.log", i+1)),
	}
	f.frontend = net.JoinHostPort(ip, strconv.Itoa(freePort(ip)))
	f.ready = net.JoinHostPort(ip, strconv.Itoa(freePort(ip)))
	g.fronts = append(g.fronts, f)
	return f
}

func (f *front) writeSettings() error {
	text := fmt.Sprintf(`nodeName = %q
role = "front"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = %q
internalPorts = [%d,%d]
seeds = []
bootstrap = %v
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[zones]
%s[listen]
frontend = %q
readiness = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = %v
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
finishS = 10
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOverage = 0.1
fencingEnforced = false
leaseMs = 3000
thawMs = 300
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, f.name, f.ip, f.zone, f.site.area, f.internalPort, f.internalPort, f.bootstrap, f.site.zoneTable(), f.frontend, f.ready, f.site.frontMemoryMB, f.site.catchUpS, f.storeAddress)
	return os.WriteFile(f.settings, []byte(text), 0o644)
}

// deployCommand is the command of the role front in deploy/system.toml.
var deployCommand = []string{"target/berylfalld", "--role", "front"}

func (f *front) start() error {
	if err := f.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(f.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(deployCommand[0], deployCommand[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLFALL_SETTINGS=" + f.settings}
	c.Stdout, c.Stderr = log, log
	// The process ends with this one, whatever happens.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.command, f.exited, f.startedAt, f.stoppedAt = c, make(chan struct{}), time.Now(), time.Time{}
	f.bootstrap = false
	exited := f.exited
	f.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		f.stoppedAt = time.Now()
	}
	_ = f.command.Process.Signal(s)
}

// restart is what the platform does at a planned stop: SIGTERM, SIGKILL after graceS, and
// a new start after a short delay.
func (f *front) restart(kill bool) error {
	const grace = 8 * time.Second
	f.mu.Lock()
	exited := f.exited
	f.mu.Unlock()
	if kill {
		f.signal(syscall.SIGKILL)
	} else {
		f.signal(syscall.SIGTERM)
	}
	select {
	case <-exited:
	case <-time.After(grace):
		f.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(restartDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	f.mu.Unlock()
	err := f.start()
	f.mu.Lock()
	return err
}

func (f *front) isExited() bool {
	f.mu.Lock()
	exited := f.exited
	f.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// inTouch reports whether the process runs, was not signalled and has run for stableMs.
func (f *front) inTouch(now time.Time) bool {
	const stable = 3 * time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.startedAt) > stable && f.stoppedAt.IsZero()
}

func (f *front) memory() (rssMB, peakMB float64) {
	f.mu.Lock()
	pid := f.command.Process.Pid
	f.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			rssMB = kb / 1024
		case "VmHWM:":
			peakMB = kb / 1024
		}
	}
	return rssMB, peakMB
}

// watchReadiness plays the load balancer: once a second it asks each front, and two misses
// take it out of the rotation.
func (g *rig) watchReadiness(stop <-chan struct{}) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, f := range g.fronts {
			go func() {
				ok := false
				if r, err := client.Get("http://" + f.ready + "/api/readyz"); err == nil {
					ok = r.StatusCode == http.StatusOK
					_ = r.Body.Close()
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				if ok {
					f.misses, f.inRotation = 0, true
					return
				}
				f.misses++
				if f.misses >= 2 {
					f.inRotation = false
				}
			}()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (g *rig) ready() []*front {
	var list []*front
	for _, f := range g.fronts {
		f.mu.Lock()
		if f.inRotation {
			list = append(list, f)
		}
		f.mu.Unlock()
	}
	return list
}

// pick returns a front in rotation, another one than not if there is one. If none is in
// rotation, it returns any.
func (g *rig) pick(not *front) *front {
	list := g.ready()
	if len(list) == 0 {
		list = g.fronts
	}
	for range 20 {
		if f := list[rand.IntN(len(list))]; f != not {
			return f
		}
	}
	return list[0]
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// startAll starts all fronts and waits until all are ready.
func (g *rig) startAll() {
	for _, f := range g.fronts {
		if err := f.start(); err != nil {
			cannotRun(err)
		}
	}
	for range 200 {
		n := 0
		for _, f := range g.fronts {
			if r, err := http.Get("http://" + f.ready + "/api/readyz"); err == nil {
				if r.StatusCode == http.StatusOK {
					n++
				}
				_ = r.Body.Close()
			}
		}
		if n == len(g.fronts) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.close()
	cannotRun(errors.New("the fronts did not become ready"))
}

// close ends all processes and removes the temporary folder.
func (g *rig) close() {
	for _, f := range g.fronts {
		f.mu.Lock()
		f.closed = true
		f.mu.Unlock()
		if f.command != nil {
			f.signal(syscall.SIGKILL)
			<-f.exited
		}
	}
	g.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(g.dir)
	}
}
