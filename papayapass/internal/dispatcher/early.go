package dispatcher

import (
	"net/http"
	"strings"
)

// MayStartEarly reports whether a request may run before the responses to earlier requests of its
// connection are written. Its customer may repeat it, so it must be idempotent.
func (d *Dispatcher) MayStartEarly(r *http.Request) bool {
	cfg := d.cluster.Configuration()
	if cfg == nil || d.stopAt.Load() != 0 {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := cfg.Match(r.Host, path)
	return ok && route.Idempotent
}
