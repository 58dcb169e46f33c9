package processes

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// What the kernel's socket diagnostics (sock_diag(7)) take and give; package syscall names none
// of it.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	// requestBytes is the size of a message's head and of struct inet_diag_req_v2, and
	// inodeAt where the inode stands in the answer, behind struct inet_diag_sockid.
	requestBytes = 16 + 56
	inodeAt      = 16 + 4 + 48 + 16
	// diagTimeout is far above what the kernel takes.
	diagTimeout = time.Second
)

// errNoSocket says that there is no such socket any more.
var errNoSocket = errors.New("there is no such socket")

// socketInode returns the inode of the socket at one end of a connection, by asking for this
// one: a look through the table of all sockets takes long when there are many, and misses some
// while others come and go.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, errors.Wrap(err, "open the socket diagnostics")
	}
	defer func() { _ = syscall.Close(fd) }()
	timeout := syscall.NsecToTimeval(diagTimeout.Nanoseconds())
	err = syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout)
	if err != nil {
		return 0, errors.Wrap(err, "bound the wait for an answer")
	}
	err = syscall.Sendto(fd, diagRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK})
	if err != nil {
		return 0, errors.Wrap(err, "ask for a socket")
	}
	answer := make([]byte, syscall.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, errors.Wrap(err, "read the answer")
	}
	if n < inodeAt+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0, errNoSocket
	}
	return binary.NativeEndian.Uint32(answer[inodeAt:]), nil
}

// diagRequest asks for the one socket of a connection.
func diagRequest(local, remote *net.TCPAddr) []byte {
	b := make([]byte, requestBytes)
	binary.NativeEndian.PutUint32(b[0:], requestBytes)
	binary.NativeEndian.PutUint16(b[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	request := b[16:]
	request[0] = syscall.AF_INET
	request[1] = syscall.IPPROTO_TCP
	// Any state will do; ports and addresses are in the network's order.
	binary.NativeEndian.PutUint32(request[4:], ^uint32(0))
	id := request[8:]
	binary.BigEndian.PutUint16(id[0:], uint16(local.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(remote.Port))
	copy(id[4:], local.IP.To4())
	copy(id[20:], remote.IP.To4())
	// Whatever the socket's cookie is.
	binary.NativeEndian.PutUint64(id[40:], ^uint64(0))
	return b
}
