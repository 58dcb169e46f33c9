package processes

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
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
