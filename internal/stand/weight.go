package stand

import (
	"cmp"
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightConfig sets up a WeightStore.
type WeightConfig struct {
	Listen         string         // "127.0.0.1:0" if empty
	BytesPerSecond float64        // for all readers together
	Burst          int            // bytes that may be read at once; at least the largest size
	Sizes          map[string]int // bytes by "service/version"
}

// WeightStore simulates the store of model weights.
type WeightStore struct {
	cfg   WeightConfig
	addr  string
	srv   *http.Server
	limit *rate.Limiter
	wg    sync.WaitGroup
}

// NewWeightStore starts a store.
func NewWeightStore(cfg WeightConfig) (*WeightStore, error) {
	ln, err := net.Listen("tcp", cmp.Or(cfg.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, n := range cfg.Sizes {
		cfg.Burst = max(cfg.Burst, n)
	}
	s := &WeightStore{cfg: cfg, addr: ln.Addr().String(), limit: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.Burst)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/rate", s.handleRate)
	mux.HandleFunc("GET /weights/{service}/{version}", s.handleGet)
	s.srv = &http.Server{Handler: mux}
	s.wg.Go(func() { _ = s.srv.Serve(ln) })
	return s, nil
}

// URL returns the address without path.
func (s *WeightStore) URL() string { return "http://" + s.addr }

// Close ends the store.
func (s *WeightStore) Close() error {
	err := s.srv.Close()
	s.wg.Wait()
	return err
}

// Load waits until the weights of a version could be read, as an engine does. It
// fits Spec.Load.
func (s *WeightStore) Load(ctx context.Context, service, version string) error {
	n, ok := s.cfg.Sizes[service+"/"+version]
	if !ok {
		return Error.New("no weights of %s/%s", service, version)
	}
	return Error.Wrap(s.limit.WaitN(ctx, n))
}

func (s *WeightStore) handleRate(w http.ResponseWriter, _ *http.Request) {
	reply(w, map[string]float64{"bytesPerSecond": s.cfg.BytesPerSecond, "availableBytes": max(s.limit.Tokens(), 0)})
}

func (s *WeightStore) handleGet(w http.ResponseWriter, r *http.Request) {
	n, ok := s.cfg.Sizes[r.PathValue("service")+"/"+r.PathValue("version")]
	if !ok {
		fail(w, http.StatusNotFound, "unknownWeights", "no such weights")
		return
	}
	now := time.Now()
	res := s.limit.ReserveN(now, n)
	if d := res.DelayFrom(now); d > 0 {
		res.CancelAt(now)
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
		fail(w, http.StatusTooManyRequests, "busy", "the store's rate is used up")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = w.Write(make([]byte, n))
}
