// Command scaleroutectl is the operators' tool.
//
//	scaleroutectl journal verify|stat|dump [-json] FOLDER
//	scaleroutectl journal repair FOLDER NEW-FOLDER
//
// It exits with 0 if all is well, 1 if something was found, and 2 if it could not do what was asked.
package main

import (
	"fmt"
	"io"
	"os"
)

const usage = `usage: scaleroutectl journal verify [-json] FOLDER        what can't be read, and what it hit
       scaleroutectl journal stat [-json] FOLDER          what is held, by destination, class, age and attempts
       scaleroutectl journal dump FOLDER                  what is held, a line of JSON each
       scaleroutectl journal repair FOLDER NEW-FOLDER     what is held, into a new folder

FOLDER is NODE_STATE of a forwarder. Nothing in it is changed, and it may be in use; what is
written meanwhile may then be missing.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	if len(args) < 2 || args[0] != "journal" {
		fmt.Fprint(errs, usage)
		return 2
	}
	found, err := journalCommand(args[1], args[2:], out)
	if err != nil {
		fmt.Fprintln(errs, "scaleroutectl:", err)
		return 2
	}
	if found {
		return 1
	}
	return 0
}
