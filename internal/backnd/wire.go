package backnd

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"cranberrypath.example/cranberrypath/internal/world"
	"cranberrypath.example/cranberrypath/pkg/decl"
)

// AnnouncePath is the URL path at which entry instances accept announcements.
const AnnouncePath = "/v1/backends/announce"

// Announcement is the state that a backend server reports periodically.
type Announcement struct {
	Backend     world.Backend
	Seq         uint64 // increases with each announcement of an incarnation
	Load        world.Load
	CacheEvents *world.CacheEvents // nil if there are none
}

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	AnnounceTo  string // address of the entry instance to announce to next
	Interval    time.Duration
	ResyncCache bool
}

type wireAnnouncement struct {
	ID           string     `json:"id"`
	Incarnation  uint64     `json:"incarnation"`
	Seq          uint64     `json:"seq"`
	Address      string     `json:"address"`
	Service      string     `json:"service"`
	Kind         string     `json:"kind"`
	Versions     []string   `json:"versions"`
	Adapters     []string   `json:"adapters"`
	Role         string     `json:"role"`
	DataCentre   string     `json:"dataCentre"`
	Zone         string     `json:"zone"`
	MachineClass string     `json:"machineClass"`
	Reclaimable  bool       `json:"reclaimable"`
	Price        float64    `json:"price"`
	Slots        int        `json:"slots"`
	CacheBlocks  int        `json:"cacheBlocks"`
	State        string     `json:"state"`
	LeaveBy      *time.Time `json:"leaveBy"`
	Load         wireLoad   `json:"load"`
	CacheEvents  *wireCache `json:"cacheEvents"`
}

