package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/conductor"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// fakeStore holds a table, a configuration and a zone that is out.
type fakeStore struct {
	conductor.Store

	table *partitioner.Table
}

func (s fakeStore) Get(_ context.Context, kind, _ string) (descriptor.Object, error) {
	if kind == "configuration" {
		return descriptor.Object{Spec: []byte("7")}, nil
	}
	if s.table == nil {
		return descriptor.Object{}, descriptor.ErrNotFound
	}
	spec, err := json.Marshal(s.table)
	return descriptor.Object{Spec: spec}, err
}

func (fakeStore) List(context.Context, string) ([]descriptor.Object, uint64, error) {
	return []descriptor.Object{{Name: "zone-2"}}, 1, nil
}

func TestDeployment(t *testing.T) {
	objects := conductor.Objects{ConfigurationKind: "configuration", Decode: func([]byte) (*descriptor.Configuration, error) {
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
