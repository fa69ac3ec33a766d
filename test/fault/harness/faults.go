package harness

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"fulmarhinge/internal/platform"
)

// Everyone stands for every IP in a cut.
const Everyone = "*"

// KillNode ends the node of a VM with SIGKILL; its backend server goes on.
func (f *Fleet) KillNode(n *Node) { n.Node.Kill() }

// KillVM ends the node and the backend server of a VM with SIGKILL.
func (f *Fleet) KillVM(n *Node) {
	n.Node.Kill()
	f.KillBackend(n)
}

// KillBackend ends the backend server of a VM with SIGKILL.
func (f *Fleet) KillBackend(n *Node) {
	n.killed[n.serverID()] = time.Now()
	n.Backend.Kill()
}

// Avoid keeps callers from using a node as their entry.
func (f *Fleet) Avoid(nodes ...*Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		f.avoided[n] = true
	}
}

// Allow lets callers use a node as their entry again.
func (f *Fleet) Allow(nodes ...*Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		delete(f.avoided, n)
	}
}

// Entries returns the caller addresses that are not avoided.
func (f *Fleet) Entries() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []string
	for _, n := range f.Nodes {
		if !f.avoided[n] {
			entries = append(entries, n.CallerAddr)
		}
	}
	return entries
}

// Zone returns the nodes of an availability zone.
func (f *Fleet) Zone(zone string) []*Node {
	var nodes []*Node
	for _, n := range f.Nodes {
		if n.Zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// cutRequest is the body of the relay's admin calls.
type cutRequest struct {
	From string `json:"from"`
	To   string `json:"to"`
	Both bool   `json:"both"`
}

// Cut holds all bytes from one IP to another, and back if both is true.
func (f *Fleet) Cut(from, to string, both bool) error {
	return f.relayCall("cut", cutRequest{from, to, both})
}

// Heal ends a cut.
func (f *Fleet) Heal(from, to string, both bool) error {
	return f.relayCall("heal", cutRequest{from, to, both})
}

// CutFromPlatform holds all bytes between a node and the platform.
func (f *Fleet) CutFromPlatform(n *Node) error {
	return f.Cut(n.IP, hostOf(f.platformAddr), true)
}

// HealAll ends all cuts.
func (f *Fleet) HealAll() error { return f.relayCall("heal-all", cutRequest{}) }

// Reset breaks the connections from one IP to another.
func (f *Fleet) Reset(from, to string) error {
	return f.relayCall("reset", cutRequest{From: from, To: to})
}

// PassedBytes is what the relay has passed on in one direction.
type PassedBytes struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes uint64 `json:"bytes"`
}

// PeerBytes returns how many bytes nodes have sent each other so far.
func (f *Fleet) PeerBytes() (uint64, error) {
	var counts []PassedBytes
	resp, err := sling.New().Get("http://" + f.relayAdmin + "/admin/counts").ReceiveSuccess(&counts)
	if err != nil {
		return 0, err
	}
	total := uint64(0)
	platformIP := hostOf(f.platformAddr)
	for _, c := range counts {
		if c.From != platformIP && c.To != platformIP {
			total += c.Bytes
		}
	}
	return total, checkStatus(resp)
}

func (f *Fleet) relayCall(call string, body cutRequest) error {
	return post("http://"+f.relayAdmin+"/admin/"+call, body)
}

// SwitchPlatform sets the switches of the platform.
func (f *Fleet) SwitchPlatform(s platform.Switches) error {
	return post("http://"+f.platformAddr+"/admin/switch", s)
}

// PlatformCounts returns how many calls the platform has had.
func (f *Fleet) PlatformCounts() (platform.Counts, error) {
	var c platform.Counts
	resp, err := sling.New().Get("http://" + f.platformAddr + "/admin/counts").ReceiveSuccess(&c)
	if err != nil {
		return c, err
	}
	return c, checkStatus(resp)
}

// BackendSwitch is the body of a backend server's switch.
type BackendSwitch struct {
	FreezeMs   *int64   `json:"freeze_ms,omitempty"`
	Shed       *bool    `json:"shed,omitempty"`
	HealthLies *bool    `json:"health_lies,omitempty"`
	LoadLies   *float64 `json:"load_lies,omitempty"`
	Drain      *bool    `json:"drain,omitempty"`
	WorkMs     *int64   `json:"work_ms,omitempty"`
}

// SwitchBackend changes the switches of a VM's backend server.
func (f *Fleet) SwitchBackend(n *Node, s BackendSwitch) error {
	return post("http://"+n.BackendAddr+"/admin/switch", s)
}

// post sends JSON and expects a 200-class answer.
func post(url string, body any) error {
	resp, err := sling.New().Post(url).BodyJSON(body).ReceiveSuccess(nil)
	if err != nil {
		return err
	}
	return checkStatus(resp)
}

func checkStatus(resp *http.Response) error {
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %s", resp.Request.URL, resp.Status)
	}
	return nil
}
