package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// addressPool hands out loopback addresses. Each VM has an IP of its own, so
// that the relay can tell nodes apart.
type addressPool struct {
	second, third int
	nextVM        int
}

// newAddressPool takes a random /24 of loopback, so that test runs at the same
// time do not meet. The choice is not part of a test's seed.
func newAddressPool() *addressPool {
	return &addressPool{second: 10 + rand.IntN(240), third: rand.IntN(256)}
}

// vmIP returns the IP of the next VM.
func (a *addressPool) vmIP() string {
	a.nextVM++
	return fmt.Sprintf("127.%d.%d.%d", a.second, a.third, a.nextVM)
}

// freeAddress returns an IP:port on which nothing listens.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	port := l.Addr().(*net.TCPAddr).Port
	return net.JoinHostPort(ip, strconv.Itoa(port)), nil
}
