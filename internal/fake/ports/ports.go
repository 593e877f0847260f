// Package ports finds free loopback addresses for processes under test. Ports
// that the kernel hands to outgoing connections are left alone: one of those
// may be taken between the look and the listen.
package ports

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports from lowest to highest lie below the usual range of outgoing connections.
const (
	lowest  = 12000
	highest = 32000
	// tries bounds the ports that are looked at.
	tries = 200
)

// ErrNone means that no free port was found.
var ErrNoFreePort = errors.New("no free loopback port")

// given are the ports that this process has handed out: a process under test may
// not have begun to listen yet.
var given = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// Free returns a loopback address that is free for TCP and UDP, and that was not
// returned before.
func FreeAddress() (string, error) {
	given.Lock()
	defer given.Unlock()
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !given.ports[port] && isFree(address) {
			given.ports[port] = true
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
