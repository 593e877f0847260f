// Package ports finds free loopback addresses for processes under test. Ports
// that the kernel hands to outgoing connections are left alone: one of those
// may be taken between the look and the listen.
package ports

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
)

// Ports from lowest to highest lie below the usual range of outgoing connections.
const (
	lowest  = 12000
	highest = 32000
	// tries bounds the ports that are looked at.
	tries = 200
)

// ErrNone means that no free port was found.
var ErrNone = errors.New("no free loopback port")

// Free returns a loopback address that is free for TCP and UDP.
func Free() (string, error) {
	for range tries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowest+rand.IntN(highest-lowest)))
		if isFree(address) {
			return address, nil
		}
	}
	return "", ErrNone
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
