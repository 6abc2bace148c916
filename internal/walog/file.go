package walog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cranberrypath.example/cranberrypath/internal/disk"
)

const (
	fileMagic       = 0x316c61657377610a
	fileHeaderBytes = 24
)

// WriteFile atomically replaces a file such as a snapshot. The file has a checksum and
// is durable on return.
func WriteFile(f disk.FS, name string, content []byte) error {
	b := make([]byte, fileHeaderBytes, fileHeaderBytes+len(content))
	binary.LittleEndian.PutUint64(b, fileMagic)
	binary.LittleEndian.PutUint64(b[8:], uint64(len(content)))
	binary.LittleEndian.PutUint64(b[16:], xxhash.Sum64(content))
	return Error.Wrap(disk.Replace(f, name, append(b, content...)))
}

// ReadFile returns the content that WriteFile wrote. For a damaged file it returns an
// error of class Corrupt; WriteFile never leaves a partial file with that name.
func ReadFile(f disk.FS, name string) ([]byte, error) {
	b, err := disk.Read(f, name)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	content, ok := DecodeFile(b)
	if !ok {
		return nil, Corrupt.New("file %q does not match its checksum", name)
	}
	return content, nil
}

// DecodeFile returns the content in the bytes of a file that WriteFile wrote, and
// whether it matches the checksum.
func DecodeFile(b []byte) ([]byte, bool) {
	if len(b) < fileHeaderBytes || binary.LittleEndian.Uint64(b) != fileMagic {
		return nil, false
	}
	content := b[fileHeaderBytes:]
	ok := binary.LittleEndian.Uint64(b[8:]) == uint64(len(content)) &&
		binary.LittleEndian.Uint64(b[16:]) == xxhash.Sum64(content)
	return content, ok
}
