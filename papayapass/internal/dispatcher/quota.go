package dispatcher

import (
	"context"
	"time"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// Credit is the right to run one request of a customer.
type Credit struct {
	// Asked is when the credit was asked for; its lifetime counts from then.
	Asked timer.Instant
}

// Quota charges requests to the quotas that customers have at all nodes together.
type Quota interface {
	// Charge takes a credit of a customer. Otherwise, it returns the reason, which is ReasonQuota if
	// the quota is used up and ReasonNoQuota if nobody can tell, and when there may be a credit.
	Charge(ctx context.Context, c *descriptor.Customer) (Credit, Reason, time.Duration)
	// Refund gives back the credit of a request that has not run.
	Refund(c *descriptor.Customer, credit Credit)
}

// charge charges a request to its customer's quota, or returns why not and when there may be a credit.
func (d *Dispatcher) charge(ctx context.Context, customer *descriptor.Customer) (Credit, Reason, time.Duration) {
	if d.quota == nil || customer == nil || customer.Rate <= 0 {
		return Credit{}, ReasonNone, 0
	}
	return d.quota.Charge(ctx, customer)
}

// refund gives back the credit of a request that has not run.
func (d *Dispatcher) refund(customer *descriptor.Customer, credit Credit) {
	if d.quota != nil && customer != nil && customer.Rate > 0 {
		d.quota.Refund(customer, credit)
	}
}
