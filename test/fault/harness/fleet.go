package harness

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/standin/runlog"
)

// Options configure a fleet.
type Options struct {
	// Dir is the directory for settings, process logs and run logs.
	Dir      string
	Binaries *Binaries
	// Zones are the availability zones; nodes are assigned to them round-robin.
	Zones     []string
	Nodes     int
	Service   config.Service
	Contracts []contract.Contract
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int
	// Work is how long a request takes at a backend server.
	Work  time.Duration
	Lease *LeaseSettings
	// Unconfigured starts the fleet without a configuration in the platform.
	Unconfigured bool
}

// Fleet is a set of running processes: the platform, the relay, the nodes and
// their backend servers.
type Fleet struct {
	Options  Options
	Nodes    []*Node
	Platform *Process
	Relay    *Process

	sheddingBackend *Process
	addresses       *addressPool
	platformAddr    string
	relayAdminAddr  string
	mu              sync.Mutex
	avoided         map[*Node]bool
}

// Node is one VM, which runs a node and a backend server.
type Node struct {
	Name         string
	Zone         string
	IP           string
	CallerAddr   string
	OperatorAddr string
	BackendAddr  string
	// Node and Backend are the running processes.
	Node    *Process
	Backend *Process

	peerListen      string
	peerAdvertise   string
	backendListen   string
	platformListen  string
	settingsPath    string
	runLogPath      string
	backendStarts   int
	backendKilledAt map[string]time.Time
}

// Start starts the platform, the relay, all nodes and their backend servers.
// Stop must be called even if it fails.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{Options: o, addresses: newAddressPool(), avoided: make(map[*Node]bool)}
	if err := f.prepareNodes(); err != nil {
		return f, err
	}
	if err := f.startStandins(); err != nil {
		return f, err
	}
	if !o.Unconfigured {
		if err := f.configure(); err != nil {
			return f, fmt.Errorf("configuration: %w", err)
		}
	}
	for _, n := range f.Nodes {
		if err := f.StartNode(n); err != nil {
			return f, err
		}
		if err := f.StartBackend(n); err != nil {
			return f, err
		}
	}
	return f, nil
}

