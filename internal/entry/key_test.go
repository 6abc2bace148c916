package entry

import (
	"testing"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/pkg/decl"
)

// Guards against a request whose key is unknown or was taken away, and that is served as one
// without a key in the name of an organisation that needs none.
func TestAuthenticate(t *testing.T) {
	d := &decl.Declaration{Organisations: []decl.Organisation{{Name: "acme", Keys: []string{decl.HashKey("key")}}, {Name: "open"}}}
	for _, c := range []struct {
		name, credentials, organisation string
		want                            string // empty if the request is refused
	}{
		{"key", "Bearer key", "", "acme"},
		{"key and another organisation", "Bearer key", "open", "acme"},
		{"organisation without keys", "", "open", "open"},
		{"organisation with keys", "", "acme", ""},
		{"unknown key", "Bearer none", "", ""},
		{"unknown key, organisation without keys", "Bearer none", "open", ""},
		{"empty key, organisation without keys", "Bearer ", "open", ""},
		{"nothing", "", "", ""},
	} {
		var h fasthttp.RequestHeader
		if c.credentials != "" {
			h.Set(fasthttp.HeaderAuthorization, c.credentials)
		}
		if c.organisation != "" {
			h.Set(headerOrganisation, c.organisation)
		}
		org, f := authenticate(d, &h)
		if org.Name != c.want || (f == nil) != (c.want != "") {
			t.Errorf("%s: organisation %q, refused %v; want %q", c.name, org.Name, f != nil, c.want)
		}
	}
}
