package intake

import "syscall"

// Shares of a machine that its clients may occupy. The rest is for leaves, other nodes, the store and
// the node itself.
const (
	memoryShare     = 3 // a third
	descriptorShare = 2 // a half
	// connectionsShare is the share of the memory for clients that their connections may take.
	connectionsShare = 2 // a half
)

// defaultMemoryBytes is the memory of a machine whose settings name none.
const defaultMemoryBytes = 1 << 30

// Limits derives the bounds on clients from the memory of the machine, in bytes, and from the number
// of descriptors that the process may open. Zero stands for a machine whose settings name no memory,
// and for the limit of the process on descriptors.
func Limits(memoryBytes int64, descriptors int) (connections int, bytes int64) {
	if memoryBytes == 0 {
		memoryBytes = defaultMemoryBytes
	}
	bytes = memoryBytes / memoryShare
	connections = int(bytes / connectionsShare / connectionCost)
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	if descriptors > 0 {
		connections = min(connections, descriptors/descriptorShare)
	}
	return max(connections, 1), bytes
}

// processDescriptors returns the limit of this process on descriptors; zero if it is unknown.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}

// RequestCost returns what one request occupies whose head and body have the given sizes, in bytes.
func RequestCost(headBytes, bodyBytes int64) int64 {
	return connectionCost + headBytes*headFactor + bodyBytes*bodyFactor
}
