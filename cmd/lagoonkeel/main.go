// Command lagoonkeel is described in man/lagoonkeel.1.md.
package main

import (
	"os"

	"github.com/lagoonkeel/lagoonkeel/internal/commander"
)

func main() {
	os.Exit(commander.Lagoonkeel(os.Args[1:]))
}
