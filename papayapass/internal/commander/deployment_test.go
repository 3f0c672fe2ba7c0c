package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/participant"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// fakeStore is a store with an ownership table, a configuration and a zone out of service.
type fakeStore struct {
	participant.Store

	table *partitioner.Table
}

func (fakeStore) Get(context.Context, string, string) (descriptor.Object, error) {
	return descriptor.Object{Spec: []byte("7")}, nil
}

func (s fakeStore) List(_ context.Context, kind string) (descriptor.Listing, error) {
	if kind == "zones" {
		return descriptor.Listing{Objects: []descriptor.Object{{Name: "zone-2"}}}, nil
	}
	if s.table == nil {
		return descriptor.Listing{}, nil
	}
	spec, err := json.Marshal(s.table)
	return descriptor.Listing{Objects: []descriptor.Object{{Name: "main", Spec: spec}}}, err
}

func TestDeployment(t *testing.T) {
	objects := participant.StoreLayout{ConfigurationKind: "configuration", ZonesOutKind: "zones", Decode: func([]byte) (*descriptor.Configuration, error) {
		return &descriptor.Configuration{Version: 7, Routes: make([]descriptor.Route, 3)}, nil
	}}
	table := &partitioner.Table{Epoch: 4, Version: 9, Coordinator: "node-1"}
	table.SetMember(partitioner.Member{ID: "node-1", Zone: "zone-1", Server: partitioner.Server{ID: "s-1", Service: "permits", Leaving: true}})
	table.Divisions = []partitioner.Division{{Service: "permits", Ranges: []partitioner.Range{{First: 0, Last: 65535, Owner: "node-1"}}}}
	var out bytes.Buffer
	require.NoError(t, showDeployment(context.Background(), &out, fakeStore{table: table}, objects))
	for _, want := range []string{"node-1, epoch 4, table 9", "7, 3 routes", "zone-2", "leaving", "65536"} {
		require.Contains(t, out.String(), want)
	}
	require.ErrorIs(t, showDeployment(context.Background(), &out, fakeStore{}, objects), descriptor.ErrNotFound)
}

func TestOwnerOfADeployment(t *testing.T) {
	table := &partitioner.Table{Epoch: 4, Version: 9, Coordinator: "node-1", LastToken: 8}
	table.SetMember(partitioner.Member{ID: "node-1"})
	table.Divisions = []partitioner.Division{{Service: "permits", Ranges: []partitioner.Range{
		{First: 0, Last: 999, Owner: "node-1", Server: "s-1", Token: 7, NextOwner: "node-2"}, {First: 1000, Last: 65535, Token: 8},
	}}}
	cases := map[string]struct {
		service string
		key     uint16
		want    string
	}{
		"owned and moving":   {"permits", 999, "owner node-1  server s-1  token 7  keys 0 to 999  moving to node-2\n"},
		"without an owner":   {"permits", 1000, "owner nobody  token 8  keys 1000 to 65535\n"},
		"no divided service": {"records", 1, ""},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := showOwner(context.Background(), &out, fakeStore{table: table}, tt.service, tt.key)
			require.Equal(t, tt.want == "", err != nil)
			require.Equal(t, tt.want, out.String())
		})
	}
}
