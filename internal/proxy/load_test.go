package proxy

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"cranberrypath.example/cranberrypath/internal/coord"
	"cranberrypath.example/cranberrypath/internal/route"
)

// Guards against a stated pace that is reported twice or not at all, and against reports of
// servers that state none.
func TestReportedPace(t *testing.T) {
	for _, pace := range []float64{0, 2.5} {
		s := &scriptedSender{responses: []scriptedResponse{{status: 200, body: "x", load: ServerLoad{Running: 1, Slots: 4, Pace: pace}}}}
		p := newProxy(t, s, 1)
		if err := p.Serve(context.Background(), httptest.NewRecorder(), newRequest("/safe/")); err != nil {
			t.Fatal(err)
		}
		loads := p.Loads()
		if pace == 0 && len(loads) > 0 || pace > 0 && (len(loads) != 1 || loads[0].Pace.Factor != pace || loads[0].Running != 0) {
			t.Errorf("pace %v: reported %+v", pace, loads)
		}
		if again := p.Loads(); len(again) > 0 {
			t.Errorf("pace %v: reported again %+v", pace, again)
		}
		p.SetLoads([]coord.Load{{Server: "e0", Pace: coord.Pace{Factor: pace, At: time.Now()}}}, time.Now())
		choice, err := p.table.Pick(route.Query{Service: "s", Version: p.versionGroup("s")}, time.Now())
		if err != nil || (choice.Reason.Pace > 0) != (pace > 0) {
			t.Errorf("pace %v: reason %+v, %v", pace, choice.Reason, err)
		}
	}
}
