package proxy

import (
	"context"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"cranberrypath.example/cranberrypath/internal/roster"
)

// Guards against logs that do not tell which requests a server held when it crashed, or a
// crashed server from a broken connection.
func TestBrokenConnectionsAreLogged(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		p := newProxy(t, &scriptedSender{responses: []scriptedResponse{{err: errReset}}}, 1)
		logged := memory.New()
		p.cfg.Log = &log.Logger{Handler: logged}
		p.cfg.Accepts = func(context.Context, roster.Server) bool { return !crashed }
		r := newRequest("/unsafe/")
		r.Parts = []Part{{"a", 1}, {"b", 1}, {"own", 1}}
		_ = p.Serve(context.Background(), httptest.NewRecorder(), r)
		i := slices.IndexFunc(logged.Entries, func(e *log.Entry) bool { return e.Fields["event"] == "server.broke" })
		if i < 0 {
			t.Fatal("the broken connection is not logged")
		}
		f := logged.Entries[i].Fields
		if f["server"] != "e0" || f["request"] != "r1" || f["crashed"] != crashed || !slices.Equal(f["parts"].([]string), []string{"a", "b"}) {
			t.Errorf("logged %v", f)
		}
	}
}
