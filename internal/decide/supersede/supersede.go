// Package supersede decides whether a configuration replaces the one in force.
//
// Rule: a higher version replaces a lower one. After a restore of the store, a document also
// replaces the one in force if its version was read before with other content, in an earlier era:
// the operator has issued the number again.
//
// Inputs: version, content and era of each valid document that was read.
//
// Reason: a restored store holds an older configuration until the operator has written the later
// ones again, one after the other. No node may go back to it, and each must take what the operator
// decided anew.
package supersede

import (
	"maps"
	"slices"
)

// maxVersions bounds the versions that are remembered.
const maxVersions = 256

// document is what is remembered of a configuration.
type document struct {
	digest uint64
	era    uint64
}

// Versions remembers the configurations that were read. The zero value remembers none. It is not
// safe for concurrent use.
type Versions struct {
	inForce uint64
	read    map[uint64]document
}

// Accept records a valid document by a digest of its content and by the era of the store in which it
// was read, and reports whether it replaces the one in force.
func (v *Versions) Accept(version, digest, era uint64) bool {
	if v.read == nil {
		v.read = make(map[uint64]document)
	}
	former, known := v.read[version]
	first := len(v.read) == 0
	reissued := known && former.era < era && former.digest != digest
	if !known || former.era <= era {
		v.read[version] = document{digest: digest, era: era}
	}
	v.trim()
	if !first && !reissued && version <= v.inForce {
		return false
	}
	v.inForce = version
	return true
}

// trim forgets the lowest versions beyond maxVersions.
func (v *Versions) trim() {
	for len(v.read) > maxVersions {
		delete(v.read, slices.Min(slices.Collect(maps.Keys(v.read))))
	}
}