type wireLoad struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	CacheUsed       float64 `json:"cacheUsed"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
	PrefillMicros   float64 `json:"prefillMicrosPerToken"`
	AgeMillis       int64   `json:"ageMillis"`
}

type wireCache struct {
	From    uint64   `json:"from"`
	Full    bool     `json:"full"`
	Added   hashList `json:"added"`
	Removed hashList `json:"removed"`
}

// hashList holds block hashes, encoded as strings of 16 hexadecimal digits.
type hashList []uint64

// UnmarshalJSON parses the list without allocating a string for each hash.
func (l *hashList) UnmarshalJSON(b []byte) error {
	var hashes []json.RawMessage
	if err := json.Unmarshal(b, &hashes); err != nil {
		return err
	}
	out := make(hashList, 0, len(hashes))
	for _, t := range hashes {
		if len(t) != 18 || t[0] != '"' || t[17] != '"' {
			return Error.New("hash %.20q is not a string of 16 hexadecimal digits", t)
		}
		h, err := strconv.ParseUint(string(t[1:17]), 16, 64)
		if err != nil {
			return Error.New("hash %q is not hexadecimal", t)
		}
		out = append(out, h)
	}
	*l = out
	return nil
}

// DecodeAnnouncement decodes the body of an announcement received at now.
func DecodeAnnouncement(body []byte, now time.Time) (Announcement, error) {
	if len(body) > maxAnnouncementBytes {
		return Announcement{}, Error.New("announcement has %d bytes; allowed are %d", len(body), maxAnnouncementBytes)
	}
	var w wireAnnouncement
	if err := json.Unmarshal(body, &w); err != nil {
		return Announcement{}, Error.Wrap(err)
	}
	state, err := w.validate()
	if err != nil {
		return Announcement{}, err
	}
	a := Announcement{
		Backend: world.Backend{
			ID: w.ID, Incarnation: w.Incarnation, Address: w.Address, Service: w.Service, Kind: w.Kind,
			Versions: w.Versions, Adapters: w.Adapters, Role: w.Role,
			DataCentre: w.DataCentre, Zone: w.Zone, MachineClass: w.MachineClass,
			Reclaimable: w.Reclaimable, Price: w.Price, Slots: w.Slots, CacheBlocks: w.CacheBlocks,
			State: state,
		},
		Seq: w.Seq,
		Load: world.Load{
			Running: w.Load.Running, Waiting: w.Load.Waiting, CacheUsed: w.Load.CacheUsed,
			TokensPerSecond: w.Load.TokensPerSecond,
			PrefillPerToken: time.Duration(w.Load.PrefillMicros * float64(time.Microsecond)),
			MeasuredAt:      now.Add(-time.Duration(w.Load.AgeMillis) * time.Millisecond),
		},
	}
	if w.LeaveBy != nil {
		a.Backend.LeaveBy = *w.LeaveBy
	}
	if e := w.CacheEvents; e != nil {
		a.CacheEvents = &world.CacheEvents{From: e.From, Full: e.Full, Added: e.Added, Removed: e.Removed}
	}
	return a, nil
}

// Bounds of what an announcement may state. Instances exchange counts in 32 bits, and no
// later announcement could exceed the highest incarnation or sequence number.
const (
	maxNameBytes = 256
	maxCount     = 1<<31 - 1
	maxNumber    = 1<<63 - 1
)

func (w *wireAnnouncement) validate() (world.State, error) {
	var state world.State
	switch w.State {
	case "starting":
		state = world.Starting
	case "ready":
		state = world.Ready
	case "leaving":
		state = world.Leaving
	default:
		return 0, Error.New("state is %q; want starting, ready or leaving", w.State)
	}
	const maxAgeMillis = 3_600_000
	addr, addrErr := netip.ParseAddrPort(w.Address)
	switch {
	case w.ID == "" || len(w.ID) > maxNameBytes:
		return 0, Error.New("id has %d bytes; want 1 to %d", len(w.ID), maxNameBytes)
	case w.Service == "":
		return 0, Error.New("service is missing")
	case max(len(w.Service), len(w.Role), len(w.DataCentre), len(w.Zone), len(w.MachineClass)) > maxNameBytes || slices.ContainsFunc(slices.Concat(w.Versions, w.Adapters), func(name string) bool { return len(name) > maxNameBytes }):
		return 0, Error.New("a name has more than %d bytes", maxNameBytes)
	case addrErr != nil || addr.Port() == 0 || addr.Addr().Zone() != "" || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		return 0, Error.New("address is %.80q; want an IP address and port", w.Address)
	case w.Incarnation > maxNumber || w.Seq > maxNumber || w.CacheEvents != nil && w.CacheEvents.From > maxNumber:
		return 0, Error.New("incarnation, seq and from must not exceed %d", uint64(maxNumber))
	case max(w.Slots, w.CacheBlocks, w.Load.Running, w.Load.Waiting) > maxCount || w.Price > maxCount || w.Load.TokensPerSecond > maxCount:
		return 0, Error.New("slots, cacheBlocks, price and load must not exceed %d", maxCount)
	case w.Kind != decl.Model && w.Kind != decl.Plain:
		return 0, Error.New("kind is %q; want model or plain", w.Kind)
	case w.Slots < 0 || w.CacheBlocks < 0 || w.Load.Running < 0 || w.Load.Waiting < 0 || w.Price < 0:
		return 0, Error.New("slots, cacheBlocks, price and load must not be negative")
	case w.Load.AgeMillis < 0 || w.Load.AgeMillis > maxAgeMillis:
		return 0, Error.New("ageMillis is %d; want 0 to %d", w.Load.AgeMillis, maxAgeMillis)
	case w.Load.CacheUsed < 0 || w.Load.CacheUsed > 1 || w.Load.TokensPerSecond < 0:
		return 0, Error.New("load is out of range")
	case w.Load.PrefillMicros < 0 || w.Load.PrefillMicros > 1e9:
		return 0, Error.New("prefillMicrosPerToken is out of range")
	case w.CacheEvents != nil && w.CacheEvents.Full && len(w.CacheEvents.Removed) > 0:
		return 0, Error.New("a full cache event removes nothing")
	}
	return state, nil
}

// EncodeReply encodes the response body for an announcement.
func EncodeReply(r AnnounceReply) []byte {
	b, err := json.Marshal(struct {
		Home        string `json:"home"`
		EveryMillis int64  `json:"everyMillis"`
		ResyncCache bool   `json:"resyncCache"`
	}{r.AnnounceTo, r.Interval.Milliseconds(), r.ResyncCache})
	if err != nil {
		panic(err) // strings, numbers and booleans can always be encoded
	}
	return b
}
