package harness

import (
	"encoding/json"
	"os"

	"fulmarhinge/internal/contract"
)

// fleetName is the name of the fleet of all nodes of a test.
const fleetName = "test"

// nodeSettings are the settings that the harness writes; all others keep their
// defaults.
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

// LeaseSettings overrides defaults of the settings group "lease".
type LeaseSettings struct {
	Promise contract.Duration `json:"promise"`
	Renew   contract.Duration `json:"renew"`
}

// write writes the settings to a file.
func (s nodeSettings) write(path string) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o644)
}
