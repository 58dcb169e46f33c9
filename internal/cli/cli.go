// Package cli is the command line: it reads settings from flags and environment,
// checks them, and wires the layers together.
//
// Exit codes: 0 for success, 1 when what was asked could not be done, 2 when the
// command line or a setting is wrong.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/hangup"
)

// Version is the release, set at link time for releases.
var Version = "0.1.0-dev"

const description = `shedrock serves language-model prompts that return after long gaps.

An operator declares teams, models, weight versions, upstreams and stores in
files; shedrock decides where each request runs. Try it with "shedrock local".`

const (
	exitFailed = 1
	exitUsage  = 2
)

// commands is the whole command line.
type commands struct {
	LogLevel string `help:"Lowest level of log lines: debug, info, warn, error." enum:"debug,info,warn,error" default:"info"`

	Local    localCommand    `cmd:"" help:"Run everything in one process, with stand-in upstreams, to try shedrock."`
	Entry    entryCommand    `cmd:"" help:"Run an entry: it takes callers' requests."`
	Control  controlCommand  `cmd:"" help:"Run a replica of the control log."`
	Platform platformCommand `cmd:"" help:"Run a process of a deployment whose processes find one another by seeds."`
	Check    checkCommand    `cmd:"" help:"Check declared files; exit 1 and name file, line and field when one is wrong."`
	Apply    applyCommand    `cmd:"" help:"Submit declared files, each whole."`
	Status   statusCommand   `cmd:"" help:"Show what is in force where."`
	Evacuate evacuateCommand `cmd:"" help:"Have no request begin at the upstreams of a failure domain, or end that."`
	Held     heldCommand     `cmd:"" help:"Show the requests and parts of prompts that are held because instances ended under them, or release one."`
	Ask      askCommand      `cmd:"" help:"Send one prompt, to try a deployment."`
	Standin  standinCommand  `cmd:"" help:"Run a small stand-in for an outside system."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// failure is an error with an exit code; its text has been written for the user.
type failure struct {
	code int
	err  error
}

// Error gives the text for the user.
func (f failure) Error() string { return f.err.Error() }

func usage(format string, args ...any) error {
	return failure{exitUsage, errors.Errorf(format, args...)}
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	parser, err := newParser(&c, out, errOut)
	if err != nil {
		panic("cli: the command line does not parse: " + err.Error())
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "shedrock: %s\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &process{ctx: ctx, out: out, errOut: errOut, log: newLogger(errOut, c.LogLevel)}
	if strings.HasPrefix(parsed.Command(), hangup.PlatformCommand) {
		queue := newLogQueue(out)
		defer queue.Close()
		p.log = newLogger(queue, c.LogLevel)
	}
	err = parsed.Run(p)
	if err == nil {
		return 0
	}
	fmt.Fprintf(errOut, "shedrock: %s\n", err)
	var f failure
	if errors.As(err, &f) {
		return f.code
	}
	return exitFailed
}

func newParser(c *commands, out, errOut io.Writer) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("shedrock"),
		kong.Description(description),
		kong.DefaultEnvars("SHEDROCK"),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		kong.Writers(out, errOut),
	)
}

// process is what every command gets.
type process struct {
	// ctx ends at SIGINT and SIGTERM.
	ctx         context.Context
	out, errOut io.Writer
	log         *log.Logger
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(p *process) error {
	fmt.Fprintln(p.out, "shedrock "+Version)
	return nil
}
