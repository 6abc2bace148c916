package event

import (
	"bytes"
	"encoding/json"
	"time"

	"cranberrypath.example/cranberrypath/internal/clock"
)

// logLine is a JSON line of a process's log.
type logLine struct {
	Fields    map[string]json.RawMessage `json:"fields"`
	Level     string                     `json:"level"`
	Timestamp time.Time                  `json:"timestamp"`
	Message   string                     `json:"message"`
}

// parseLine parses an event or a log line. node is the process of log lines without
// a prefix; a process.started line updates it.
func parseLine(b []byte, node *string) (Event, error) {
	prefix, body := b, []byte(nil)
	if i := bytes.IndexByte(b, '{'); i >= 0 {
		prefix, body = b[:i], b[i:]
	}
	var l logLine
	if err := json.Unmarshal(body, &l); err != nil {
		return Event{}, Error.Wrap(err)
	}
	if l.Fields == nil {
		var e Event
		return e, Error.Wrap(json.Unmarshal(body, &e))
	}
	e := Event{Time: l.Timestamp.UTC(), Stamp: clock.FromTime(l.Timestamp), Detail: map[string]string{"message": l.Message}}
	for k, raw := range l.Fields {
		var text string
		if json.Unmarshal(raw, &text) != nil {
			text = string(raw) // other types keep their JSON encoding
		}
		switch k {
		case "event":
			e.Kind = text
		case "request":
			e.Request = text
		default:
			e.Detail[k] = text
		}
	}
	if name := e.Detail["node"]; name != "" && e.Kind == "process.started" {
		*node = name
	}
	e.Node = *node
	if words := bytes.Fields(prefix); len(words) > 0 {
		e.Node = string(words[len(words)-1])
	}
	return e, nil
}
