package state

import (
	"maps"
	"slices"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// keptDigests is the number of superseded documents whose digests are kept to
// recognise an operator's resend.
const keptDigests = 100_000

// documents is the aggregate of the desired document. Its rules: numbers grow by
// one, or by any step where an operator lets them jump; a number stands for one digest
// for ever; and what was accepted stays.
type documents struct {
	number ident.DocumentNumber
	digest ident.Digest
	data   []byte
	past   map[ident.DocumentNumber]ident.Digest
}

func newDocuments() *documents {
	return &documents{past: map[ident.DocumentNumber]ident.Digest{}}
}

// apply takes a document. changed is false for a resend.
func (ds *documents) apply(a ApplyDocument) (changed bool, err error) {
	switch {
	case a.Number == ds.number+1, a.AllowGaps && a.Number > ds.number:
		ds.number = a.Number
		ds.digest = a.Digest
		ds.data = a.Data
		ds.past[a.Number] = a.Digest
		if len(ds.past) > keptDigests {
			delete(ds.past, slices.Min(slices.Collect(maps.Keys(ds.past))))
		}
		return true, nil
	case a.AllowGaps:
		return false, nil
	case a.Number > ds.number:
		return false, fault.New(fault.NumberGap, "number %d does not follow %d", a.Number, ds.number)
	}
	digest, kept := ds.past[a.Number]
	if !kept {
		return false, fault.New(fault.NumberConflict, "number %d was superseded long ago; the present one is %d", a.Number, ds.number)
	}
	if digest != a.Digest {
		return false, fault.New(fault.NumberConflict, "number %d was accepted with digest %s", a.Number, digest)
	}
	return false, nil
}
