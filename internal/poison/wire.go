package poison

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cranberrypath.example/cranberrypath/internal/poison/poispb"
)

// maxSuspects bounds the requests of one crash record. It exceeds the number of requests
// that a backend server runs at the same time.
const maxSuspects = 4096

// TakeChanges returns an encoded message for the other instances of the cell with all new
// records since the last call, or nil if there are none. Records received from other
// instances are forwarded once, so that a message lost on one path arrives on another.
func (l *Ledger) TakeChanges(now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if len(l.unsentCrashes)+len(l.unsentClears) == 0 {
		return nil
	}
	var m poispb.Records
	for key := range l.unsentCrashes {
		m.Crashes = append(m.Crashes, l.crashRecord(key, now))
	}
	for f := range l.unsentClears {
		m.Clears = append(m.Clears, clearRecord(f, l.cleared[f], now))
	}
	clear(l.unsentCrashes)
	clear(l.unsentClears)
	return encode(&m)
}

// RecordsOf returns an encoded message with the crashes that list a fingerprint and the clears
// of all requests in them, or nil if there are no such crashes.
func (l *Ledger) RecordsOf(f Fingerprint, now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var m poispb.Records
	for key, c := range l.crashes {
		if slices.Contains(c.fingerprints, f) {
			m.Crashes = append(m.Crashes, l.crashRecord(key, now))
		}
	}
	if len(m.Crashes) == 0 {
		return nil
	}
	for _, c := range m.Crashes {
		for _, b := range c.Fingerprints {
			if at, ok := l.cleared[Fingerprint(b)]; ok {
				m.Clears = append(m.Clears, clearRecord(Fingerprint(b), at, now))
			}
		}
	}
	return encode(&m)
}

// AllRecords returns an encoded message with all records, for an instance that joins.
func (l *Ledger) AllRecords(now time.Time) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var m poispb.Records
	for key := range l.crashes {
		m.Crashes = append(m.Crashes, l.crashRecord(key, now))
	}
	for f, at := range l.cleared {
		m.Clears = append(m.Clears, clearRecord(f, at, now))
	}
	return encode(&m)
}

func (l *Ledger) crashRecord(key crashKey, now time.Time) *poispb.Crash {
	c := l.crashes[key]
	out := &poispb.Crash{Server: key.server, Incarnation: key.incarnation, AgeMs: age(c.at, now)}
	for _, f := range c.fingerprints {
		out.Fingerprints = append(out.Fingerprints, f[:])
	}
	return out
}

func clearRecord(f Fingerprint, at, now time.Time) *poispb.Clear {
	return &poispb.Clear{Fingerprint: f[:], AgeMs: age(at, now)}
}

func age(at, now time.Time) uint64 { return uint64(max(now.Sub(at), 0).Milliseconds()) }

func encode(m *poispb.Records) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		// Marshal fails only for invalid UTF-8 in a server's id, which Unmarshal rejects.
		return nil
	}
	return b
}

// Merge adds the records of another instance. A malformed message changes nothing.
func (l *Ledger) Merge(b []byte, now time.Time) error {
	var m poispb.Records
	if err := proto.Unmarshal(b, &m); err != nil {
		return Error.Wrap(err)
	}
	crashes, clears, err := decodeRecords(&m)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range m.Crashes {
		if at, ok := eventTime(c.AgeMs, now); ok && len(crashes[i]) > 0 {
			l.addCrash(crashKey{c.Server, c.Incarnation}, crashes[i], at)
			l.clearCompleted(crashes[i], at)
		}
	}
	for i, c := range m.Clears {
		if at, ok := eventTime(c.AgeMs, now); ok {
			l.addClear(clears[i], at)
		}
	}
	return nil
}

// decodeRecords returns the fingerprints of each crash and each clear, or an error if the
// message exceeds a limit or has a fingerprint of the wrong length.
func decodeRecords(m *poispb.Records) (crashes [][]Fingerprint, clears []Fingerprint, err error) {
	if len(m.Crashes) > maxRecords || len(m.Clears) > maxRecords {
		return nil, nil, Error.New("%d crashes and %d clears exceed %d", len(m.Crashes), len(m.Clears), maxRecords)
	}
	for _, c := range m.Crashes {
		if len(c.Fingerprints) > maxSuspects {
			return nil, nil, Error.New("%d requests on one server exceed %d", len(c.Fingerprints), maxSuspects)
		}
		decoded, err := decodeFingerprints(c.Fingerprints)
		if err != nil {
			return nil, nil, err
		}
		crashes = append(crashes, decoded)
	}
	for _, c := range m.Clears {
		f, err := decodeFingerprint(c.Fingerprint)
		if err != nil {
			return nil, nil, err
		}
		clears = append(clears, f)
	}
	return crashes, clears, nil
}

func decodeFingerprints(encoded [][]byte) ([]Fingerprint, error) {
	out := make([]Fingerprint, 0, len(encoded))
	for _, b := range encoded {
		f, err := decodeFingerprint(b)
		if err != nil {
			return nil, err
		}
		out = append(out, f)
	}
	return out, nil
}

// addClear keeps the latest completion. Differences below one second come from message
// delays and are not forwarded, as two instances would otherwise exchange them forever.
func (l *Ledger) addClear(f Fingerprint, at time.Time) {
	old, ok := l.cleared[f]
	if ok && at.Sub(old) < time.Second || !ok && len(l.cleared) >= maxRecords {
		return
	}
	l.cleared[f], l.unsentClears[f], l.states = at, true, nil
}

// clearCompleted clears suspects of another instance that have completed here.
func (l *Ledger) clearCompleted(all []Fingerprint, at time.Time) {
	for _, f := range all {
		if l.completed.Has(f) {
			l.addClear(f, at)
		}
	}
}

func eventTime(ageMs uint64, now time.Time) (time.Time, bool) {
	if ageMs >= uint64(Expiry.Milliseconds()) {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ageMs) * time.Millisecond), true
}

func decodeFingerprint(b []byte) (f Fingerprint, err error) {
	if len(b) != len(f) {
		return f, Error.New("fingerprint of %d bytes, want %d", len(b), len(f))
	}
	copy(f[:], b)
	return f, nil
}
