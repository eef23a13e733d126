// Command lagoonkeel-standin is described in man/lagoonkeel-standin.1.md.
package main

import (
	"os"

	"github.com/lagoonkeel/lagoonkeel/internal/commander"
)

func main() {
	os.Exit(commander.Standin(os.Args[1:]))
}
