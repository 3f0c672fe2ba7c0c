package participant

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// oddSpecs returns specs that another writer left and that hold no usable table.
func oddSpecs(t *testing.T) map[string][]byte {
	t.Helper()
	specs := map[string][]byte{
		"none": nil, "null": []byte("null"), "empty": []byte("{}"), "list": []byte("[]"), "text": []byte(`"table"`),
		"deeply nested":    []byte(`{"members":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "}"),
		"epoch too large":  []byte(`{"epoch":1e400}`),
		"version negative": []byte(`{"epoch":1,"version":-1}`),
		"not JSON":         []byte("\x00\xff"),
	}
	for name, change := range map[string]func(*partitioner.Table){
		"epoch at the top":     func(t *partitioner.Table) { t.Epoch = math.MaxUint64 },
		"version at the top":   func(t *partitioner.Table) { t.Version = math.MaxUint64 },
		"token at the top":     func(t *partitioner.Table) { t.LastToken = math.MaxUint64 },
		"token above the last": func(t *partitioner.Table) { t.Divisions[0].Ranges[0].Token = math.MaxUint64 },
		"later era":            func(t *partitioner.Table) { t.Era = math.MaxUint64 },
		"unknown coordinator":  func(t *partitioner.Table) { t.Coordinator = "node-7" },
		"no members":           func(t *partitioner.Table) { t.Members = nil },
		"members out of order": func(t *partitioner.Table) { t.Members[0], t.Members[1] = t.Members[1], t.Members[0] },
		"member twice":         func(t *partitioner.Table) { t.Members[1] = t.Members[0] },
		"slots that overflow":  func(t *partitioner.Table) { t.Members[0].Server.Slots = 1 << 62 },
		"no ranges":            func(t *partitioner.Table) { t.Divisions[0].Ranges = nil },
		"keys left out":        func(t *partitioner.Table) { t.Divisions[0].Ranges[0].Last = 99 },
		"overlapping ranges": func(t *partitioner.Table) {
			t.Divisions[0].Ranges = append(t.Divisions[0].Ranges, t.Divisions[0].Ranges[0])
		},
		"range upside down":     func(t *partitioner.Table) { t.Divisions[0].Ranges[0] = partitioner.Range{First: 9, Last: 1} },
		"service divided twice": func(t *partitioner.Table) { t.Divisions = append(t.Divisions, t.Divisions[0]) },
	} {
		table := testTable(8, "node-1")
		table.Epoch = 7
		change(table)
		spec, err := json.Marshal(table)
		require.NoError(t, err)
		specs[name] = spec
	}
	return specs
}

// Incident 0017: an object of another writer beside the table kept all nodes from reading it,
// or was taken for the table.
func TestOddObjectBesideTheTableIsIgnored(t *testing.T) {
	long := strings.Repeat("o", 1<<20)
	s := &fakeStore{version: 1, revision: 10, era: 1, rejected: []error{descriptor.ErrMalformed}}
	s.setTable(t, "main-1", testTable(8, "node-1"))
	foreign := testTable(9, "node-3")
	foreign.Epoch = 99
	usable, err := json.Marshal(foreign)
	require.NoError(t, err)
	for _, name := range []string{"odd", "", "main-", "main-01", "main-x", "main-99999999999999999999", "Main", "main-2", long} {
		s.others = append(s.others, descriptor.Object{Name: name, Revision: 11, Spec: usable})
	}
	for _, spec := range oddSpecs(t) {
		s.others = append(s.others, descriptor.Object{Name: "main", Revision: 11, Spec: spec})
	}
	p, _ := newTestParticipant(t, s)
	var log bytes.Buffer
	p.logger = zerolog.New(&log)
	stored, err := p.readTable(context.Background())
	require.NoError(t, err)
	require.Equal(t, "main-1", stored.name)
	require.Equal(t, uint64(4), stored.table.Epoch)
	require.False(t, stored.isRestored())
	_, err = p.readTable(context.Background())
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(log.String(), "objects in the store rejected"), "logged once")
	require.Less(t, log.Len(), 8192)
}

func TestNamesOfTables(t *testing.T) {
	for _, era := range []uint64{0, 1, 17, math.MaxUint64} {
		got, ok := eraOfTable(tableName(era))
		require.True(t, ok)
		require.Equal(t, era, got)
	}
	for _, name := range []string{"", "main-", "main-0", "main-01", "main-+1", "main-18446744073709551616", "mains", "other"} {
		_, ok := eraOfTable(name)
		require.False(t, ok, name)
	}
}
