package roster

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMemberWireFormat checks the recorded encoding of Member, because nodes of other versions read
// and write announcements in the same store.
func TestMemberWireFormat(t *testing.T) { wiretest.CheckJSON[Member](t, "member") }
