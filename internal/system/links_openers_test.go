package system_test

import (
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/shedrock/shedrock/platform/standin"
)

// lookup asks which process has a socket at an address.
type lookup struct {
	socket *net.TCPAddr
	name   chan<- string
}

// mostLookups bounds the questions that are answered by one look through all sockets.
const mostLookups = 100

// opener finds out which process opened a connection: the one that holds the socket
// whose local address is the connection's remote one.
func (l *links) opener(c net.Conn) string {
	socket := c.RemoteAddr().(*net.TCPAddr)
	if socket.IP.Equal(standin.Local) {
		return outside
	}
	name := make(chan string, 1)
	select {
	case l.lookups <- lookup{socket, name}:
		return <-name
	case <-l.closed:
		return outside
	}
}

// lookUp answers questions, those that wait together: a look through the sockets of all
// processes takes milliseconds.
func (l *links) lookUp() {
	for {
		var waiting []lookup
		select {
		case first := <-l.lookups:
			waiting = append(waiting, first)
		case <-l.closed:
			return
		}
		for more := true; more && len(waiting) < mostLookups; {
			select {
			case next := <-l.lookups:
				waiting = append(waiting, next)
			default:
				more = false
			}
		}
		inodes, names := inodesOf(waiting), l.holders()
		for _, q := range waiting {
			name, ok := names[inodes[hexAddress(q.socket)]]
			if !ok {
				name = outside
			}
			q.name <- name
		}
	}
}

// hexAddress is an address as /proc/net/tcp writes it.
func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// inodesOf returns the inode of each socket that is asked for, by its address in hex.
func inodesOf(waiting []lookup) map[string]string {
	wanted := map[string]bool{}
	for _, q := range waiting {
		wanted[hexAddress(q.socket)] = true
	}
	out := map[string]string{}
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return out
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && wanted[fields[1]] {
			out[fields[1]] = fields[9]
		}
	}
	return out
}

// holders returns the process that holds each socket, by its inode.
func (l *links) holders() map[string]string {
	l.mu.Lock()
	pids := map[string]int64{}
	for name, p := range l.processes {
		pids[name] = p.pid.Load()
	}
	l.mu.Unlock()
	out := map[string]string{}
	for name, pid := range pids {
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		// A process that does not run holds none.
		files, _ := os.ReadDir(folder)
		for _, f := range files {
			link, err := os.Readlink(folder + "/" + f.Name())
			inode, isSocket := strings.CutPrefix(link, "socket:[")
			if err == nil && isSocket {
				out[strings.TrimSuffix(inode, "]")] = name
			}
		}
	}
	return out
}