// prepareNodes assigns all addresses and writes the nodes' settings.
func (f *Fleet) prepareNodes() error {
	standinIP := f.addresses.vmIP()
	f.platformAddr = f.addresses.address(standinIP)
	f.relayAdminAddr = f.addresses.address(standinIP)
	for i := range f.Options.Nodes {
		n := &Node{
			Name:            fmt.Sprintf("node-%02d", i+1),
			Zone:            f.Options.Zones[i%len(f.Options.Zones)],
			IP:              f.addresses.vmIP(),
			backendKilledAt: make(map[string]time.Time),
		}
		n.CallerAddr = f.addresses.address(n.IP)
		n.OperatorAddr = f.addresses.address(n.IP)
		n.BackendAddr = f.addresses.address(n.IP)
		n.peerListen = f.addresses.address(n.IP)
		n.backendListen = f.addresses.address(n.IP)
		n.peerAdvertise = f.addresses.address(standinIP)
		n.platformListen = f.addresses.address(standinIP)
		n.settingsPath = filepath.Join(f.Options.Dir, n.Name+".json")
		n.runLogPath = filepath.Join(f.Options.Dir, n.Name+".runs")
		f.Nodes = append(f.Nodes, n)
	}
	for _, n := range f.Nodes {
		if err := f.settings(n).write(n.settingsPath); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) settings(n *Node) nodeSettings {
	return nodeSettings{
		Fleet:    fleetName,
		Name:     n.Name,
		Zone:     n.Zone,
		Region:   "region-1",
		Caller:   listenSettings{n.CallerAddr},
		Peer:     peerSettings{n.peerListen, n.peerAdvertise, n.IP},
		Operator: listenSettings{n.OperatorAddr},
		Backend:  listenSettings{n.backendListen},
		Platform: platformSettings{[]string{"http://" + n.platformListen}},
		Lease:    f.Options.Lease,
	}
}

// startStandins starts the platform and the relay. All connections between nodes
// and to the platform go through the relay.
func (f *Fleet) startStandins() error {
	var err error
	f.Platform, err = f.spawn("platform", programPlatform, "--listen", f.platformAddr)
	if err != nil {
		return err
	}
	args := []string{"--admin", f.relayAdminAddr}
	for _, n := range f.Nodes {
		args = append(args,
			"--map", n.peerAdvertise+"="+n.peerListen,
			"--map", n.platformListen+"="+f.platformAddr+"@"+n.IP)
	}
	f.Relay, err = f.spawn("relay", programRelay, args...)
	if err != nil {
		return err
	}
	const startTimeout = 5 * time.Second
	for _, address := range []string{f.platformAddr, f.relayAdminAddr} {
		if err := waitListening(address, startTimeout); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) spawn(name, program string, args ...string) (*Process, error) {
	return spawn(f.Options.Dir, name, f.Options.Binaries.Path(program), args...)
}

// StartNode starts or restarts the node of a VM.
func (f *Fleet) StartNode(n *Node) error {
	p, err := f.spawn(n.Name, programNode, "node", "--settings", n.settingsPath)
	n.Node = p
	return err
}

// StartBackend starts or restarts the backend server of a VM. Each start gets a
// new server id in the run log.
func (f *Fleet) StartBackend(n *Node) error {
	s := f.Options.Service
	n.backendStarts++
	p, err := f.spawn(n.Name+"-backend", programBackend,
		"--listen", n.BackendAddr,
		"--announce", "http://"+n.backendListen,
		"--server", n.serverID(),
		"--service", s.Name,
		"--slots", strconv.Itoa(f.Options.Slots),
		"--connections", strconv.Itoa(5*f.Options.Slots),
		"--divided="+strconv.FormatBool(s.DividedByKey),
		"--checks-fence="+strconv.FormatBool(s.ChecksFence),
		"--work", f.Options.Work.String(),
		"--log", n.runLogPath)
	n.Backend = p
	return err
}

// StartSheddingBackend starts a backend server that belongs to no node and sheds
// every request, and returns its address. Load sent there costs the machine about
// as much as load that nodes refuse, but reaches no node.
func (f *Fleet) StartSheddingBackend() (string, error) {
	address := f.addresses.address(f.addresses.vmIP())
	p, err := f.spawn("shedding-backend", programBackend, "--listen", address, "--connections", "1000")
	if err != nil {
		return "", err
	}
	f.sheddingBackend = p
	const startTimeout = 5 * time.Second
	if err := waitListening(address, startTimeout); err != nil {
		return "", err
	}
	shed := true
	return address, post("http://"+address+"/admin/switch", BackendSwitch{Shed: &shed})
}

// serverID is the id of the current backend server in the run log.
func (n *Node) serverID() string { return fmt.Sprintf("%s/%d", n.Name, n.backendStarts) }

// PlatformURL is the platform's URL for operators.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddr }

// waitListening polls until the address accepts a connection.
func waitListening(address string, timeout time.Duration) error {
	const pollInterval = 10 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for {
		c, err := net.DialTimeout("tcp", address, timeout)
		if err == nil {
			return c.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// Stop kills every process that the fleet has started.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Node.Kill()
		n.Backend.Kill()
	}
	f.sheddingBackend.Kill()
	f.Relay.Kill()
	f.Platform.Kill()
}

// History reads the run logs of all backend servers.
func (f *Fleet) History(attempts []Attempt) (History, error) {
	h := History{Attempts: attempts, KilledAt: make(map[string]time.Time), CollectedAt: time.Now()}
	h.ChecksFence = f.Options.Service.ChecksFence
	h.BootOffset = h.CollectedAt.UnixNano() - int64(clock.Now())
	for _, n := range f.Nodes {
		records, err := runlog.Read(n.runLogPath)
		if err != nil {
			return h, err
		}
		h.Records = append(h.Records, records...)
		for server, at := range n.backendKilledAt {
			h.KilledAt[server] = at
		}
	}
	return h, nil
}
