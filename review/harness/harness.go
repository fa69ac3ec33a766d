//go:build review

// Package harness starts nodes as separate processes on loopback addresses and
// provides the stand-ins that the cases share: backend servers, callers and the
// platform's store.
package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fulmarhinge/internal/sidecar"
	"fulmarhinge/platform"
	"fulmarhinge/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// HeartbeatPeriod is the report period of the example settings file.
const HeartbeatPeriod = 870 * time.Millisecond

// DrainSeconds is drainS of the site.
const DrainSeconds = 2

// Trouble reports whether the disruption of the case is to happen.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the record in the folder of a case.
func NewRecord(caseDir string) (*Record, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	return &Record{f: f, start: time.Now()}, err
}

// Since returns the time since the start of the record.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Log adds a line with the time since the start.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Ports are taken from below the range from which the system chooses those of outgoing
// connections.
const firstPort, ports = 15000, 15000

var (
	portMu sync.Mutex
	used   = map[int]bool{}
)

// Address returns a free loopback address that was not returned before.
func Address() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		port := firstPort + rand.Intn(ports)
		if used[port] {
			continue
		}
		used[port] = true
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
}

// Fleet is the nodes of a case and the store that they use.
type Fleet struct {
	Record *Record
	Store  *standin.Store
	Nodes  []*Node
	// Network carries the connections between nodes and to the store; nil if they are
	// direct.
	Network *Network
	// Wrap wraps the store's handler; nil leaves it as it is. It is set before the first node
	// is added.
	Wrap func(http.Handler) http.Handler
	// LinkMbps is the bandwidth of each machine's link in the settings; 1000 if it is 0.
	LinkMbps float64
	// MemoryMB is the memory of each machine in the settings; 284 if it is 0.
	MemoryMB int64
	dir      string
	address  string
	server   *http.Server
}

// Node is one node: its addresses and its process.
type Node struct {
	Name    string
	Service string
	// Callers, Reports, Ready, Backend and Metrics are IP:port of the node's listeners and of its
	// backend server.
	Callers, Reports, Ready, Backend, Metrics string

	settings string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// NewFleet starts the store. The configuration is the spec of config/main.
func NewFleet(r *Record, configuration string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: r, Store: standin.NewStore(1), dir: dir, address: Address()}
	ln, err := net.Listen("tcp", f.address)
	if err != nil {
		return nil, err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.Wrap != nil {
			f.Wrap(f.Store).ServeHTTP(w, r)
			return
		}
		f.Store.ServeHTTP(w, r)
	})
	f.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(ln) }()
	go f.closeOnSignal()
	f.Store.Put("config", "main", configuration)
	return f, nil
}

// AddNode writes the settings of another node. It is started with Start.
func (f *Fleet) AddNode(service string) (*Node, error) {
	n := &Node{
		Name: fmt.Sprintf("node-%d", len(f.Nodes)+1), Service: service,
		Callers: Address(), Reports: Address(), Ready: Address(), Backend: Address(), Metrics: Address(),
	}
	s := sidecar.Settings{
		Name: n.Name, Zone: "zone-1", Region: "region", Service: service, BackendAddress: n.Backend,
		Listen:    sidecar.Listen{Callers: n.Callers, Reports: n.Reports, Ready: n.Ready, Peers: Address(), Metrics: n.Metrics},
		Platform:  sidecar.Platform{Address: f.address, WritesPerSec: 400, ReadsPerSec: 2000, NewFleet: true},
		Resources: sidecar.Resources{MemoryMB: 284, CPUShare: 0.32, LinkMbps: 1000},
		Bounds: sidecar.Bounds{
			DrainSeconds: DrainSeconds, GraceSeconds: 6, ConfigApplySeconds: 2, MaxHoldSeconds: 10,
			RetryRatio: 0.2, RetryExtra: 56, RetryWindowSeconds: 10, ReportPeriodSeconds: HeartbeatPeriod.Seconds(),
		},
	}
	if f.LinkMbps > 0 {
		s.Resources.LinkMbps = f.LinkMbps
	}
	if f.MemoryMB > 0 {
		s.Resources.MemoryMB = f.MemoryMB
	}
	if f.Network != nil {
		if err := f.link(n, &s); err != nil {
			return nil, err
		}
	}
	b, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(f.dir, n.Name+".json")
	n.log = filepath.Join(f.dir, n.Name+".log")
	f.Nodes = append(f.Nodes, n)
	return n, os.WriteFile(n.settings, b, 0o600)
}

// link puts the node's connections to other nodes and to the store on the network. Each node
// has a source address of its own, by which its connections are told apart.
func (f *Fleet) link(n *Node, s *sidecar.Settings) error {
	const firstHost = 11
	source := fmt.Sprintf("127.0.0.%d", firstHost+len(f.Nodes))
	s.Listen.PeersAdvertised, s.Listen.PeersFrom = Address(), source
	byAddress := func(a net.Addr) string {
		host, _, _ := net.SplitHostPort(a.String())
		for i, other := range f.Nodes {
			if host == fmt.Sprintf("127.0.0.%d", firstHost+i) {
				return other.Name
			}
		}
		return ""
	}
	if err := f.Network.Link(s.Listen.PeersAdvertised, s.Listen.Peers, n.Name, byAddress); err != nil {
		return err
	}
	s.Platform.Address = Address()
	return f.Network.Link(s.Platform.Address, f.address, n.Name, func(net.Addr) string { return "" })
}

// Start starts the node's process as the deploy file does.
func (f *Fleet) Start(n *Node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/fulmarhinge", "sidecar")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, platform.SettingsVariable + "=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.Record.Log("process of %s started", n.Name)
	return nil
}

// Signal sends a signal to the node's process.
func (f *Fleet) Signal(n *Node, s syscall.Signal) {
	f.Record.Log("%s gets signal %v", n.Name, s)
	_ = n.cmd.Process.Signal(s)
}

// Wait waits until the node's process has ended.
func (n *Node) Wait() { <-n.exited }

// Ended reports whether the node's process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the node answers its readiness check.
func (n *Node) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.Ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.Name)
}

// PID returns the id of the node's process.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Leads reports whether the node says that it leads.
func (n *Node) Leads() bool {
	resp, err := reportClient.Get("http://" + n.Metrics + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && bytes.Contains(body, []byte("\nfulmarhinge_leads 1"))
}

// KillAll kills all nodes at once and starts them again after the time.
func (f *Fleet) KillAll(down time.Duration) {
	var left []*Node
	for _, n := range f.Nodes {
		if !n.Ended() {
			left = append(left, n)
			f.Signal(n, syscall.SIGKILL)
		}
	}
	for _, n := range left {
		n.Wait()
	}
	time.Sleep(down)
	for _, n := range left {
		if err := f.Start(n); err != nil {
			f.Record.Say("%v", err)
		}
	}
	f.Record.Say("all nodes were killed and have started again")
}

// closeOnSignal ends all processes if the case itself is ended.
func (f *Fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	f.Close()
	os.Exit(NotRun)
}

// Close ends all processes that the fleet started. The logs of the nodes are kept in the
// folder that LOGS names, if it is set.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.exited
		if dir := os.Getenv("LOGS"); dir != "" {
			if b, err := os.ReadFile(n.log); err == nil {
				_ = os.WriteFile(filepath.Join(dir, n.Name+".log"), b, 0o600)
			}
		}
	}
	_ = f.server.Close()
	_ = os.RemoveAll(f.dir)
}
