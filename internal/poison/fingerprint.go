package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
)

// Fingerprint identifies a request by service, version and body. It is a
// cryptographic hash, so that no caller can make another's request a suspect.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Of returns the fingerprint of a request.
func Of(service, version string, body []byte) Fingerprint {
	h := sha256.New()
	var n [8]byte
	for _, s := range []string{service, version} {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// Slot returns the key of the permit to run a suspect on a server.
func Slot(server string, incarnation uint64) Fingerprint {
	return Of("slot", server, binary.BigEndian.AppendUint64(nil, incarnation))
}

// Home returns the node that gives the permits of a fingerprint: the one with
// the highest hash, so that all instances with the same list of nodes agree.
func Home(f Fingerprint, nodes []string) string {
	if len(nodes) == 0 {
		return ""
	}
	return Homes(f, nodes)[0]
}

// Homes returns the nodes in the order in which they are homes of a fingerprint.
// Lists that differ in one node give the same order for the others.
func Homes(f Fingerprint, nodes []string) []string {
	hash := map[string]Fingerprint{}
	for _, n := range nodes {
		hash[n] = Of(n, "", f[:])
	}
	return slices.SortedFunc(maps.Keys(hash), func(a, b string) int {
		x, y := hash[a], hash[b]
		return cmp.Or(slices.Compare(y[:], x[:]), cmp.Compare(a, b))
	})
}
