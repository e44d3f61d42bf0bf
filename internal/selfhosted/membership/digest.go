package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the largest number of buckets, and minimumBuckets the
	// smallest; both are powers of two.
	maximumBuckets  = 256
	minimumBuckets = 8
	// membersPerBucket is how many members a bucket has on average before the
	// number of buckets doubles.
	// Not measured: chosen because a bucket that differs costs the records of
	// all its members.
	membersPerBucket = 8
	bytesPerBucket   = 4
)

// digest is the exclusive or of the fingerprints of all members that are not
// gone, by bucket of the name.
type digest [maximumBuckets]uint32

// bucketOf returns the bucket of a name out of a power of two of buckets. The
// bucket out of fewer is the remainder of the bucket out of more.
func nameBucket(name string, buckets int) int {
	return int(xxhash.Sum64String(name) % uint64(buckets))
}

// toggle adds a fingerprint, or takes it out again.
func (d *digest) toggle(name string, fingerprint uint32) {
	d[nameBucket(name, maximumBuckets)] ^= fingerprint
}

// fold returns the digest with fewer buckets.
func (d *digest) fold(buckets int) []uint32 {
	folded := make([]uint32, buckets)
	for i, value := range d {
		folded[i%buckets] ^= value
	}
	return folded
}

// encode returns the digest with a number of buckets fit for the number of
// members.
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

// differing returns the number of buckets of an encoded digest and those in
// which d differs from it; zero buckets if it is malformed.
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
