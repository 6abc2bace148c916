package walog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/disk"
)

const (
	sealMagic  = 0x316c61657377610a
	sealHeader = 24
)

// WriteFile replaces a small file, such as term and vote or a snapshot, in one
// step. The content is sealed with a checksum and durable on return.
func WriteFile(f disk.FS, name string, content []byte) error {
	b := make([]byte, sealHeader, sealHeader+len(content))
	binary.LittleEndian.PutUint64(b, sealMagic)
	binary.LittleEndian.PutUint64(b[8:], uint64(len(content)))
	binary.LittleEndian.PutUint64(b[16:], xxhash.Sum64(content))
	return Error.Wrap(disk.Replace(f, name, append(b, content...)))
}

// ReadFile returns the content that WriteFile wrote. A damaged file gives an
// error of class Corrupt: WriteFile never leaves a partial one under its name.
func ReadFile(f disk.FS, name string) ([]byte, error) {
	b, err := disk.Read(f, name)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	content, ok := Unseal(b)
	if !ok {
		return nil, Corrupt.New("file %q does not match its checksum", name)
	}
	return content, nil
}

// Unseal returns the content of a file that WriteFile wrote, given its bytes, and
// whether it matches its checksum.
func Unseal(b []byte) ([]byte, bool) {
	if len(b) < sealHeader || binary.LittleEndian.Uint64(b) != sealMagic {
		return nil, false
	}
	content := b[sealHeader:]
	ok := binary.LittleEndian.Uint64(b[8:]) == uint64(len(content)) &&
		binary.LittleEndian.Uint64(b[16:]) == xxhash.Sum64(content)
	return content, ok
}
