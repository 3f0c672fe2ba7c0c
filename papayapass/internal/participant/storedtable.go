package participant

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// tableKind is the kind of the ownership table's objects.
const tableKind = "papayapass-tables"

// tableName returns the name of the object for a table that is created in an era. Revisions
// are given out again after a restore of the store, so that a write of an earlier era could
// meet its condition by chance. Each era therefore has an object of its own.
func tableName(era uint64) string {
	if era == 0 {
		return "main"
	}
	return "main-" + strconv.FormatUint(era, 10)
}

// storedTable is the newest table in the store.
type storedTable struct {
	table    *partitioner.Table
	name     string
	revision uint64
	// era is the store's era when the table was read.
	era uint64
}

// isRestored reports whether the store was restored from an older copy since the table was
// created, and nobody has created one since. Tables of earlier versions have no era.
func (s storedTable) isRestored() bool { return s.table.Era > 0 && s.table.Era < s.era }

// readStoredTable reads the newest table. Without any, the error is descriptor.ErrNotFound
// and the result has the era only.
func readStoredTable(ctx context.Context, s Store) (storedTable, error) {
	list, err := s.List(ctx, tableKind)
	if err != nil {
		return storedTable{}, err
	}
	out := storedTable{era: list.State.Era}
	for _, o := range list.Objects {
		var t partitioner.Table
		if err := json.Unmarshal(o.Spec, &t); err != nil {
			return out, errors.Wrapf(err, "decode the table in %s, revision %d", o.Name, o.Revision)
		}
		if t.Newer(out.table) {
			out.table, out.name, out.revision = &t, o.Name, o.Revision
		}
	}
	if out.table == nil {
		return out, descriptor.ErrNotFound
	}
	return out, nil
}

// ReadTable returns the stored ownership table.
func ReadTable(ctx context.Context, s Store) (*partitioner.Table, error) {
	stored, err := readStoredTable(ctx, s)
	return stored.table, err
}

func encodeTable(t *partitioner.Table) (json.RawMessage, error) { return json.Marshal(t) }
