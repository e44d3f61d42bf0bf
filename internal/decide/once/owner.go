package once

import (
	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

// Owner returns the voter that decides about the request id: the one with the highest hash of id
// and name (rendezvous hashing), so that a change of one voter moves only the ids of that voter.
// The order of voters does not matter. The result is empty if there are no voters; then no node may
// run the request.
func Owner(voters []string, id ulid.ULID) string {
	owner, highest := "", uint64(0)
	for _, voter := range voters {
		weight := hashWeight(voter, id)
		if owner == "" || weight > highest || (weight == highest && voter < owner) {
			owner, highest = voter, weight
		}
	}
	return owner
}

func hashWeight(voter string, id ulid.ULID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(id[:])
	_, _ = digest.WriteString(voter)
	return digest.Sum64()
}
