package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// addressPool hands out loopback addresses. Each VM has an IP of its own, so
// that the relay can tell nodes apart.
type addressPool struct {
	second, third int
	nextVM        int
	taken         map[string]bool
}

// newAddressPool takes a random /24 of loopback, so that test runs at the same
// time do not meet. The choice is not part of a test's seed.
func newAddressPool() *addressPool {
	return &addressPool{second: 10 + rand.IntN(240), third: rand.IntN(256), taken: make(map[string]bool)}
}

// vmIP returns the IP of the next VM.
func (a *addressPool) vmIP() string {
	a.nextVM++
	return fmt.Sprintf("127.%d.%d.%d", a.second, a.third, a.nextVM)
}

// freeAddress returns an IP:port on which nothing listens, and which was not
// returned before.
func (a *addressPool) freeAddress(ip string) (string, error) {
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !a.taken[address] {
			a.taken[address] = true
			return address, nil
		}
	}
}
