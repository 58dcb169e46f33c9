package processes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// searcher finds out which process holds a socket, from the open files of all processes. All searches that wait share
// one pass over these: each pass reads up to thousands of links below /proc, and concurrent passes contend for locks in the kernel.
type searcher struct {
	// pids returns the ids of the processes by their names.
	pids func() map[string]int64

	mu sync.Mutex
	// next is the pass that has not begun yet, or nil, and running is true while passes are made; mu guards all below.
	next    *pass
	running bool
	// searches, passes and files count, the latter the links that were read. total is the time of all searches, and
	// longest that of the longest one.
	searches, passes, files int
	total, longest          time.Duration
}

// pass is one pass over the open files.
type pass struct {
	// wanted holds the inodes of the sockets, and must not be changed once the pass has begun.
	wanted map[uint32]bool
	// holders holds the names of their processes, once done is closed.
	holders map[uint32]string
	done    chan struct{}
}

// holder returns the name of the process that holds a socket, or Outside when this process does.
func (s *searcher) holder(inode uint32) (name string, ok bool) {
	began := time.Now()
	s.mu.Lock()
	if s.next == nil {
		s.next = &pass{wanted: map[uint32]bool{}, holders: map[uint32]string{}, done: make(chan struct{})}
	}
	p := s.next
	p.wanted[inode] = true
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	<-p.done
	name, ok = p.holders[inode]
	took := time.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searches++
	s.total += took
	s.longest = max(s.longest, took)
	return name, ok
}

// run makes passes until none is wanted.
func (s *searcher) run() {
	for {
		s.mu.Lock()
		p := s.next
		s.next = nil
		s.running = p != nil
		s.mu.Unlock()
		if p == nil {
			return
		}
		files := p.look(s.pids())
		close(p.done)
		s.mu.Lock()
		s.passes++
		s.files += files
		s.mu.Unlock()
	}
}

// look looks for the wanted sockets, those of this process last, and returns how many links it read.
func (p *pass) look(pids map[string]int64) (files int) {
	for name, pid := range pids {
		files += p.lookAt(name, pid)
	}
	return files + p.lookAt(Outside, int64(os.Getpid()))
}

// lookAt looks for the wanted sockets at one process, until none is left.
func (p *pass) lookAt(name string, pid int64) (files int) {
	if len(p.holders) == len(p.wanted) {
		return 0
	}
	path := fmt.Sprintf("/proc/%d/fd", pid)
	folder, err := os.Open(path)
	if err != nil {
		// A process that has ended holds none.
		return 0
	}
	defer func() { _ = folder.Close() }()
	names, _ := folder.Readdirnames(-1)
	for _, file := range names {
		files++
		link, err := os.Readlink(path + "/" + file)
		if err != nil {
			continue
		}
		inode, ok := socketOf(link)
		if ok && p.wanted[inode] {
			p.holders[inode] = name
		}
		if len(p.holders) == len(p.wanted) {
			break
		}
	}
	return files
}

// socketOf returns the inode of the socket that a link below /proc names.
func socketOf(link string) (inode uint32, ok bool) {
	text, ok := strings.CutPrefix(link, "socket:[")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32)
	return uint32(n), err == nil
}

// summary returns the counts of all searches.
func (s *searcher) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d searches for the openers of connections took %s, at most %s each; %d passes read %d descriptors", s.searches, s.total, s.longest, s.passes, s.files)
}

// DescriptorsRead returns how many open files of processes were looked at to find out who opened connections.
func (l *Links) DescriptorsRead() int {
	l.searcher.mu.Lock()
	defer l.searcher.mu.Unlock()
	return l.searcher.files
}
