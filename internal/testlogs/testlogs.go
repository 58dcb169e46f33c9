// Package testlogs keeps the whole logs of failed tests, of which the test's output holds only the end.
package testlogs

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// folderVariable names the folder in which logs are kept; without it, they are in a folder of the system's for
// temporary files.
const folderVariable = "SHEDROCK_TEST_LOGS"

// Keep writes a log of a failed test to a file of its own, and names it in the test's output.
func Keep(t testing.TB, name, text string) {
	t.Helper()
	folder := os.Getenv(folderVariable)
	if folder == "" {
		folder = filepath.Join(os.TempDir(), "shedrock-test-logs")
	}
	err := os.MkdirAll(folder, 0o700)
	if err != nil {
		t.Log("the log is not kept: ", err)
		return
	}
	f, err := os.CreateTemp(folder, strings.NewReplacer("/", "-", " ", "_").Replace(t.Name()+"-"+name)+"-*.log")
	if err == nil {
		_, err = f.WriteString(text)
	}
	if err != nil {
		t.Log("the log is not kept: ", err)
		return
	}
	t.Logf("the whole log of %s is in %s", name, f.Name())
	_ = f.Close()
}
