//go:build review

// Package rig2 starts the nodes of a small fleet as separate processes, with the store,
// the backend servers and the callers as stand-ins in the calling process. The cases of
// the second review use it.
package rig2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/platform/standin"
)

// Ports of every machine, as in the example of the settings on the users' pages.
const (
	readyPort, callersPort, reportsPort, backendPort = 8140, 8141, 8146, 8147
	peersPort, metricsPort, storePort                = 7660, 9464, 8142
	// Ports of the proxies of Links.
	peersLinkPort, storeLinkPort = 7670, 8142
)

// Exit statuses of a case.
const (
	Held, Broken, NotRun = 0, 1, 2
)

// Record is the file that a case writes what it saw to.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

// Logf writes a line with the time since the record began.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.f.WriteString(line)
}

// Limits are the resources and bounds in the settings of all machines.
type Limits struct {
	MemoryMB, CPUShare, LinkMbps           float64
	Drain, Grace, ConfigApply, ReportEvery float64
}

// SmallSite returns the limits of the site colmeia-sul.
func SmallSite() Limits {
	return Limits{MemoryMB: 284, CPUShare: 0.32, LinkMbps: 1000, Drain: 2, Grace: 6, ConfigApply: 2, ReportEvery: 0.87}
}

// Machine is one machine: the process of a node and the backend server beside it.
type Machine struct {
	Name, IP, Service string
	Backend           *standin.Backend
	rig               *Rig
	settings, log     string

	limits Limits
	// cut is true while the machine is cut off; see Cut.
	cut atomic.Bool
	// sends and receives pace the machine's link.
	sends, receives pacer
	mu              sync.Mutex
	process         *os.Process
	exited          chan struct{}
	// state is how the last process ended, nil while it runs.
	state *os.ProcessState
	// killed is true if the case ended the last process.
	killed bool
}

// Callers is the address that clients on the machine send requests to.
func (m *Machine) Callers() string { return address(m.IP, callersPort) }

// Reports is the address for the backend server's calls.
func (m *Machine) Reports() string { return address(m.IP, reportsPort) }

// BackendAddress is the address of the backend server.
func (m *Machine) BackendAddress() string { return address(m.IP, backendPort) }

// PeersAddress is the address that other nodes dial.
func (m *Machine) PeersAddress() string { return address(m.IP, peersPort) }

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Rig is the fleet of one case.
type Rig struct {
	*Record
	Trouble  bool
	Store    *standin.Store
	Machines []*Machine
	dir      string
	binary   string
	storeIP  string
	storeSrv *http.Server
	limits   Limits
	cleanup  []func()
	// Links puts a proxy in front of each node's address for peers, and between each node and
	// the store, so that machines can be cut off. It is set before machines are added.
	Links bool
	// LinkMbps is the bandwidth of each machine's link to the others, each way, in Mbit/s; 0
	// does not bound it. It needs Links.
	LinkMbps float64
}

// Main runs a case and ends the process with its status. The first argument is the folder
// of the case; record.txt is written there. The working directory is the repository's root.
func Main(run func(r *Rig) int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "expected the folder of the case")
		os.Exit(NotRun)
	}
	os.Exit(runCase(os.Args[1], run))
}

func runCase(folder string, run func(r *Rig) int) (status int) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	r := &Rig{Record: &Record{f: f, began: time.Now()}, dir: dir, binary: "target/fulmarhinge", Trouble: os.Getenv("TROUBLE") != "0"}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	defer r.stop()
	defer func() {
		if p := recover(); p != nil {
			r.Logf("the case could not run: %v", p)
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			status = NotRun
		}
	}()
	r.Logf("trouble: %v", r.Trouble)
	status = run(r)
	r.Logf("status %d", status)
	return status
}

// Must ends the case as one that could not run if err is not nil.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// Defer registers what is to be done when the case ends.
func (r *Rig) Defer(f func()) { r.cleanup = append(r.cleanup, f) }

func (r *Rig) stop() {
	for i := len(r.cleanup) - 1; i >= 0; i-- {
		r.cleanup[i]()
	}
	for _, m := range r.Machines {
		m.Kill()
		if m.Backend != nil {
			m.Backend.Stop()
		}
	}
	if r.storeSrv != nil {
		_ = r.storeSrv.Close()
	}
}

// StartStore starts the store with the operator's first configuration.
func (r *Rig) StartStore(config string) {
	r.storeIP = standin.Loopback(200)
	r.Store = standin.NewStore(1)
	r.Store.Put("config", "main", config)
	ln, err := net.Listen("tcp", address(r.storeIP, storePort))
	Must(err)
	r.storeSrv = &http.Server{Handler: r.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = r.storeSrv.Serve(ln) }()
}

