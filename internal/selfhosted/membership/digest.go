package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// maximumBuckets and minimumBuckets bound the number of buckets; both are powers of two.
	maximumBuckets = 256
	minimumBuckets = 8
	// membersPerBucket is the mean number of members per bucket above which the number of buckets
	// doubles. A bucket that differs costs the records of all its members.
	membersPerBucket = 8
	bytesPerBucket   = 4
)

// digest holds, for each bucket of names, the XOR of the fingerprints of the members that are not
// gone.
type digest [maximumBuckets]uint32

// nameBucket returns the bucket of a name among a power of two of buckets. The bucket among fewer
// buckets is the remainder of the bucket among more, which fold relies on.
func nameBucket(name string, buckets int) int {
	return int(xxhash.Sum64String(name) % uint64(buckets))
}

// toggle adds a fingerprint to the digest, or removes one that was added before.
func (d *digest) toggle(name string, fingerprint uint32) {
	d[nameBucket(name, maximumBuckets)] ^= fingerprint
}

// fold returns the digest reduced to fewer buckets.
func (d *digest) fold(buckets int) []uint32 {
	folded := make([]uint32, buckets)
	for i, value := range d {
		folded[i%buckets] ^= value
	}
	return folded
}

// encode returns the digest with a number of buckets that suits the number of members.
func (d *digest) encode(members int) []byte {
	buckets := minimumBuckets
	for buckets < maximumBuckets && buckets*membersPerBucket < members {
		buckets *= 2
	}
	encoded := make([]byte, 0, buckets*bytesPerBucket)
	for _, value := range d.fold(buckets) {
		encoded = binary.BigEndian.AppendUint32(encoded, value)
	}
	return encoded
}

// differingBuckets compares an encoded digest with d. It returns the number of buckets in the
// encoded digest and the indexes of those that differ, or zero buckets if the encoded digest is
// malformed.
func (d *digest) differingBuckets(encoded []byte) (buckets int, differ []int) {
	buckets = len(encoded) / bytesPerBucket
	valid := len(encoded)%bytesPerBucket == 0 && buckets > 0 &&
		buckets <= maximumBuckets && buckets&(buckets-1) == 0
	if !valid {
		return 0, nil
	}
	for i, value := range d.fold(buckets) {
		if binary.BigEndian.Uint32(encoded[i*bytesPerBucket:]) != value {
			differ = append(differ, i)
		}
	}
	return buckets, differ
}
