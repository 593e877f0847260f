// Package ports finds free loopback addresses for processes under test. It does
// not use ephemeral ports: the kernel could assign one to an outgoing connection
// after the check and before the process listens on it.
package ports

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports from minPort up to, but not including, portLimit are below the usual range
// of ephemeral ports.
const (
	minPort   = 12000
	portLimit = 32000
	// maxAttempts is the maximum number of ports that one call checks.
	maxAttempts = 200
)

// ErrNoFreePort means that all maxAttempts random ports were in use or allocated.
var ErrNoFreePort = errors.New("no free loopback port")

// allocated holds the ports that FreeAddress has returned in this process. Checking
// whether a port is free is not enough, because the process under test may not
// listen on it yet.
var allocated = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// FreeAddress returns a loopback address that is free for TCP and UDP and that was
// not returned before in this process.
func FreeAddress() (string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	for range maxAttempts {
		port := minPort + rand.IntN(portLimit-minPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !allocated.ports[port] && isFree(address) {
			allocated.ports[port] = true
			return address, nil
		}
	}
	return "", ErrNoFreePort
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
