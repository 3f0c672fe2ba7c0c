package dispatcher

import (
	"context"
	"time"

	"papayapass.dev/shared/descriptor"
)

// Quota charges requests to the quotas that customers have at all nodes together.
type Quota interface {
	// Charge takes a credit of a customer. Otherwise, it returns the reason, which is ReasonQuota if
	// the quota is used up and ReasonNoQuota if nobody can tell, and when there may be a credit.
	Charge(ctx context.Context, c *descriptor.Customer) (Reason, time.Duration)
	// Refund gives back the credit of a request that has not run.
	Refund(c *descriptor.Customer)
}
