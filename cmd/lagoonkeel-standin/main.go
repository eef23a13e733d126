// Command lagoonkeel-standin runs stand-ins for the platform, for tests and demos;
// man/lagoonkeel-standin.1.md describes it.
package main

import (
	"os"

	"github.com/lagoonkeel/lagoonkeel/internal/commander"
)

func main() {
	os.Exit(commander.Standin(os.Args[1:]))
}
