package validator

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/shared/descriptor"
)

// What is left of odd customers, and how many errors tell of the rest.
func TestOddCustomers(t *testing.T) {
	good := descriptor.Customer{Name: "good", Keys: []string{"g-secret"}, Priority: 1, Rate: 8, Burst: 8}
	one := func(c descriptor.Customer) []descriptor.Customer { return []descriptor.Customer{c, good} }
	cases := map[string]struct {
		listed []descriptor.Customer
		left   descriptor.Customer // beside the good one; without a name if there is none
		errors int
	}{
		"empty name":           {one(descriptor.Customer{Keys: []string{"secret"}}), descriptor.Customer{}, 1},
		"name with line break": {one(descriptor.Customer{Name: "a\r\nb", Keys: []string{"secret"}}), descriptor.Customer{}, 1},
		"name of 10 kB":        {one(descriptor.Customer{Name: strings.Repeat("n", 10_000)}), descriptor.Customer{}, 1},
		"no keys":              {one(descriptor.Customer{Name: "a b", Rate: 3}), descriptor.Customer{Name: "a b", Rate: 3}, 0},
		"empty key":            {one(descriptor.Customer{Name: "a", Keys: []string{"", "secret"}}), descriptor.Customer{Name: "a", Keys: []string{"secret"}}, 1},
		"key of 10 kB":         {one(descriptor.Customer{Name: "a", Keys: []string{strings.Repeat("secret", 1700)}}), descriptor.Customer{Name: "a"}, 1},
		"key with a space":     {one(descriptor.Customer{Name: "a", Keys: []string{"secret "}}), descriptor.Customer{Name: "a"}, 1},
		"key listed twice":     {one(descriptor.Customer{Name: "a", Keys: []string{"secret", "secret"}}), descriptor.Customer{Name: "a", Keys: []string{"secret", "secret"}}, 0},
		"negative rate":        {one(descriptor.Customer{Name: "a", Rate: -3, Burst: 2}), descriptor.Customer{Name: "a"}, 1},
		"rate is no number":    {one(descriptor.Customer{Name: "a", Rate: math.NaN()}), descriptor.Customer{Name: "a"}, 1},
		"infinite rate":        {one(descriptor.Customer{Name: "a", Rate: math.Inf(1)}), descriptor.Customer{Name: "a"}, 1},
		"absurd burst":         {one(descriptor.Customer{Name: "a", Rate: 3, Burst: 1e300}), descriptor.Customer{Name: "a"}, 1},
		"negative priority":    {one(descriptor.Customer{Name: "a", Priority: -9}), descriptor.Customer{Name: "a"}, 1},
		"absurd priority":      {one(descriptor.Customer{Name: "a", Priority: math.MaxInt}), descriptor.Customer{Name: "a", Priority: maxPriority}, 1},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			usable, errs := Customers(tt.listed)
			want := []descriptor.Customer{good}
			if tt.left.Name != "" {
				want = []descriptor.Customer{tt.left, good}
			}
			require.Equal(t, want, usable)
			require.Len(t, errs, tt.errors)
			for _, err := range errs {
				require.NotContains(t, err.Error(), "secret", "the error contains a key")
			}
		})
	}
}

// A key that two customers list would let one of them run requests as the other.
func TestSharedKeyIsOfNoCustomer(t *testing.T) {
	usable, errs := Customers([]descriptor.Customer{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k2", "k3"}}, {Name: "a", Keys: []string{"k4"}}})
	require.Equal(t, []descriptor.Customer{{Name: "a", Keys: []string{"k1"}}, {Name: "b", Keys: []string{"k3"}}}, usable)
	require.Len(t, errs, 3)
}
