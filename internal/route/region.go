package route

import (
	"slices"

	"cranberrypath.example/cranberrypath/internal/world"
)

// allows reports whether a server is in a region of the request. A server whose region is
// unknown is in none.
func (q *Query) allows(b world.Backend) bool {
	return q.Regions == nil || b.Region != "" && slices.Contains(q.Regions, b.Region)
}
