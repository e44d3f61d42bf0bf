package dissemination

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
)

// ChangeID returns the ID of a change, which consists of the revision for which it is written and a
// token. A change that loses the race for a revision is written again for a later revision, with
// the same token and that revision in its ID. The earlier ID then never takes effect, because
// another change holds its revision.
func ChangeID(revision uint64, token string) string {
	return strconv.FormatUint(revision, 10) + "-" + token
}

// ParseChangeID splits a change ID into its revision and token.
func ParseChangeID(id string) (revision uint64, token string, err error) {
	prefix, token, ok := strings.Cut(id, "-")
	revision, err = strconv.ParseUint(prefix, 10, 64)
	if !ok || token == "" || err != nil || revision == 0 {
		return 0, "", fmt.Errorf("dissemination: parse change id %q: expected <revision>-<token>", id)
	}
	return revision, token, nil
}

// tokenFromID returns the token of a change ID. Text that is not a complete change ID is itself the
// token.
func tokenFromID(id string) string {
	if _, token, err := ParseChangeID(id); err == nil {
		return token
	}
	return id
}

// newToken returns a ULID, which serves as a change ID without its revision.
func (c *Core) newToken(at time.Time) string {
	var entropy [10]byte
	binary.BigEndian.PutUint64(entropy[:8], c.random.Uint64())
	binary.BigEndian.PutUint16(entropy[8:], uint16(c.random.Uint32()))
	var token ulid.ULID
	_ = token.SetTime(ulid.Timestamp(at))
	_ = token.SetEntropy(entropy[:])
	return token.String()
}
