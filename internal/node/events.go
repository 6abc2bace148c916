package node

import (
	"encoding/json"

	"cranberrypath.example/cranberrypath/internal/event"
)

// maxEventsBytes keeps a response below the maximum message size of a link. Older
// events are dropped to fit.
const maxEventsBytes = 8 << 20

func encodeFilter(f event.Filter) []byte {
	b, err := json.Marshal(f)
	if err != nil {
		panic(err) // plain data always marshals
	}
	return b
}

func decodeFilter(b []byte) (event.Filter, error) {
	var f event.Filter
	return f, Error.Wrap(json.Unmarshal(b, &f))
}

func encodeEvents(events []event.Event) []byte {
	for {
		b, err := json.Marshal(events)
		if err != nil {
			panic(err) // plain data always marshals
		}
		if len(b) <= maxEventsBytes {
			return b
		}
		events = events[len(events)/2:]
	}
}

func decodeEvents(b []byte) ([]event.Event, error) {
	var events []event.Event
	return events, Error.Wrap(json.Unmarshal(b, &events))
}
