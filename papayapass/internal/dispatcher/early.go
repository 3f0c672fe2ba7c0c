package dispatcher

import (
	"net/http"
	"strings"
)

// MayStartEarly reports whether a request may run beside others of its connection. It must only read,
// and its customer may repeat it, so its route must be idempotent.
func (d *Dispatcher) MayStartEarly(r *http.Request) bool {
	cfg := d.cluster.Configuration()
	if cfg == nil || d.stopAt.Load() != 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := cfg.Match(r.Host, path)
	return ok && route.Idempotent
}
