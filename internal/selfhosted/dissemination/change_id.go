package dissemination

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
)

// ChangeID returns the id of a change: the revision that it is written for and
// a token. If the change loses the race for a revision, it is written for a
// later one under an id with that revision and the same token; the earlier id
// then never takes effect, because its revision is held by another change.
func ChangeID(revision uint64, token string) string {
	return strconv.FormatUint(revision, 10) + "-" + token
}

// ParseChangeID splits a change id.
func ParseChangeID(id string) (revision uint64, token string, err error) {
	prefix, token, ok := strings.Cut(id, "-")
	revision, err = strconv.ParseUint(prefix, 10, 64)
	if !ok || token == "" || err != nil || revision == 0 {
		return 0, "", fmt.Errorf("dissemination: %q is no change id, expected <revision>-<token>", id)
	}
	return revision, token, nil
}

func tokenFromID(id string) string {
	if _, token, err := ParseChangeID(id); err == nil {
		return token
	}
	return id
}

// newToken returns a ULID: the change id without its revision.
func (c *Core) newToken(at time.Time) string {
	var entropy [10]byte
	binary.BigEndian.PutUint64(entropy[:8], c.random.Uint64())
	binary.BigEndian.PutUint16(entropy[8:], uint16(c.random.Uint32()))
	var token ulid.ULID
	_ = token.SetTime(ulid.Timestamp(at))
	_ = token.SetEntropy(entropy[:])
	return token.String()
}
