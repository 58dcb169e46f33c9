// Command shedrock is the whole system in one binary; see "shedrock --help".
package main

import (
	"os"

	"github.com/shedrock/shedrock/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
