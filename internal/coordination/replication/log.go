package replication

import "fmt"

// entryLog is the part of the log after the snapshot.
//
// Invariant: entries[i].Index == snapshot.Index+1+i.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *entryLog) last() (index, term uint64) {
	if len(l.entries) == 0 {
		return l.snapshot.Index, l.snapshot.Term
	}
	e := l.entries[len(l.entries)-1]
	return e.Index, e.Term
}

// term returns the term of an entry. ok is false when the entry is compacted, or beyond the
// end of the log.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	last, _ := l.last()
	if index < l.snapshot.Index || index > last {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// from returns the entries from an index on, limited to maxBytes of data but at least one
// entry if there is any.
func (l *entryLog) from(index uint64, maxBytes int) []Entry {
	last, _ := l.last()
	if index > last {
		return nil
	}
	rest := l.entries[index-l.snapshot.Index-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// bytes returns the size of the data of the entries in [low, high) that are not compacted.
func (l *entryLog) bytes(low, high uint64) int {
	size := 0
	for i := max(low, l.snapshot.Index+1); i < high; i++ {
		size += len(l.entries[i-l.snapshot.Index-1].Data)
	}
	return size
}

// compactIndex returns the lowest index such that the entries after it and up to high are
// within the given number and bytes of data. The entry at high is exempt from the limit in
// bytes.
func (l *entryLog) compactIndex(high uint64, entries, bytes int) uint64 {
	low := high
	for low > l.snapshot.Index && high-low < uint64(entries) {
		bytes -= len(l.entries[low-l.snapshot.Index-1].Data)
		if bytes < 0 && low < high {
			break
		}
		low--
	}
	return low
}

// between returns the entries in (low, high].
func (l *entryLog) between(low, high uint64) []Entry {
	first := l.snapshot.Index
	return l.entries[low-first : high-first : high-first]
}

// truncateAndAppend stores entries, replacing all from the first one's index on.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	at := entries[0].Index - l.snapshot.Index - 1
	if entries[0].Index <= l.snapshot.Index || at > uint64(len(l.entries)) {
		panic(fmt.Sprintf("replication: entry %d does not follow the log", entries[0].Index))
	}
	if at < uint64(len(l.entries)) {
		// Slices returned earlier share this array. The limited capacity makes append copy
		// it instead of overwriting the replaced entries.
		l.entries = l.entries[:at:at]
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64, members []Member) {
	term, ok := l.term(index)
	if !ok || index == l.snapshot.Index {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.snapshot.Index:]...)
	l.snapshot = Snapshot{Index: index, Term: term, Members: members}
}

// configAt is a configuration and the index of its entry.
type configAt struct {
	index   uint64
	members []Member
}

// configs holds the configuration of the snapshot and each one after it, in log order. The
// last one is the current one.
type configs []configAt

func (c configs) current() []Member { return c[len(c)-1].members }

// at returns the configuration at an index.
func (c configs) at(index uint64) []Member {
	members := c[0].members
	for _, config := range c {
		if config.index <= index {
			members = config.members
		}
	}
	return members
}

// truncate drops the configurations from an index on.
func (c configs) truncate(index uint64) configs {
	for len(c) > 1 && c[len(c)-1].index >= index {
		c = c[:len(c)-1]
	}
	return c
}

// compact drops all but the last of the configurations up to an index.
func (c configs) compact(index uint64) configs {
	for len(c) > 1 && c[1].index <= index {
		c = c[1:]
	}
	return c
}

// isVoter reports whether a node is a voter in a configuration.
func isVoter(members []Member, n Node) bool {
	for _, m := range members {
		if m.Node == n && m.Voter {
			return true
		}
	}
	return false
}

// majority reports whether yes returns true for a majority of the voters.
func majority(members []Member, yes func(Node) bool) bool {
	voters, agreed := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if yes(m.Node) {
			agreed++
		}
	}
	return voters > 0 && agreed > voters/2
}

// votersChanged returns the number of voters that are in only one of two configurations.
func votersChanged(a, b []Member) int {
	n := 0
	for _, m := range a {
		if m.Voter && !isVoter(b, m.Node) {
			n++
		}
	}
	for _, m := range b {
		if m.Voter && !isVoter(a, m.Node) {
			n++
		}
	}
	return n
}
