package comand

import (
	"context"
	"math/rand/v2"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"cranberrypath.example/cranberrypath/internal/demo"
)

// runDemo runs the demonstration. The command fails unless every
// promise held.
func runDemo(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "demo")
	seed := fs.Uint64("seed", 0, "seed of the run; 0 chooses a random seed, which is printed")
	asJSON := fs.Bool("json", false, "print the summary as JSON")
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	if *seed == 0 {
		*seed = rand.Uint64N(1 << 32)
	}
	log.SetHandler(discard.New()) // print only the summary
	sum, err := demo.Run(ctx, demo.Options{Seed: *seed, JSON: *asJSON, Out: t.out})
	if err != nil {
		return err
	}
	if !sum.Held {
		return &exitError{exitFailed, nil}
	}
	return nil
}
