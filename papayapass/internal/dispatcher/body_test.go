package dispatcher

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
)

// A connection that is closed while its body is read has a request that has not run.
func TestBodyThatIsCutHasNotRun(t *testing.T) {
	for name, tt := range map[string]struct {
		err    error
		status int
	}{
		"too slow":       {os.ErrDeadlineExceeded, http.StatusRequestTimeout},
		"not acceptable": {http.ErrBodyReadAfterClose, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDispatcher(&fakeCluster{cfg: testConfiguration()}, fakeCodec{}, timer.BootClock{}, "own-service", fakeCounter{},
				budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.Nop())
			r, w := httptest.NewRequest(http.MethodPost, "/read/x", iotest.ErrReader(tt.err)), httptest.NewRecorder()
			r.Host = "h"
			d.ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, "close", w.Header().Get("Connection"))
		})
	}
}
