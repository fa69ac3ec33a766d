package harness

import (
	"encoding/json"
	"os"

	"fulmarhinge/internal/contract"
)

// fleetName is the fleet that all nodes of a test belong to.
const fleetName = "test"

// nodeSettings is the part of a settings file that the harness writes; all
// else has its default.
type nodeSettings struct {
	Fleet    string           `json:"fleet"`
	Name     string           `json:"name"`
	Zone     string           `json:"zone"`
	Region   string           `json:"region"`
	Caller   listenSettings   `json:"caller"`
	Peer     peerSettings     `json:"peer"`
	Operator listenSettings   `json:"operator"`
	Backend  listenSettings   `json:"backend"`
	Platform platformSettings `json:"platform"`
	Lease    *LeaseSettings   `json:"lease,omitempty"`
}

type listenSettings struct {
	Listen string `json:"listen"`
}

type peerSettings struct {
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	DialFrom  string `json:"dial_from"`
}

type platformSettings struct {
	URLs []string `json:"urls"`
}

// LeaseSettings replaces defaults of the lease group.
type LeaseSettings struct {
	Promise contract.Duration `json:"promise"`
	Renew   contract.Duration `json:"renew"`
}

// write stores the settings as a file.
func (s nodeSettings) write(path string) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}
