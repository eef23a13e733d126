// Command lagoonkeel runs and administers VMs of the proxy fleet;
// man/lagoonkeel.1.md describes it.
package main

import (
	"os"

	"github.com/lagoonkeel/lagoonkeel/internal/commander"
)

func main() {
	os.Exit(commander.Lagoonkeel(os.Args[1:]))
}
