// Command cranberrypath runs the serving system and its operators' tools.
package main

import (
	"os"

	"cranberrypath.example/cranberrypath/internal/comand"
	"cranberrypath.example/cranberrypath/platform"
)

func main() {
	os.Exit(comand.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, comand.Extra{
		Name: "platform", Summary: "run one process on the Carnmore Plinth platform", Run: platform.Run,
	}))
}
