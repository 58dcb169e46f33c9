package processes

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// stopped reports whether every thread of a process has stopped, or it has ended: a signal that
// stops it is sent before its threads have taken it, and until then they work on.
func stopped(pid int) bool {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			// A thread that has ended does nothing more.
			continue
		}
		// The state stands behind the name, which is in parentheses.
		_, rest, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(rest, "T") && !strings.HasPrefix(rest, "Z") && !strings.HasPrefix(rest, "X") {
			return false
		}
	}
	return true
}

// ignores reports whether a process ignores a signal, or has ended.
func ignores(pid int, s syscall.Signal) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return true
	}
	for line := range strings.Lines(string(text)) {
		mask, ok := strings.CutPrefix(line, "SigIgn:")
		if !ok {
			continue
		}
		bits, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		return err == nil && bits&(1<<(uint(s)-1)) != 0
	}
	return false
}
