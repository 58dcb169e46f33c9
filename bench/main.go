// Command bench measures shedrock on one machine, with real processes on loopback and
// stand-ins, and prints a table; it also writes CSV files beside itself. Its figures
// hold for the machine and moment of the run: compare only within one run.
//
// It is a tool for developers and no part of the product.
package main

import (
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// row is one figure.
type row struct{ what, figure, goal string }

// table gathers figures and failures.
type table struct {
	name string
	rows []row
}

func (t *table) add(what, goal, format string, args ...any) {
	r := row{what, fmt.Sprintf(format, args...), goal}
	t.rows = append(t.rows, r)
	fmt.Printf("%-58s %-34s %s\n", r.what, r.figure, r.goal)
}

// write leaves the table as CSV.
func (t *table) write() error {
	file, err := os.Create(filepath.Join("bench", t.name+".csv"))
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	_ = w.Write([]string{"what", "figure", "goal"})
	for _, r := range t.rows {
		_ = w.Write([]string{r.what, r.figure, r.goal})
	}
	w.Flush()
	err = w.Error()
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func quantile(v []time.Duration, q float64) time.Duration {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[int(q*float64(len(s)-1))]
}

func main() {
	capacity := flag.Bool("capacity", false, "measure the slopes behind docs/CAPACITY.md instead")
	only := flag.String("only", "", "measure only this part")
	flag.Parse()
	parts := map[string]func(*lab, *table){"path": benchPath, "control": benchControl}
	names := []string{"path", "control"}
	if *capacity {
		parts = map[string]func(*lab, *table){"capacity": benchCapacity, "domains": benchDomains}
		names = []string{"capacity", "domains"}
	}
	for _, name := range names {
		if *only != "" && *only != name {
			continue
		}
		l := newLab()
		// Cut short, it leaves no process behind.
		stopped := make(chan os.Signal, 1)
		signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
		go func() {
			<-stopped
			l.close()
			os.Exit(1)
		}()
		t := &table{name: name}
		parts[name](l, t)
		l.close()
		if err := t.write(); err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			os.Exit(1)
		}
	}
}
