package dispatcher

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// asMaxBytes says whether an error means that a body is over its limit.
func asMaxBytes(err error, target **http.MaxBytesError) bool { return errors.As(err, target) }
