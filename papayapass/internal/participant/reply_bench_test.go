package participant

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
)

// largeTable returns a table of a large deployment: 195 nodes, 114 of them with keys.
func largeTable() *partitioner.Table {
	t := &partitioner.Table{Epoch: 1, Version: 1, Coordinator: "sidecar-valenzuela-0", LastToken: 900}
	d := partitioner.Division{Service: "permits"}
	const divided, ranges = 114, 600
	for i := range 195 {
		m := partitioner.Member{
			ID: partitioner.NodeID(fmt.Sprintf("sidecar-valenzuela-%d", i)), Address: fmt.Sprintf("10.1.%d.7:7660", i), Zone: fmt.Sprintf("zone-%d", i%5),
			Server: partitioner.Server{ID: fmt.Sprintf("i-%08x", i*977), StartedAtMillis: 1792686224813, Service: "lot-registry", Slots: 14},
		}
		if i < divided {
			m.Server.Service, m.Server.Divided = "permits", true
		}
		t.SetMember(m)
	}
	for i := range ranges {
		m, _ := t.Member(partitioner.NodeID(fmt.Sprintf("sidecar-valenzuela-%d", i%divided)))
		first := i * partitioner.KeyCount / ranges
		d.Ranges = append(d.Ranges, partitioner.Range{
			First: uint16(first), Last: uint16((i+1)*partitioner.KeyCount/ranges - 1), Owner: m.ID, Server: m.Server.ID,
			ServerStartedAtMillis: m.Server.StartedAtMillis, Token: uint64(i + 1),
		})
	}
	t.Divisions = append(t.Divisions, d)
	return t
}

// BenchmarkFollow measures what a plain node of a large deployment does for control: it
// opens and applies replies without a change, and replies with a delta of the table.
func BenchmarkFollow(b *testing.B) {
	base := largeTable()
	changed := base.Clone()
	changed.Version++
	changed.Divisions[0].Ranges[7].NextOwner = "sidecar-valenzuela-9"
	var loads []overseer.ServerLoad
	for i := 114; i < 130; i++ {
		loads = append(loads, overseer.ServerLoad{Node: base.Members[i].ID, Running: 3, Waiting: 1, MeanDuration: 123456789})
	}
	e := enveloper.NewEnveloper(`{"coordinates":true,"epoch":1,"loads":[{"node":"","running":1}]}`)
	replies := map[string]overseer.HeartbeatReply{
		"unchanged": {IsCoordinator: true, Epoch: 1, Lease: time.Second, Loads: loads},
		"delta":     {IsCoordinator: true, Epoch: 1, Lease: time.Second, Loads: loads, Delta: partitioner.Diff(base, changed)},
	}
	for name, r := range replies {
		b.Run(name, func(b *testing.B) {
			p, _ := newTestParticipant(&testing.T{}, &fakeStore{})
			packed, err := e.Pack(r, nil)
			require.NoError(b, err)
			b.ReportMetric(float64(len(packed)), "bytes")
			for b.Loop() {
				var reply overseer.HeartbeatReply
				_, err := e.Open(packed, &reply)
				require.NoError(b, err)
				p.table.Store(nil)
				p.applyTable(base)
				require.NoError(b, p.applyReply(reply, 0))
			}
		})
	}
	b.Run("heartbeat", func(b *testing.B) {
		h := overseer.Heartbeat{Member: base.Members[3], Epoch: 1, Version: 1}
		for i := range 20 {
			h.Work = append(h.Work, overseer.KeyWork{Key: uint16(i * 100), Work: 0.123})
		}
		for b.Loop() {
			_, err := e.Pack(h, nil)
			require.NoError(b, err)
		}
	})
	b.Run("table", func(b *testing.B) {
		packed, err := e.Pack(overseer.HeartbeatReply{Table: base}, nil)
		require.NoError(b, err)
		b.ReportMetric(float64(len(packed)), "bytes")
		for b.Loop() {
			var reply overseer.HeartbeatReply
			_, err := e.Open(packed, &reply)
			require.NoError(b, err)
		}
	})
}