// AddMachine prepares a machine with a backend server of the service.
func (r *Rig) AddMachine(service string, l Limits, o standin.BackendOptions) *Machine {
	i := len(r.Machines)
	m := &Machine{Name: fmt.Sprintf("sidecar-%d", i+1), IP: standin.Loopback(i + 1), Service: service, rig: r}
	m.settings, m.log = filepath.Join(r.dir, m.Name+".json"), filepath.Join(r.dir, m.Name+".log")
	if r.Links {
		r.startLink(address(m.IP, peersLinkPort), m.PeersAddress(), m)
		r.startLink(address(m.IP, storeLinkPort), address(r.storeIP, storePort), m)
	}
	m.limits = l
	r.writeSettings(m, l, true)
	o.ID, o.Service, o.Listen, o.Address, o.Reports = fmt.Sprintf("i-%06x", 0xa0b000+i), service, m.BackendAddress(), m.BackendAddress(), m.Reports()
	o.Period = time.Duration(l.ReportEvery * float64(time.Second))
	o.Logger = hclog.NewNullLogger()
	m.Backend = standin.NewBackend(o)
	r.Machines = append(r.Machines, m)
	return m
}

// writeSettings writes the settings file of a machine: what deploy/settings.json.tmpl gives.
// First is true only when the whole system starts for the first time.
func (r *Rig) writeSettings(m *Machine, l Limits, first bool) {
	listen, store := map[string]any{
		"callers": m.Callers(), "reports": m.Reports(), "ready": address(m.IP, readyPort),
		"peers": m.PeersAddress(), "metrics": address(m.IP, metricsPort),
	}, address(r.storeIP, storePort)
	if r.Links {
		listen["peers_advertised"], listen["peers_from"] = address(m.IP, peersLinkPort), m.IP
		store = address(m.IP, storeLinkPort)
	}
	b, err := json.Marshal(map[string]any{
		"name": m.Name, "zone": "sul-poa", "region": "sul", "service": m.Service, "backend_address": m.BackendAddress(),
		"listen":    listen,
		"platform":  map[string]any{"address": store, "writes_per_second": 400, "reads_per_second": 2000, "new_fleet": first},
		"resources": map[string]any{"memory_mb": l.MemoryMB, "cpu_share": l.CPUShare, "link_mbps": l.LinkMbps},
		"bounds": map[string]any{
			"drain_seconds": l.Drain, "grace_seconds": l.Grace, "config_apply_seconds": l.ConfigApply, "max_hold_seconds": 10,
			"retry_ratio": 0.2, "retry_extra": 56, "retry_window_seconds": 10, "report_period_seconds": l.ReportEvery,
		},
	})
	Must(err)
	Must(os.WriteFile(m.settings, b, 0o644))
}

// Start starts the process of the machine's node with the command of the deploy file.
func (m *Machine) Start() {
	m.mu.Lock()
	again := m.process != nil
	m.mu.Unlock()
	if again {
		m.rig.writeSettings(m, m.limits, false)
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	Must(err)
	defer log.Close()
	cmd := exec.Command(m.rig.binary, "sidecar")
	cmd.Env = append(os.Environ(), "FULMARHINGE_CONFIG="+m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// No node outlives the case, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(cmd.Start())
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.state, m.killed = cmd.Process, exited, nil, false
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		m.mu.Lock()
		m.state = cmd.ProcessState
		m.mu.Unlock()
		close(exited)
	}()
}

// StartAll starts all backend servers and nodes.
func (r *Rig) StartAll() {
	for _, m := range r.Machines {
		Must(m.Backend.Start())
		m.Start()
	}
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil && m.state == nil {
		_ = m.process.Signal(s)
	}
}

// Kill ends the machine's process and waits for its end.
func (m *Machine) Kill() {
	m.mu.Lock()
	m.killed = true
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return
	}
	m.Signal(syscall.SIGKILL)
	<-exited
}

// EndedByItself returns how the process ended if the case did not end it, else "".
func (m *Machine) EndedByItself() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == nil || m.killed {
		return ""
	}
	return m.state.String()
}

// Memory returns the process's resident memory and its peak in MB; zeros if it has ended.
func (m *Machine) Memory() (resident, peak int) {
	m.mu.Lock()
	pid := m.process.Pid
	m.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmRSS:":
			resident = kb >> 10
		case "VmHWM:":
			peak = kb >> 10
		}
	}
	return resident, peak
}

// Ready reports whether the node answers its readiness check with 200.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address(m.IP, readyPort) + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready.
func (r *Rig) AwaitReady(timeout time.Duration) {
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range r.Machines {
			if m.Ready() {
				ready++
			}
		}
		if ready == len(r.Machines) {
			return
		}
		if time.Since(began) > timeout {
			panic(fmt.Sprintf("only %d nodes are ready after %v", ready, timeout))
		}
	}
}

// Leader returns the name of the node that leads, as the store's document of the fleet says.
func (r *Rig) Leader() string {
	resp, err := http.Get("http://" + address(r.storeIP, storePort) + "/objects/fleet/main")
	Must(err)
	defer resp.Body.Close()
	var document struct {
		Spec struct {
			Leader struct {
				Name string `json:"name"`
			} `json:"leader"`
		} `json:"spec"`
	}
	Must(json.NewDecoder(resp.Body).Decode(&document))
	return document.Spec.Leader.Name
}
