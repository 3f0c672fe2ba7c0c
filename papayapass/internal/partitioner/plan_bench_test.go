package partitioner

import (
	"testing"
)

// BenchmarkPlan measures one planning round with 40 backend servers, one of them
// overloaded, and 1,000 ranges. The coordinator plans every 100 ms.
func BenchmarkPlan(b *testing.B) {
	table, states, loads := testPool(b, 40)
	d := &table.Divisions[0]
	for i := range 960 {
		p := NewPlan(table, states, loads)
		r := d.Ranges[i%len(d.Ranges)]
		if r.Last-r.First < 2 {
			continue
		}
		p.splitOff(&p.table.Divisions[0], i%len(d.Ranges), r.First, r.First+(r.Last-r.First)/2, r.Owner)
		for j := range p.table.Divisions[0].Ranges {
			p.table.Divisions[0].Ranges[j].NextOwner = ""
		}
		table = p.Table()
		d = &table.Divisions[0]
	}
	l := loads[permits]
	for k := range KeyCount {
		l.Add(uint16(k), 280.0/KeyCount)
	}
	for k := range 400 {
		l.Add(uint16(9000+k), 0.2)
	}
	for b.Loop() {
		l.Decay(0.9999)
		p := NewPlan(table, states, loads)
		p.FreeLost()
		p.Assign()
		p.Evacuate()
		p.Balance()
		p.Merge()
	}
}
