package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
)

// Fingerprint identifies a request by service, version and body. The cryptographic hash
// prevents callers from making another caller's request a suspect by a collision.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(service, version string, body []byte) Fingerprint {
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

// ServerPermitKey returns the key of the permit to run suspects on a server. Such keys share
// the type of the requests' fingerprints, so that both kinds have a PermitOwner.
func ServerPermitKey(server string, incarnation uint64) Fingerprint {
	return NewFingerprint("slot", server, binary.BigEndian.AppendUint64(nil, incarnation))
}

// PermitOwner returns the instance that grants the permits of a fingerprint, by rendezvous
// hashing, so that all instances with the same list of instances agree.
func PermitOwner(f Fingerprint, instances []string) string {
	if len(instances) == 0 {
		return ""
	}
	return PermitOwners(f, instances)[0]
}

// PermitOwners returns the instances in their rendezvous order for a fingerprint; the first one
// is PermitOwner. Removing an instance does not change the order of the others.
func PermitOwners(f Fingerprint, instances []string) []string {
	hash := map[string]Fingerprint{}
	for _, n := range instances {
		hash[n] = NewFingerprint(n, "", f[:])
	}
	return slices.SortedFunc(maps.Keys(hash), func(a, b string) int {
		x, y := hash[a], hash[b]
		return cmp.Or(slices.Compare(y[:], x[:]), cmp.Compare(a, b))
	})
}
