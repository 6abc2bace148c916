package disk

import (
	"bytes"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
)

// Errors returned by Fake.
var (
	ErrCrashed = Error.New("the fake disk has crashed")
	ErrFull    = Error.New("no space left on the fake disk")
	ErrSync    = Error.New("sync failed on the fake disk")
)

// Fake is a disk in memory for tests. After a crash it has all synced data and a random
// part of the rest: of each file the unsynced operations up to a random byte, sometimes
// with a range of zeros before it, and of the directories a random prefix of the
// unsynced operations, as on a journaling file system.
type Fake struct {
	mu             sync.Mutex
	rng            *rand.Rand
	names          map[string]*inode // as the running process sees them
	durable        map[string]*inode // as they are after a crash
	unsyncedDirOps []dirOp           // oldest first

	restarts   int // number of restarts; files opened before the last one fail
	crashed    bool
	ops        int // number of writes, syncs and directory operations
	crashAt    int // operation that crashes the disk; 0 for none
	syncs      int
	failSyncAt int           // file sync that fails; 0 for none
	freeBytes  int           // bytes until the disk is full; negative means unlimited
	syncGate   chan struct{} // closed when blocked file syncs may continue; nil if they are not blocked
}

type inode struct {
	current  []byte // as the running process sees it
	durable  []byte
	unsynced []fileOp
}

// fileOp is a write at offset, or a truncation to offset if data is nil.
type fileOp struct {
	offset int
	data   []byte
}

// dirOp gives inode the name to, or removes the name from if inode is nil. A rename does
// both in one operation.
type dirOp struct {
	dir, from, to string
	inode         *inode
}

// NewFake returns an empty disk. The seed determines the data lost in crashes.
func NewFake(seed uint64) *Fake {
	return &Fake{
		rng: rand.New(rand.NewPCG(seed, 1)), names: map[string]*inode{},
		durable: map[string]*inode{}, freeBytes: -1,
	}
}

// CrashAt makes the disk crash in the n-th operation from now, or never if n is 0.
func (d *Fake) CrashAt(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashAt = 0
	if n > 0 {
		d.crashAt = d.ops + n
	}
}

// FailSync makes the n-th file sync from now fail. The bytes not yet synced stay visible
// but never become durable, as on Linux.
func (d *Fake) FailSync(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncAt = d.syncs + n
}

// SetFreeBytes makes writes fail after n more bytes; negative means unlimited.
func (d *Fake) SetFreeBytes(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes = n
}

// BlockSyncs makes file syncs wait until UnblockSyncs or a crash, as on a disk that does
// not respond.
func (d *Fake) BlockSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.syncGate == nil {
		d.syncGate = make(chan struct{})
	}
}

// UnblockSyncs ends the effect of BlockSyncs.
func (d *Fake) UnblockSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unblockSyncs()
}

func (d *Fake) unblockSyncs() {
	if d.syncGate != nil {
		close(d.syncGate)
		d.syncGate = nil
	}
}

// waitSyncGate waits while file syncs are blocked.
func (d *Fake) waitSyncGate() {
	d.mu.Lock()
	gate := d.syncGate
	d.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// Ops returns the number of writes, syncs and directory operations so far.
func (d *Fake) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// Crashed reports whether the disk has crashed and was not restarted.
func (d *Fake) Crashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}

// Crash crashes the disk now: every operation fails until Restart.
func (d *Fake) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
}

// Restart crashes the disk, if it has not crashed, and makes it usable again. Files
// opened before fail.
func (d *Fake) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
	d.crashed = false
	d.crashAt, d.failSyncAt = 0, 0
	d.restarts++
}

// Wipe removes all files, as if the disk was replaced.
func (d *Fake) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable, d.unsyncedDirOps = map[string]*inode{}, map[string]*inode{}, nil
	d.restarts++
}

// FlipBit inverts a random bit of the byte at offset, visibly and durably, as a bad
// sector does.
func (d *Fake) FlipBit(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[filepath.Clean(name)]
	n.current = bytes.Clone(n.current)
	n.current[offset] ^= 1 << d.rng.IntN(8)
	n.durable, n.unsynced = bytes.Clone(n.current), nil
}

func (d *Fake) crash() {
	if d.crashed {
		return
	}
	d.crashed = true
	d.unblockSyncs()
	for _, op := range d.unsyncedDirOps[:d.rng.IntN(len(d.unsyncedDirOps)+1)] {
		op.apply(d.durable)
	}
	d.unsyncedDirOps = nil
	seen := map[*inode]bool{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		if n := d.durable[name]; !seen[n] {
			seen[n] = true
			n.loseUnsynced(d.rng)
		}
	}
	d.names = maps.Clone(d.durable)
}

func (op dirOp) apply(names map[string]*inode) {
	if op.from != "" {
		delete(names, op.from)
	}
	if op.inode != nil {
		names[op.to] = op.inode
	}
}

// loseUnsynced keeps a random part of the unsynced operations.
func (n *inode) loseUnsynced(rng *rand.Rand) {
	keep := rng.IntN(len(n.unsynced) + 1)
	synced := len(n.durable)
	for _, op := range n.unsynced[:keep] {
		n.durable = op.apply(n.durable)
	}
	if keep < len(n.unsynced) && len(n.unsynced[keep].data) > 0 {
		op := n.unsynced[keep]
		op.data = op.data[:rng.IntN(len(op.data)+1)]
		n.durable = op.apply(n.durable)
	}
	if grown := len(n.durable) - synced; grown > 0 && rng.IntN(4) == 0 {
		hole := synced + rng.IntN(grown)
		n.durable = bytes.Clone(n.durable)
		clear(n.durable[hole : hole+rng.IntN(len(n.durable)-hole)+1])
	}
	n.unsynced = nil
	n.current = bytes.Clone(n.durable)
}

