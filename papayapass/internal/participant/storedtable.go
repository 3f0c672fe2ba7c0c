package participant

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/validator"
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

// errUnusableTable means that the object of the table has none that can be used.
var errUnusableTable = errors.New("the stored table cannot be used")

// storedTable is the newest table in the store.
type storedTable struct {
	table *partitioner.Table
	// name and revision are of the object with the table or, if isLost is set, of the one
	// to replace; the revision is zero if there is none.
	name     string
	revision uint64
	// era is the store's era when the table was read.
	era uint64
	// storeRevision is the store's revision when the table was read.
	storeRevision uint64
	// isLost is set if the object of the era is missing or was made unusable by another
	// writer, so that nobody knows what it held last.
	isLost bool
	// blank is the table in the object if it knows no owners while this node does, otherwise nil.
	blank *partitioner.Table
	// rejected says why objects of the kind were not used.
	rejected []error
}

// mustRecover reports whether the table may be older than what the nodes act on: it is lost,
// or the store was restored from an older copy since it was created, and nobody has created
// one since. Tables of earlier versions have no era.
func (s storedTable) mustRecover() bool {
	return s.isLost || (s.table.Era > 0 && s.table.Era < s.era)
}

// minEras returns how many eras' worth of epochs and tokens may have been used by tables that
// are lost, zero if none are: each revision has used less than an era skips.
func (s storedTable) minEras() uint64 {
	if !s.isLost || (s.blank != nil && s.table.Era < s.era) {
		return 0 // a blank table uses no tokens, and its epochs are known
	}
	return s.era + s.storeRevision
}

// readStoredTable reads the newest table. Without any, the error is descriptor.ErrNotFound or
// errUnusableTable, and the result has no table.
func readStoredTable(ctx context.Context, s Store) (storedTable, error) {
	list, err := s.List(ctx, tableKind)
	if err != nil {
		return storedTable{}, err
	}
	out := storedTable{era: list.State.Era, storeRevision: list.State.Revision, rejected: list.Rejected}
	var unusable *descriptor.Object
	for _, o := range list.Objects {
		t, err := decodeTable(o, out.era)
		if err != nil {
			out.rejected = append(out.rejected, errors.Wrapf(err, "object %q, revision %d", validator.Excerpt(o.Name), o.Revision))
			if o.Name == tableName(out.era) {
				unusable = &o
			}
			continue
		}
		if t.Newer(out.table) {
			out.table, out.name, out.revision = t, o.Name, o.Revision
		}
	}
	if unusable != nil {
		out.name, out.revision, out.isLost = unusable.Name, unusable.Revision, true
	}
	switch {
	case out.table != nil:
		return out, nil
	case out.isLost:
		return out, errUnusableTable
	default:
		return out, descriptor.ErrNotFound
	}
}

// decodeTable decodes the table in an object that this system has created, in the store's
// era or in an earlier one. A store without eras has the era zero.
func decodeTable(o descriptor.Object, storeEra uint64) (*partitioner.Table, error) {
	era, ok := eraOfTable(o.Name)
	if !ok {
		return nil, errors.New("not the name of a table")
	}
	var t partitioner.Table
	if err := json.Unmarshal(o.Spec, &t); err != nil {
		return nil, err
	}
	if latest := max(era, t.Era); latest > storeEra && storeEra > 0 {
		return nil, errors.Newf("era %d is later than the store's, %d", latest, storeEra)
	}
	return &t, validator.Table(&t)
}

// eraOfTable returns the era for which tableName returns a name.
func eraOfTable(name string) (era uint64, ok bool) {
	if suffix, ok := strings.CutPrefix(name, tableName(0)+"-"); ok {
		var err error
		if era, err = strconv.ParseUint(suffix, 10, 64); err != nil {
			return 0, false
		}
	}
	return era, name == tableName(era)
}

// ReadTable returns the stored ownership table.
func ReadTable(ctx context.Context, s Store) (*partitioner.Table, error) {
	stored, err := readStoredTable(ctx, s)
	return stored.table, err
}

func encodeTable(t *partitioner.Table) (json.RawMessage, error) { return json.Marshal(t) }
