// Command cranberrypath runs the serving system and its operators' tools.
package main

import (
	"os"

	"cranberrypath.example/cranberrypath/internal/comand"
	"cranberrypath.example/cranberrypath/platform"
	"cranberrypath.example/cranberrypath/platform/hangup"
)

func main() {
	os.Exit(comand.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, comand.Extra{
		Name: hangup.Command, Summary: "run one process on the Carnmore Plinth platform", Run: platform.Run,
	}))
}
