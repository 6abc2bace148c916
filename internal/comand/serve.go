package comand

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"cranberrypath.example/cranberrypath/internal/conf"
	"cranberrypath.example/cranberrypath/internal/node"
)

const (
	// gcPercent starts a collection at half the default heap growth, if the memory is known.
	gcPercent = 50
	// heapShare is the share of the machine's memory from which on the collector runs as often
	// as it must. Socket buffers and code take the rest.
	heapShare = 0.75
)

// serve runs one process until a signal. The first signal drains the process for up
// to drainSeconds; a second signal stops it immediately.
func serve(ctx context.Context, t terminal, args []string) error {
	fs := newFlagSet(t, "serve")
	file := fs.String("config", "", "settings file of the process, JSON with comments")
	check := fs.Bool("check", false, "check the settings and exit")
	if err := parseFlags(fs, args, 0); err != nil {
		return err
	}
	if *file == "" {
		return usageError("serve: -config is missing")
	}
	settings, err := conf.Load(*file)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if *check {
		fmt.Fprintln(t.out, "the settings are valid")
		return nil
	}
	log.SetHandler(json.New(t.err)) // for the packages that log through the default logger
	log.SetLevel(parseLevel(settings.LogLevel))
	logger := &log.Logger{Handler: json.New(t.err), Level: parseLevel(settings.LogLevel)}
	if memory := settings.MemoryBytes(); memory > 0 {
		// The collector runs as often as it must in a small machine.
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(heapShare * memory))
	}
	n, err := node.Start(node.Config{Settings: settings, Log: logger})
	if err != nil {
		return Error.Wrap(err)
	}
	defer n.Close()
	fmt.Fprintf(t.out, "callers %s, operators %s\n", orNone(n.CallersAddr()), orNone(n.OperatorsAddr()))
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.Background(), time.Duration(settings.DrainSeconds)*time.Second)
	defer cancel()
	stop := onNextSignal(cancel)
	defer stop()
	logger.Info("draining")
	if err := n.Drain(drain); err != nil {
		logger.WithError(err).Warn("draining failed")
	}
	logger.Info("stopped")
	return nil
}

func orNone(addr string) string {
	if addr == "" {
		return "none"
	}
	return addr
}

func parseLevel(name string) log.Level {
	l, err := log.ParseLevel(name)
	if err != nil {
		return log.InfoLevel // cannot happen: conf.Load has checked the level
	}
	return l
}

// readFile reads a file, or standard input if the name is "-".
func readFile(t terminal, name string) ([]byte, error) {
	if name == "-" {
		return readLimited(t.in)
	}
	b, err := os.ReadFile(name)
	return b, Error.Wrap(err)
}
