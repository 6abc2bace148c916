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

// Errors of the fake disk.
var (
	ErrCrashed = Error.New("the fake disk has crashed")
	ErrFull    = Error.New("no space left on the fake disk")
	ErrSync    = Error.New("sync failed on the fake disk")
)

// Fake is a disk in memory for tests. A crash keeps what was synced and a
// random part of the rest: of each file the unsynced operations up to a random
// byte, sometimes with a hole of zeros before it, and of the directories a random
// prefix of the unsynced operations, as a journaling file system does.
type Fake struct {
	mu      sync.Mutex
	rng     *rand.Rand
	names   map[string]*inode // as the running process sees them
	durable map[string]*inode // as a crash leaves them
	dirOps  []dirOp           // not yet durable, oldest first

	boot     int // handles of earlier boots are dead
	crashed  bool
	ops      int // writes, syncs and changes of names so far
	crashAt  int // crash at this operation; 0 never
	syncs    int
	failSync int           // fail this sync; 0 never
	free     int           // bytes until the disk is full; negative is unlimited
	held     chan struct{} // syncs of files wait until it is closed; nil without Hold
}

type inode struct {
	now     []byte // as the running process sees it
	durable []byte
	pending []fileOp
}

// fileOp is a write at off, or a truncation to off if data is nil.
type fileOp struct {
	off  int
	data []byte
}

// dirOp names an inode, or removes the name if node is nil. A rename is one
// operation: to is named and from removed.
type dirOp struct {
	dir, from, to string
	node          *inode
}

// NewFake returns an empty disk whose losses are drawn from the seed.
func NewFake(seed uint64) *Fake {
	return &Fake{
		rng: rand.New(rand.NewPCG(seed, 1)), names: map[string]*inode{},
		durable: map[string]*inode{}, free: -1,
	}
}

// CrashAt makes the disk crash in the n-th operation from now; 0 never.
func (d *Fake) CrashAt(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashAt = 0
	if n > 0 {
		d.crashAt = d.ops + n
	}
}

// FailSync makes the n-th sync of a file from now fail once. The bytes that it
// covered stay visible but never become durable, as on Linux.
func (d *Fake) FailSync(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSync = d.syncs + n
}

// SetFree leaves n bytes until writes fail; negative is unlimited.
func (d *Fake) SetFree(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = n
}

// Hold makes the syncs of files wait until Release, as on a disk that does not
// answer. A crash ends the wait.
func (d *Fake) Hold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held == nil {
		d.held = make(chan struct{})
	}
}

// Release ends Hold.
func (d *Fake) Release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release()
}

func (d *Fake) release() {
	if d.held != nil {
		close(d.held)
		d.held = nil
	}
}

// await waits while syncs are held.
func (d *Fake) await() {
	d.mu.Lock()
	held := d.held
	d.mu.Unlock()
	if held != nil {
		<-held
	}
}

// Ops returns the number of writes, syncs and changes of names so far.
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

// Crash stops the disk now: every operation fails until Restart.
func (d *Fake) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
}

// Restart brings the disk back after a crash. Open files are dead.
func (d *Fake) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
	d.crashed = false
	d.crashAt, d.failSync = 0, 0
	d.boot++
}

// Wipe removes everything, as replacing the disk does.
func (d *Fake) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable, d.dirOps = map[string]*inode{}, map[string]*inode{}, nil
	d.boot++
}

// Flip inverts one bit of a file, both visible and durable, as a bad sector does.
func (d *Fake) Flip(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[filepath.Clean(name)]
	n.now = bytes.Clone(n.now)
	n.now[at] ^= 1 << d.rng.IntN(8)
	n.durable, n.pending = bytes.Clone(n.now), nil
}

func (d *Fake) crash() {
	if d.crashed {
		return
	}
	d.crashed = true
	d.release()
	for _, op := range d.dirOps[:d.rng.IntN(len(d.dirOps)+1)] {
		op.apply(d.durable)
	}
	d.dirOps = nil
	seen := map[*inode]bool{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		if n := d.durable[name]; !seen[n] {
			seen[n] = true
			n.tear(d.rng)
		}
	}
	d.names = maps.Clone(d.durable)
}

func (op dirOp) apply(names map[string]*inode) {
	if op.from != "" {
		delete(names, op.from)
	}
	if op.node != nil {
		names[op.to] = op.node
	}
}

