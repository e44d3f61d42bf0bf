// Package readbody reads the body of an HTTP message whose sender may not be trusted: the memory that
// it takes follows what has arrived, and not what was announced.
package readbody

import (
	"io"
	"math"
)

// firstBuffer is the size of the first buffer, in bytes.
const firstBuffer = 4 << 10

// All reads to the end. Its buffer doubles up to the announced length, or without bound if that is
// negative. It leaves less behind than io.ReadAll, whose buffer grows by a quarter.
func All(source io.Reader, announced int64) ([]byte, error) {
	most := int64(math.MaxInt64)
	if announced >= 0 {
		most = announced + 1 // the last read finds the end
	}
	content := make([]byte, 0, min(firstBuffer, most))
	for {
		if len(content) == cap(content) {
			content = grow(content, most)
		}
		read, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+read]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of a full buffer with twice its capacity, or with the given one if that is less
// and leaves room for more.
func grow(full []byte, most int64) []byte {
	size := 2 * int64(cap(full))
	if most > int64(cap(full)) {
		size = min(size, most)
	}
	grown := make([]byte, len(full), size)
	copy(grown, full)
	return grown
}
