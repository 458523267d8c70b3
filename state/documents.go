package state

import (
	"maps"
	"slices"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// maxPastDigests is the number of accepted documents whose digests are kept, to
// recognize documents that an operator sends again.
const maxPastDigests = 100_000

// documents holds the current desired document and the digests of earlier ones. The
// document number increases by one, or by any amount if ApplyDocument.AllowGaps is
// set. A number is bound to one digest forever, and an accepted document is never
// withdrawn.
type documents struct {
	number      ident.DocumentNumber
	digest      ident.Digest
	data        []byte
	pastDigests map[ident.DocumentNumber]ident.Digest
}

func newDocuments() *documents {
	return &documents{pastDigests: map[ident.DocumentNumber]ident.Digest{}}
}

// apply replaces the current document. The result changed is false if the document
// was accepted before or is ignored.
func (ds *documents) apply(a ApplyDocument) (changed bool, err error) {
	switch {
	case a.Number == ds.number+1, a.AllowGaps && a.Number > ds.number:
		ds.number = a.Number
		ds.digest = a.Digest
		ds.data = a.Data
		ds.pastDigests[a.Number] = a.Digest
		if len(ds.pastDigests) > maxPastDigests {
			delete(ds.pastDigests, slices.Min(slices.Collect(maps.Keys(ds.pastDigests))))
		}
		return true, nil
	case a.AllowGaps:
		return false, nil
	case a.Number > ds.number:
		return false, fault.New(fault.NumberGap, "document number %d does not directly follow the current number %d", a.Number, ds.number)
	}
	digest, kept := ds.pastDigests[a.Number]
	if !kept {
		return false, fault.New(fault.NumberConflict, "document number %d is below the current number %d and its digest is not stored", a.Number, ds.number)
	}
	if digest != a.Digest {
		return false, fault.New(fault.NumberConflict, "document number %d was already accepted with digest %s", a.Number, digest)
	}
	return false, nil
}
