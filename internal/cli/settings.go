package cli

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/transport/control"
	"github.com/shedrock/shedrock/internal/transport/netdial"
)

// minSecretBytes is the shortest secret accepted.
const minSecretBytes = 16

// listen opens a listener on an IP number and port.
func listen(flag, address string) (net.Listener, error) {
	_, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, usage("--%s: %q is not an address: expected an IP number and port such as 127.0.0.1:8080", flag, address)
	}
	l, err := netdial.Listen(address)
	if err != nil {
		return nil, failure{exitFailed, errors.Wrapf(err, "--%s", flag)}
	}
	return l, nil
}

// namedAddress is an address with the flag that gave it.
type namedAddress struct{ flag, address string }

// listenAll opens listeners in order.
func listenAll(addresses []namedAddress) ([]net.Listener, error) {
	var opened []net.Listener
	for _, a := range addresses {
		l, err := listen(a.flag, a.address)
		if err != nil {
			return nil, err
		}
		opened = append(opened, l)
	}
	return opened, nil
}

// checkAddresses refuses addresses that are not an IP number and port.
func checkAddresses(flag string, addresses []string) error {
	for _, address := range addresses {
		_, err := netip.ParseAddrPort(address)
		if err != nil {
			return usage("--%s: %q is not an address: expected an IP number and port such as 127.0.0.1:7070", flag, address)
		}
	}
	return nil
}

// readSecrets reads a file with one secret a line; the first one is used, and all
// are accepted.
func readSecrets(path string) ([][]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, usage("--secret-file: %s", err)
	}
	var secrets [][]byte
	for i, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		line = strings.TrimSpace(line)
		if len(line) < minSecretBytes {
			return nil, usage("--secret-file: %s:%d: a secret needs at least %d bytes", path, i+1, minSecretBytes)
		}
		secrets = append(secrets, []byte(line))
	}
	return secrets, nil
}

// parsePeers reads "1=127.0.0.1:7071" for each founding replica.
func parsePeers(list []string) ([]control.Peer, error) {
	var peers []control.Peer
	seen := map[uint64]bool{}
	for _, s := range list {
		number, address, ok := strings.Cut(s, "=")
		id, err := strconv.ParseUint(number, 10, 64)
		if !ok || err != nil || id == 0 || seen[id] {
			return nil, usage("--peers: %q: expected NUMBER=IP:PORT with a number from 1 that no other has", s)
		}
		seen[id] = true
		err = checkAddresses("peers", []string{address})
		if err != nil {
			return nil, err
		}
		peers = append(peers, control.Peer{ID: id, Address: address})
	}
	return peers, nil
}
