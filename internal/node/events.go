package node

import (
	"encoding/json"

	"cranberrypath.example/cranberrypath/internal/event"
)

// maxEventBytes keeps an answer below the largest message of a link. The newest
// events are kept.
const maxEventBytes = 8 << 20

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

func encodeEvents(all []event.Event) []byte {
	for {
		b, err := json.Marshal(all)
		if err != nil {
			panic(err) // plain data always marshals
		}
		if len(b) <= maxEventBytes {
			return b
		}
		all = all[len(all)/2:]
	}
}

func decodeEvents(b []byte) ([]event.Event, error) {
	var all []event.Event
	return all, Error.Wrap(json.Unmarshal(b, &all))
}
