package validator

import (
	"math"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"papayapass.dev/shared/descriptor"
)

const (
	// maxRate is the highest limit of a customer, in requests per second, and its largest burst.
	maxRate = 1 << 30
	// maxPriority is the least urgent priority of a customer.
	maxPriority = 1 << 10
)

// Customers returns the customers that can be used, and what is wrong with the others. No error contains
// a key. A key that several customers list is of none of them, since requests with it could count as
// another's.
func Customers(listed []descriptor.Customer) ([]descriptor.Customer, []error) {
	var usable []descriptor.Customer
	var errs []error
	names, holders := make(map[string]bool, len(listed)), keyHolders(listed)
	for i, c := range listed {
		if err := headerValue(c.Name); err != nil {
			errs = append(errs, errors.Wrapf(err, "customer %d, whose requests are rejected: name", i+1))
			continue
		}
		if names[c.Name] {
			errs = append(errs, errors.Newf("customer %d has the name %q of another one, its keys are rejected", i+1, Excerpt(c.Name)))
			continue
		}
		names[c.Name] = true
		usable = append(usable, descriptor.Customer{Name: c.Name, Priority: min(max(c.Priority, 0), maxPriority)})
		u := &usable[len(usable)-1]
		for j, key := range c.Keys {
			if err := customerKey(key, holders); err != nil {
				errs = append(errs, errors.Wrapf(err, "customer %q: key %d is rejected", Excerpt(c.Name), j+1))
				continue
			}
			u.Keys = append(u.Keys, key)
		}
		if c.Priority != u.Priority {
			errs = append(errs, errors.Newf("customer %q: priority %d, %d is used", Excerpt(c.Name), c.Priority, u.Priority))
		}
		if isRate(c.Rate) && isRate(c.Burst) {
			u.Rate, u.Burst = c.Rate, c.Burst
		} else {
			errs = append(errs, errors.Newf("customer %q: rate %g with burst %g, the customer has no limit", Excerpt(c.Name), c.Rate, c.Burst))
		}
	}
	return usable, errs
}

// isRate reports whether a number is a rate or a burst; zero is none.
func isRate(n float64) bool { return !math.IsNaN(n) && n >= 0 && n <= maxRate }

// keyHolders counts the customers that list each key.
func keyHolders(listed []descriptor.Customer) map[string]int {
	holders := make(map[string]int)
	last := make(map[string]int)
	for i, c := range listed {
		for _, key := range c.Keys {
			if last[key] != i+1 {
				holders[key]++
				last[key] = i + 1
			}
		}
	}
	return holders
}

func customerKey(key string, holders map[string]int) error {
	switch {
	case holders[key] > 1 && key != "":
		return errors.Newf("%d customers list it", holders[key])
	default:
		return headerValue(key)
	}
}

// headerValue returns an error for text that no header can hold. The error does not contain the text.
func headerValue(s string) error {
	switch {
	case s == "":
		return errors.New("empty")
	case len(s) > descriptor.MaxKeyBytes:
		return errors.Newf("%d bytes, at most %d are allowed", len(s), descriptor.MaxKeyBytes)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl) || strings.TrimSpace(s) != s:
		return errors.New("no header can hold it")
	default:
		return nil
	}
}