// tear keeps a random part of the pending operations.
func (n *inode) tear(rng *rand.Rand) {
	keep := rng.IntN(len(n.pending) + 1)
	synced := len(n.durable)
	for _, op := range n.pending[:keep] {
		n.durable = op.apply(n.durable)
	}
	if keep < len(n.pending) && len(n.pending[keep].data) > 0 {
		op := n.pending[keep]
		op.data = op.data[:rng.IntN(len(op.data)+1)]
		n.durable = op.apply(n.durable)
	}
	if fresh := len(n.durable) - synced; fresh > 0 && rng.IntN(4) == 0 {
		from := synced + rng.IntN(fresh)
		n.durable = bytes.Clone(n.durable)
		clear(n.durable[from : from+rng.IntN(len(n.durable)-from)+1])
	}
	n.pending = nil
	n.now = bytes.Clone(n.durable)
}

func (op fileOp) apply(b []byte) []byte {
	if op.data == nil {
		if op.off <= len(b) {
			return b[:op.off:op.off]
		}
		return append(b, make([]byte, op.off-len(b))...)
	}
	if need := op.off + len(op.data); need > len(b) {
		b = append(b, make([]byte, need-len(b))...)
	}
	copy(b[op.off:], op.data)
	return b
}

// step counts an operation. It returns crashing if the operation is the one in
// which the disk crashes; the caller leaves its effect pending and calls crash.
func (d *Fake) step() (crashing bool, err error) {
	if d.crashed {
		return false, ErrCrashed
	}
	d.ops++
	return d.ops == d.crashAt, nil
}

// change applies an operation on names.
func (d *Fake) change(op dirOp) error {
	crashing, err := d.step()
	if err != nil {
		return err
	}
	op.apply(d.names)
	d.dirOps = append(d.dirOps, op)
	if crashing {
		d.crash()
		return ErrCrashed
	}
	return nil
}

// MkdirAll implements FS. Directories exist and survive without being made.
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
	if err := d.change(dirOp{dir: filepath.Dir(name), to: name, node: n}); err != nil {
		return nil, err
	}
	return &fakeFile{disk: d, node: n, boot: d.boot}, nil
}

// Append implements FS.
func (d *Fake) Append(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return &fakeFile{disk: d, node: n, boot: d.boot}, nil
}

// Open implements FS.
func (d *Fake) Open(name string) (io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(bytes.Clone(n.now))), nil
}

func (d *Fake) find(name string) (*inode, error) {
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
	n, err := d.find(from)
	if err != nil {
		return err
	}
	from, to = filepath.Clean(from), filepath.Clean(to)
	return d.change(dirOp{dir: filepath.Dir(to), from: from, to: to, node: n})
}

// Remove implements FS.
func (d *Fake) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.find(name); err != nil {
		return err
	}
	name = filepath.Clean(name)
	return d.change(dirOp{dir: filepath.Dir(name), from: name})
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
	crashing, err := d.step()
	if err != nil {
		return err
	}
	if crashing {
		d.crash()
		return ErrCrashed
	}
	dir = filepath.Clean(dir)
	rest := d.dirOps[:0:0]
	for _, op := range d.dirOps {
		if op.dir != dir {
			rest = append(rest, op)
			continue
		}
		op.apply(d.durable)
	}
	d.dirOps = rest
	return nil
}

type fakeFile struct {
	disk *Fake
	node *inode
	boot int
}

func (f *fakeFile) step() (bool, error) {
	if f.boot != f.disk.boot {
		return false, ErrCrashed
	}
	return f.disk.step()
}

func (f *fakeFile) Write(b []byte) (int, error) {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := f.step()
	if err != nil {
		return 0, err
	}
	n := len(b)
	if d.free >= 0 {
		n = min(n, d.free)
		d.free -= n
	}
	op := fileOp{off: len(f.node.now), data: bytes.Clone(b[:n])}
	if n > 0 {
		f.node.now = op.apply(f.node.now)
		f.node.pending = append(f.node.pending, op)
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
	crashing, err := f.step()
	if err != nil {
		return err
	}
	op := fileOp{off: int(size)}
	f.node.now = op.apply(f.node.now)
	f.node.pending = append(f.node.pending, op)
	if crashing {
		d.crash()
		return ErrCrashed
	}
	return nil
}

func (f *fakeFile) Sync() error {
	d := f.disk
	d.await()
	d.mu.Lock()
	defer d.mu.Unlock()
	crashing, err := f.step()
	if err != nil {
		return err
	}
	if crashing {
		d.crash()
		return ErrCrashed
	}
	d.syncs++
	if d.syncs == d.failSync {
		f.node.pending = nil
		return ErrSync
	}
	for _, op := range f.node.pending {
		f.node.durable = op.apply(f.node.durable)
	}
	f.node.pending = nil
	return nil
}

func (f *fakeFile) Close() error { return nil }
