// Command cranberrypath is the serving system and its operators' tool.
package main

import (
	"os"

	"cranberrypath.example/cranberrypath/internal/comand"
)

func main() { os.Exit(comand.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
