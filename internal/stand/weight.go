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

// WeightConfig configures a WeightStore.
type WeightConfig struct {
	Listen         string         // "127.0.0.1:0" if empty
	BytesPerSecond float64        // total read rate of all readers
	Burst          int            // burst size in bytes; raised to the largest size
	Sizes          map[string]int // size in bytes, by "service/version"
}

// WeightStore simulates a store of model weights with a limited read rate.
type WeightStore struct {
	cfg     WeightConfig
	addr    string
	srv     *http.Server
	limiter *rate.Limiter
	wg      sync.WaitGroup
}

// NewWeightStore starts a weight store.
func NewWeightStore(cfg WeightConfig) (*WeightStore, error) {
	ln, err := net.Listen("tcp", cmp.Or(cfg.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, size := range cfg.Sizes {
		cfg.Burst = max(cfg.Burst, size)
	}
	s := &WeightStore{cfg: cfg, addr: ln.Addr().String(), limiter: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.Burst)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/rate", s.handleRate)
	mux.HandleFunc("GET /weights/{service}/{version}", s.handleGet)
	s.srv = &http.Server{Handler: mux}
	s.wg.Go(func() { _ = s.srv.Serve(ln) })
	return s, nil
}

// URL returns the base URL, without a path.
func (s *WeightStore) URL() string { return "http://" + s.addr }

// Close shuts down the store.
func (s *WeightStore) Close() error {
	err := s.srv.Close()
	s.wg.Wait()
	return err
}

// Load waits until the weights of a version could have been read at the store's rate.
// It can be used as Spec.Load.
func (s *WeightStore) Load(ctx context.Context, service, version string) error {
	size, ok := s.cfg.Sizes[service+"/"+version]
	if !ok {
		return Error.New("no weights for %s/%s", service, version)
	}
	return Error.Wrap(s.limiter.WaitN(ctx, size))
}

func (s *WeightStore) handleRate(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]float64{"bytesPerSecond": s.cfg.BytesPerSecond, "availableBytes": max(s.limiter.Tokens(), 0)})
}

func (s *WeightStore) handleGet(w http.ResponseWriter, r *http.Request) {
	size, ok := s.cfg.Sizes[r.PathValue("service")+"/"+r.PathValue("version")]
	if !ok {
		writeError(w, http.StatusNotFound, "unknownWeights", "no such weights")
		return
	}
	now := time.Now()
	res := s.limiter.ReserveN(now, size)
	if d := res.DelayFrom(now); d > 0 {
		res.CancelAt(now)
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
		writeError(w, http.StatusTooManyRequests, "busy", "the store's rate is used up")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}
