package checker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/shared/descriptor"
)

func sound() *descriptor.Configuration {
	return &descriptor.Configuration{
		Version: 7,
		Routes: []descriptor.Route{
			{Name: "a", Host: "h", Prefix: "/x/", Targets: []descriptor.Target{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}, Timeout: time.Second, Objective: time.Second, Attempts: 2},
			{Name: "b", Host: "h", Prefix: "/x/y/", Targets: []descriptor.Target{{Service: "s", Weight: 1}}, Timeout: 10 * time.Minute, Attempts: 1, Public: true},
		},
		Services:  map[string]descriptor.Service{"s": {Name: "s", Divided: true}, "t": {Name: "t"}},
		Customers: []descriptor.Customer{{Name: "c", Keys: []string{"secret1"}, Rate: 0.1, Burst: 2}, {Name: "d", Keys: []string{"secret2"}}},
		Limits:    descriptor.Limits{HeaderBytes: 1024, BodyBytes: 1024, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

func TestCheck(t *testing.T) {
	const a, b, c = `route "a", host "h", prefix "/x/"`, `route "b", host "h", prefix "/x/y/"`, `customer "c"`
	cases := map[string]struct {
		plant func(cfg *descriptor.Configuration)
		want  []Finding
	}{
		"sound": {func(*descriptor.Configuration) {}, nil},
		"same host and prefix": {func(cfg *descriptor.Configuration) { cfg.Routes[1].Prefix = "/x/" }, []Finding{
			{Error, `route "b", host "h", prefix "/x/"`, `never matches: route "a" before it has the same host and prefix`},
		}},
		"no host": {func(cfg *descriptor.Configuration) { cfg.Routes[0].Host = "" }, []Finding{{Error, `route "a", host "", prefix "/x/"`, "no host"}}},
		"no prefix": {func(cfg *descriptor.Configuration) { cfg.Routes[0].Prefix = "" }, []Finding{
			{Error, `route "a", host "h", prefix ""`, "the prefix does not begin and end with a slash"},
		}},
		"prefix without its last slash": {func(cfg *descriptor.Configuration) { cfg.Routes[0].Prefix = "/x" }, []Finding{
			{Error, `route "a", host "h", prefix "/x"`, "the prefix does not begin and end with a slash"},
		}},
		"service not defined": {func(cfg *descriptor.Configuration) { delete(cfg.Services, "t") }, []Finding{{Error, a, `service "t" is not defined`}}},
		"no weight":           {func(cfg *descriptor.Configuration) { cfg.Routes[1].Targets[0].Weight = 0 }, []Finding{{Error, b, "no service with a weight above zero"}}},
		"no target":           {func(cfg *descriptor.Configuration) { cfg.Routes[1].Targets = nil }, []Finding{{Error, b, "no service with a weight above zero"}}},
		"negative weight": {func(cfg *descriptor.Configuration) { cfg.Routes[0].Targets[1].Weight = -1 }, []Finding{
			{Error, a, `service "t" has the negative weight -1`},
		}},
		"weight zero": {func(cfg *descriptor.Configuration) { cfg.Routes[0].Targets[1].Weight = 0 }, []Finding{
			{Warning, a, `service "t" has the weight zero and gets no requests`},
		}},
		"no attempts":             {func(cfg *descriptor.Configuration) { cfg.Routes[0].Attempts = 0 }, []Finding{{Error, a, "0 attempts, at least 1 is needed"}}},
		"no time-out":             {func(cfg *descriptor.Configuration) { cfg.Routes[0].Timeout = 0 }, []Finding{{Error, a, "no time-out"}}},
		"objective above timeout": {func(cfg *descriptor.Configuration) { cfg.Routes[0].Objective++ }, []Finding{{Warning, a, "the objective 1.000000001s is above the time-out 1s"}}},
		"time-out too long":       {func(cfg *descriptor.Configuration) { cfg.Routes[1].Timeout++ }, []Finding{{Warning, b, "the time-out 10m0.000000001s is above 10m0s"}}},
		"service not used":        {func(cfg *descriptor.Configuration) { cfg.Services["u"] = descriptor.Service{} }, []Finding{{Warning, `service "u"`, "no route uses it"}}},
		"negative warm-up rate":   {func(cfg *descriptor.Configuration) { cfg.Services["s"] = descriptor.Service{WarmUpRate: -1} }, []Finding{{Error, `service "s"`, "warm-up rate -1"}}},
		"key of two customers": {func(cfg *descriptor.Configuration) { cfg.Customers[1].Keys = cfg.Customers[0].Keys }, []Finding{
			{Error, "customers", `customer "c": key 1 is rejected: 2 customers list it`}, {Error, "customers", `customer "d": key 1 is rejected: 2 customers list it`},
		}},
		"customer without a name": {func(cfg *descriptor.Configuration) { cfg.Customers[0].Name = "" }, []Finding{
			{Error, "customers", "customer 1, whose requests are rejected: name: empty"},
		}},
		"two customers with one name": {func(cfg *descriptor.Configuration) { cfg.Customers[1].Name = "c" }, []Finding{
			{Error, "customers", `customer 2 has the name "c" of another one, its keys are rejected`},
		}},
		"negative rate": {func(cfg *descriptor.Configuration) { cfg.Customers[0].Rate = -1 }, []Finding{
			{Error, "customers", `customer "c": rate -1 with burst 2, the customer has no limit`},
		}},
		"customer without keys":   {func(cfg *descriptor.Configuration) { cfg.Customers[0].Keys = nil }, []Finding{{Warning, c, "no keys, it can send no requests"}}},
		"burst without a rate":    {func(cfg *descriptor.Configuration) { cfg.Customers[0].Rate = 0 }, []Finding{{Warning, c, "burst 2 without a rate, the customer has no limit"}}},
		"rate too low":            {func(cfg *descriptor.Configuration) { cfg.Customers[0].Rate = 0.09 }, []Finding{{Warning, c, "rate 0.09 is below one request in 10s"}}},
		"header bytes above body": {func(cfg *descriptor.Configuration) { cfg.Limits.HeaderBytes++ }, []Finding{{Warning, "limits", "header bytes 1025 are above body bytes 1024"}}},
		"negative header bytes":   {func(cfg *descriptor.Configuration) { cfg.Limits.HeaderBytes = -1 }, []Finding{{Error, "limits", "header bytes: negative"}}},
		"body bytes zero":         {func(cfg *descriptor.Configuration) { cfg.Limits.BodyBytes = 0 }, []Finding{{Warning, "limits", "body bytes: zero, bodies above one byte are rejected"}}},
		"header time-out zero":    {func(cfg *descriptor.Configuration) { cfg.Limits.HeaderTimeout = 0 }, []Finding{{Warning, "limits", "header time-out: zero, the nodes' own limit applies"}}},
		"idle time-out zero":      {func(cfg *descriptor.Configuration) { cfg.Limits.IdleTimeout = 0 }, []Finding{{Warning, "limits", "idle time-out: zero, the nodes' own limit applies"}}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := sound()
			tt.plant(cfg)
			require.Equal(t, tt.want, Check(cfg))
		})
	}
}

func TestDifference(t *testing.T) {
	const b = `route "b", host "h", prefix "/x/y/"`
	cases := map[string]struct {
		change func(cfg *descriptor.Configuration)
		want   []Change
	}{
		"none":          {func(*descriptor.Configuration) {}, []Change{}},
		"same shares":   {func(cfg *descriptor.Configuration) { cfg.Routes[1].Targets[0].Weight = 5 }, []Change{}},
		"route removed": {func(cfg *descriptor.Configuration) { cfg.Routes = cfg.Routes[:1] }, []Change{{b, "removed"}}},
		"route moved": {func(cfg *descriptor.Configuration) { cfg.Routes[1].Prefix = "/z/" }, []Change{
			{b, "removed"}, {`route "b", host "h", prefix "/z/"`, "added"},
		}},
		"shares": {func(cfg *descriptor.Configuration) { cfg.Routes[0].Targets[1].Weight = 30 }, []Change{
			{`route "a", host "h", prefix "/x/"`, `services ("s" 90% "t" 10%) to ("s" 75% "t" 25%)`},
		}},
		"fields of a route": {func(cfg *descriptor.Configuration) {
			cfg.Routes[1] = descriptor.Route{Name: "n", Host: "h", Prefix: "/x/y/", Targets: cfg.Routes[1].Targets, Timeout: time.Second, Objective: time.Second, Attempts: 3, Priority: 1, Idempotent: true}
		}, []Change{{`route "n", host "h", prefix "/x/y/"`, `name "b" to "n", time-out 10m0s to 1s, objective 0s to 1s, attempts 1 to 3, priority 0 to 1, public true to false, idempotent false to true`}}},
		"services": {func(cfg *descriptor.Configuration) {
			cfg.Services = map[string]descriptor.Service{"s": {Name: "s", WarmUpRate: 2, Grants: descriptor.GrantByHeartbeat}, "u": {Name: "u"}}
		}, []Change{{`service "s"`, `divided true to false, warm-up rate 0 to 2, grants "" to "heartbeat"`}, {`service "t"`, "removed"}, {`service "u"`, "added"}}},
		"customers": {func(cfg *descriptor.Configuration) {
			cfg.Customers = []descriptor.Customer{{Name: "c", Keys: []string{"secret3", "secret4"}, Priority: 1, Rate: 5}, {Name: "e"}}
		}, []Change{
			{`customer "c"`, "priority 0 to 1, rate 0.1 to 5, burst 2 to 0, 2 keys added, 1 keys removed"},
			{`customer "d"`, "removed"},
			{`customer "e"`, "added"},
		}},
		"no customers": {func(cfg *descriptor.Configuration) { cfg.Customers = nil }, []Change{
			{`customer "c"`, "removed"}, {`customer "d"`, "removed"}, {"customers", "keys required true to false"},
		}},
		"limits": {func(cfg *descriptor.Configuration) { cfg.Limits.BodyBytes, cfg.Limits.IdleTimeout = 2048, time.Minute }, []Change{
			{"limits", "body bytes 1024 to 2048, idle time-out 1s to 1m0s"},
		}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := sound()
			tt.change(cfg)
			require.Equal(t, tt.want, Difference(sound(), cfg))
		})
	}
}

func TestVersion(t *testing.T) {
	for version, taken := range map[uint64]bool{6: false, 7: false, 8: true} {
		cfg := sound()
		cfg.Version = version
		require.Equal(t, !taken, HasErrors(CheckVersion(sound(), cfg)))
	}
}
