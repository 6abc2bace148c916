package coord

import (
	"maps"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"cranberrypath.example/cranberrypath/internal/disk"
)

const (
	// knownInterval is how often the known instances are compared with those on the disk.
	knownInterval = 2 * time.Second
	// knownDir is the folder, within that of the replicated log, of the file with the known instances.
	knownDir, knownFile = "known", "instances"
)

// knownInstances returns the IDs of the instances that report and of those that are absent.
func (c *Coord) knownInstances() []string {
	c.mu.Lock()
	listed := c.instances
	c.mu.Unlock()
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(slices.Collect(maps.Keys(listed)), c.absent.ids()))))
}

// keepKnown keeps the known instances on the disk, so that this one finds them after all
// processes have ended at once: those without a disk then know only the seeds of their own
// settings, and this one may have others.
func (c *Coord) keepKnown() {
	dir := path.Join(c.cfg.Dir, knownDir)
	name := path.Join(dir, knownFile)
	logger := c.cfg.Log.WithField("event", "known.failed")
	saved, err := disk.Read(c.cfg.FS, name)
	if err != nil && !disk.IsNotExist(err) {
		logger.WithError(err).Warn("the known instances cannot be read")
	}
	c.absent.add(c.cfg.Clock(), parseKnown(string(saved))...)
	if err := c.cfg.FS.MkdirAll(dir); err != nil {
		logger.WithError(err).Warn("the known instances cannot be kept")
		return
	}
	for sleep(c.ctx, knownInterval) {
		content := strings.Join(c.knownInstances(), "\n")
		if content == "" || content == string(saved) {
			continue
		}
		if err := disk.Replace(c.cfg.FS, name, []byte(content)); err != nil {
			logger.WithError(err).Warn("the known instances cannot be kept")
			continue
		}
		saved = []byte(content)
	}
}

// parseKnown returns the IDs of a file with known instances. What is no address is left out: a
// damaged file costs time to find instances and nothing else.
func parseKnown(content string) []string {
	return slices.DeleteFunc(strings.Split(content, "\n"), func(id string) bool {
		_, err := netip.ParseAddrPort(id)
		return err != nil
	})
}
