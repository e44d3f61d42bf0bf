package http1

import "hash/maphash"

// recentIDCount is how many requests an ID stays barred from the connection that carried it. A
// response that the back end repeats later than that is not expected.
const recentIDCount = 32

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// recentIDs holds the IDs of the last requests on a connection, as hashes. The zero value holds none.
type recentIDs struct {
	hashes [recentIDCount]uint64
	count  int // IDs added so far
}

// add adds an ID in the place of the oldest one. An empty ID takes no place.
func (r *recentIDs) add(id string) {
	if id == "" {
		return
	}
	r.hashes[r.count%recentIDCount] = maphash.String(idSeed, id)
	r.count++
}

// contains reports whether an ID was among the last ones that were added.
func (r *recentIDs) contains(id string) bool {
	if id == "" {
		return false
	}
	hash := maphash.String(idSeed, id)
	for index := range min(r.count, recentIDCount) {
		if r.hashes[index] == hash {
			return true
		}
	}
	return false
}
