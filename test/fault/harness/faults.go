package harness

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"fulmarhinge/internal/platform"
)

// AnyIP matches every IP in Cut and Heal.
const AnyIP = "*"

// KillNode kills the node of a VM with SIGKILL; its backend server keeps running.
func (f *Fleet) KillNode(n *Node) { n.Node.Kill() }

// KillVM kills the node and the backend server of a VM with SIGKILL.
func (f *Fleet) KillVM(n *Node) {
	n.Node.Kill()
	f.KillBackend(n)
}

// KillBackend kills the backend server of a VM with SIGKILL and records when.
func (f *Fleet) KillBackend(n *Node) {
	n.backendKilledAt[n.serverID()] = time.Now()
	n.Backend.Kill()
}

// Avoid removes nodes from the entries that callers use.
func (f *Fleet) Avoid(nodes ...*Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		f.avoided[n] = true
	}
}

// Allow adds nodes to the entries again.
func (f *Fleet) Allow(nodes ...*Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		delete(f.avoided, n)
	}
}

// Entries returns the caller addresses of all nodes that are not avoided.
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

// linkRequest is the body of the relay's admin calls; it selects links.
type linkRequest struct {
	From string `json:"from"`
	To   string `json:"to"`
	Both bool   `json:"both"`
}

// Cut makes the relay withhold all bytes from one IP to another, and in the other
// direction too if both is true. Connections stay open.
func (f *Fleet) Cut(from, to string, both bool) error {
	return f.relayCall("cut", linkRequest{from, to, both})
}

// Heal undoes Cut.
func (f *Fleet) Heal(from, to string, both bool) error {
	return f.relayCall("heal", linkRequest{from, to, both})
}

// CutFromPlatform cuts the links between a node and the platform.
func (f *Fleet) CutFromPlatform(n *Node) error {
	return f.Cut(n.IP, hostOf(f.platformAddr), true)
}

// HealAll undoes all cuts.
func (f *Fleet) HealAll() error { return f.relayCall("heal-all", linkRequest{}) }

// Reset resets the connections between two IPs, whichever of them dialed.
func (f *Fleet) Reset(from, to string) error {
	return f.relayCall("reset", linkRequest{From: from, To: to})
}

// ForwardedBytes is the number of bytes that the relay has forwarded from one IP
// to another.
type ForwardedBytes struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes uint64 `json:"bytes"`
}

// PeerBytes returns how many bytes the nodes have sent to each other so far.
func (f *Fleet) PeerBytes() (uint64, error) {
	var counts []ForwardedBytes
	resp, err := sling.New().Get("http://" + f.relayAdminAddr + "/admin/counts").ReceiveSuccess(&counts)
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

func (f *Fleet) relayCall(call string, body linkRequest) error {
	return post("http://"+f.relayAdminAddr+"/admin/"+call, body)
}

// SwitchPlatform replaces the fault switches of the platform.
func (f *Fleet) SwitchPlatform(s platform.Switches) error {
	return post("http://"+f.platformAddr+"/admin/switch", s)
}

// PlatformCounts returns the number of calls that the platform has received.
func (f *Fleet) PlatformCounts() (platform.Counts, error) {
	var c platform.Counts
	resp, err := sling.New().Get("http://" + f.platformAddr + "/admin/counts").ReceiveSuccess(&c)
	if err != nil {
		return c, err
	}
	return c, checkStatus(resp)
}

// BackendSwitch is the body of a backend server's /admin/switch call; nil fields
// stay unchanged.
type BackendSwitch struct {
	FreezeMs     *int64   `json:"freeze_ms,omitempty"`
	Shed         *bool    `json:"shed,omitempty"`
	InvertHealth *bool    `json:"health_lies,omitempty"`
	LoadOverride *float64 `json:"load_lies,omitempty"`
	Drain        *bool    `json:"drain,omitempty"`
	WorkMs       *int64   `json:"work_ms,omitempty"`
}

// SwitchBackend changes fault switches of a VM's backend server.
func (f *Fleet) SwitchBackend(n *Node, s BackendSwitch) error {
	return post("http://"+n.BackendAddr+"/admin/switch", s)
}

// post sends JSON and expects a 2xx status.
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
