package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// firstPort is the first port that is assigned. It is below the kernel's range of
// ephemeral ports, because an outgoing connection could otherwise take a port
// after it was assigned and before its process listens.
const firstPort = 20000

// addressPool assigns loopback addresses. Each VM has its own IP, so that the
// relay can distinguish nodes, and each address has a different port.
type addressPool struct {
	secondOctet, thirdOctet int
	nextVM                  int
	nextPort                int
}

// newAddressPool chooses a random /24 of the loopback network, so that concurrent
// test runs do not collide. The choice does not depend on a test's seed.
func newAddressPool() *addressPool {
	return &addressPool{secondOctet: 10 + rand.IntN(240), thirdOctet: rand.IntN(256), nextPort: firstPort}
}

// vmIP returns the IP of the next VM.
func (a *addressPool) vmIP() string {
	a.nextVM++
	return fmt.Sprintf("127.%d.%d.%d", a.secondOctet, a.thirdOctet, a.nextVM)
}

// address returns an IP:port with the given IP and the next port.
func (a *addressPool) address(ip string) string {
	port := a.nextPort
	a.nextPort++
	return net.JoinHostPort(ip, strconv.Itoa(port))
}
