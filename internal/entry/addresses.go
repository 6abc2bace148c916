package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"cranberrypath.example/cranberrypath/internal/member"
)

// otherCellAddresses is how many instances of other cells are appended to the
// directory, so that callers still reach the system when their whole cell is
// lost.
const otherCellAddresses = 2

type addressesBody struct {
	Addresses   []addressBody `json:"addresses"`
	KeepSeconds int           `json:"keepSeconds"`
}

type addressBody struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// serveAddresses returns the entry instances that the caller should use. It
// requires no key, because it is the first request that a caller makes.
func (e *Entry) serveAddresses(ctx *fasthttp.RequestCtx) *failure {
	if f := requireMethod(ctx, fasthttp.MethodGet); f != nil {
		return f
	}
	c := member.Caller{
		Key:        string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)) + ctx.RemoteIP().String(),
		DataCentre: string(ctx.QueryArgs().Peek("dataCentre")),
	}
	b := e.addresses(c)
	for _, i := range e.cells.Others(c.Key, otherCellAddresses, e.cfg.Now()) {
		b.Addresses = append(b.Addresses, addressBody{Address: i.Callers})
	}
	writeJSON(ctx, b)
	return nil
}

func (e *Entry) addresses(c member.Caller) addressesBody {
	d := e.member.Directory(e.cfg.Now(), c)
	b := addressesBody{KeepSeconds: int(d.Keep / time.Second), Addresses: []addressBody{}}
	for _, a := range d.Addresses {
		b.Addresses = append(b.Addresses, addressBody{Address: a, DataCentre: e.dataCentreOf(a)})
	}
	return b
}

func (e *Entry) dataCentreOf(callers string) string {
	for _, p := range append(e.member.Peers(e.cfg.Now()), e.member.Self()) {
		if p.Callers == callers {
			return p.DataCentre
		}
	}
	return ""
}
