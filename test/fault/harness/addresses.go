package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// firstPort is the first port that is handed out. It is below the range that
// the kernel takes ports of outgoing connections from: such a connection could
// take a port after it was chosen and before its process listens.
const firstPort = 20000

// addressPool hands out loopback addresses. Each VM has an IP of its own, so
// that the relay can tell nodes apart, and no two addresses have one port.
type addressPool struct {
	second, third int
	nextVM        int
	nextPort      int
}

// newAddressPool takes a random /24 of loopback, so that test runs at the same
// time do not meet. The choice is not part of a test's seed.
func newAddressPool() *addressPool {
	return &addressPool{second: 10 + rand.IntN(240), third: rand.IntN(256), nextPort: firstPort}
}

// vmIP returns the IP of the next VM.
func (a *addressPool) vmIP() string {
	a.nextVM++
	return fmt.Sprintf("127.%d.%d.%d", a.second, a.third, a.nextVM)
}

// address returns the next IP:port of an IP.
func (a *addressPool) address(ip string) string {
	port := a.nextPort
	a.nextPort++
	return net.JoinHostPort(ip, strconv.Itoa(port))
}
