package partitioner

// Founding is how a table was created by a node that knew no earlier one.
type Founding string

// Foundings.
const (
	// FoundedFirst means that nobody holds keys by an earlier table: the store has no eras and so loses
	// none.
	FoundedFirst Founding = "first"
	// FoundedBlank means that a restore of the store, or another writer, may have lost earlier tables.
	FoundedBlank Founding = "blank"
	// FoundedUncertain means that the table is based on one that did not name all members yet,
	// and no member with a lease could be asked.
	FoundedUncertain Founding = "uncertain"
)

// IsBlank reports whether the table knows no owners of a former one.
func (t *Table) IsBlank() bool { return t.Founding == FoundedBlank }

// HidesHolders reports whether members that the table does not name may hold keys.
func (t *Table) HidesHolders() bool { return t.IsBlank() || t.Founding == FoundedUncertain }
