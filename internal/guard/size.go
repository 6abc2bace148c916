package guard

// Limits are the bounds of a process.
type Limits struct {
	Bytes int64 // of the account
	Conns int   // of callers
	// OtherConns bounds the connections to each of the other ports.
	OtherConns int
}

const (
	// accountShare is the share of the machine's memory for what callers have sent. With the
	// collector's growth of a half it takes 30%; responses, connections and the program have
	// the rest.
	accountShare = 0.2
	// connBytes is the machine's memory for each connection of callers. A connection takes 20
	// to 30 KiB, and the other ports have three quarters as many together.
	connBytes = 128 << 10
	// reservedDescriptors are kept free for the program's own files.
	reservedDescriptors = 200
	// callerShare is the share of the other descriptors for callers. The three other ports have
	// three quarters as many together, and servers and peers the rest: a running request needs a
	// connection to a server.
	callerShare = 0.35
	// otherShare is the number of connections to each other port, by those of callers.
	otherShare = 0.25
	minConns   = 16
)

// ForMemory returns the bounds for a process of which only the memory may be known, and whose
// callers may have up to conns connections.
func ForMemory(memory float64, conns int) Limits {
	if memory == 0 {
		return Limits{Bytes: defaultBytes, Conns: conns}
	}
	l := LimitsFor(memory, 0)
	l.Conns = min(l.Conns, conns)
	return l
}

// LimitsFor returns the bounds for a machine. Descriptors of 0 are not known.
func LimitsFor(memory float64, descriptors int) Limits {
	conns := int(memory / connBytes)
	if descriptors > 0 {
		conns = min(conns, int(callerShare*float64(descriptors-reservedDescriptors)))
	}
	conns = max(conns, minConns)
	return Limits{Bytes: int64(accountShare * memory), Conns: conns, OtherConns: max(minConns, int(otherShare*float64(conns)))}
}