func (op fileOp) apply(b []byte) []byte {
	if op.data == nil {
		if op.offset <= len(b) {
			return b[:op.offset:op.offset]
		}
		return append(b, make([]byte, op.offset-len(b))...)
	}
	if need := op.offset + len(op.data); need > len(b) {
		b = append(b, make([]byte, need-len(b))...)
	}
	copy(b[op.offset:], op.data)
	return b
}

// beginOp counts an operation and reports whether the disk crashes in it. In that case
// the caller leaves the operation unsynced and calls crash.
func (d *Fake) beginOp() (crashing bool, err error) {
	if d.crashed {
		return false, ErrCrashed
	}
	d.ops++
	return d.ops == d.crashAt, nil
}

// applyDirOp performs a directory operation, which is not durable yet.
func (d *Fake) applyDirOp(op dirOp) error {
	crashing, err := d.beginOp()
	if err != nil {
		return err
	}
	op.apply(d.names)
	d.unsyncedDirOps = append(d.unsyncedDirOps, op)
	if crashing {
		d.crash()
		return ErrCrashed
	}
	return nil
}

// MkdirAll implements FS. All directories exist and are durable without being created.
func (d *Fake) MkdirAll(string) error {
	if d.Crashed() {
		return ErrCrashed
	}
	return nil
}

// Create implements FS.
func (d *Fake) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name = filepath.Clean(name)
	n := &inode{}
	if err := d.applyDirOp(dirOp{dir: filepath.Dir(name), to: name, inode: n}); err != nil {
		return nil, err
	}
	return &fakeFile{disk: d, inode: n, restarts: d.restarts}, nil
}

// Append implements FS.
func (d *Fake) Append(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.lookup(name)
	if err != nil {
		return nil, err
	}
	return &fakeFile{disk: d, inode: n, restarts: d.restarts}, nil
}

// Open implements FS.
func (d *Fake) Open(name string) (io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.lookup(name)
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(bytes.Clone(n.current))), nil
}

func (d *Fake) lookup(name string) (*inode, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	n := d.names[filepath.Clean(name)]
	if n == nil {
		return nil, Error.Wrap(&fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist})
	}
	return n, nil
}

// Rename implements FS.
func (d *Fake) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.lookup(from)
	if err != nil {
		return err
	}
	from, to = filepath.Clean(from), filepath.Clean(to)
	return d.applyDirOp(dirOp{dir: filepath.Dir(to), from: from, to: to, inode: n})
}

// Remove implements FS.
func (d *Fake) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.lookup(name); err != nil {
		return err
	}
	name = filepath.Clean(name)
	return d.applyDirOp(dirOp{dir: filepath.Dir(name), from: name})
}

// List implements FS.
func (d *Fake) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	var out []string
	for name := range d.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

// SyncDir implements FS.
func (d *Fake) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := d.beginOp()
	if err != nil {
		return err
	}
	if crashing {
		d.crash()
		return ErrCrashed
	}
	dir = filepath.Clean(dir)
	rest := d.unsyncedDirOps[:0:0]
	for _, op := range d.unsyncedDirOps {
		if op.dir != dir {
			rest = append(rest, op)
			continue
		}
		op.apply(d.durable)
	}
	d.unsyncedDirOps = rest
	return nil
}

type fakeFile struct {
	disk     *Fake
	inode    *inode
	restarts int
}

func (f *fakeFile) beginOp() (bool, error) {
	if f.restarts != f.disk.restarts {
		return false, ErrCrashed
	}
	return f.disk.beginOp()
}

func (f *fakeFile) Write(b []byte) (int, error) {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := f.beginOp()
	if err != nil {
		return 0, err
	}
	n := len(b)
	if d.freeBytes >= 0 {
		n = min(n, d.freeBytes)
		d.freeBytes -= n
	}
	op := fileOp{offset: len(f.inode.current), data: bytes.Clone(b[:n])}
	if n > 0 {
		f.inode.current = op.apply(f.inode.current)
		f.inode.unsynced = append(f.inode.unsynced, op)
	}
	if crashing {
		d.crash()
		return 0, ErrCrashed
	}
	if n < len(b) {
		return n, ErrFull
	}
	return n, nil
}

func (f *fakeFile) Truncate(size int64) error {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := f.beginOp()
	if err != nil {
		return err
	}
	op := fileOp{offset: int(size)}
	f.inode.current = op.apply(f.inode.current)
	f.inode.unsynced = append(f.inode.unsynced, op)
	if crashing {
		d.crash()
		return ErrCrashed
	}
	return nil
}

func (f *fakeFile) Sync() error {
	d := f.disk
	d.waitSyncGate()
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := f.beginOp()
	if err != nil {
		return err
	}
	if crashing {
		d.crash()
		return ErrCrashed
	}
	d.syncs++
	if d.syncs == d.failSyncAt {
		f.inode.unsynced = nil
		return ErrSync
	}
	for _, op := range f.inode.unsynced {
		f.inode.durable = op.apply(f.inode.durable)
	}
	f.inode.unsynced = nil
	return nil
}

func (f *fakeFile) Close() error { return nil }
