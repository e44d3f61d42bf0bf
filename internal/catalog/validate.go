package catalog

import (
	"math"
	"net/netip"
	"regexp"
	"time"
	"unicode/utf8"
)

// Limits of a catalog. A change that exceeds a limit is refused. The limits catch mistyped numbers
// and bound the memory that a change can occupy on every node.
const (
	MaximumShards        = 65536     // per partition
	MaximumReplicas      = 64        // per shard
	MaximumServices      = 4096      // per catalog
	MaximumClasses       = 256       // per service
	MaximumLeaves        = 65536     // per service
	MaximumShardsPerLeaf = 4096      // per leaf
	MaximumVoters        = 255       // per catalog
	MaximumPriority      = 100       // least urgent priority
	MaximumConcurrency   = 1_000_000 // concurrent queries of a service per node
	MaximumDeadline      = time.Hour // per class
	MaximumOperatorBytes = 128       // bytes in an operator's name
)

var (
	namePattern     = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	columnPattern   = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,62}$`)
	changeIDPattern = regexp.MustCompile(`^[0-9A-Za-z._-]{1,128}$`)
)

// ValidName reports whether name is a valid name of a service, class, zone or voter: a lower-case
// letter followed by at most 62 lower-case letters, digits and hyphens.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// ValidColumn reports whether name is a valid column name: a letter or underscore followed by at
// most 62 letters, digits and underscores.
func ValidColumn(name string) bool { return columnPattern.MatchString(name) }

// ValidChangeID reports whether id is a valid change ID: 1 to 128 letters, digits, dots,
// underscores and hyphens.
func ValidChangeID(id string) bool { return changeIDPattern.MatchString(id) }

// Validate checks the revision, ID, operator, time and command of the change. Its errors are of
// type *Error.
func (c Change) Validate() error {
	if c.Revision == 0 {
		return newError(CodeInvalid, "revision", "the revision of a change must be at least 1")
	}
	if !ValidChangeID(c.ID) {
		return newError(CodeInvalid, c.ID, "%q is not a valid change id", c.ID)
	}
	if len(c.Operator) > MaximumOperatorBytes || !utf8.ValidString(c.Operator) {
		return newError(CodeInvalid, "operator", "the operator's name must be UTF-8 of at most %d bytes", MaximumOperatorBytes)
	}
	if year := c.At.UTC().Year(); year < 1 || year > 9999 {
		return newError(CodeInvalid, "at", "the time of a change must be in the years 1 to 9999")
	}
	return c.Command.Validate()
}

func (o *CreateService) validate() error {
	if o.KeyColumn != "" && !ValidColumn(o.KeyColumn) {
		return newError(CodeInvalid, o.KeyColumn, "%q is not a valid column name", o.KeyColumn)
	}
	return firstError(
		checkName("service", o.Name),
		checkRange("shards", o.Shards, 1, MaximumShards),
		checkRange("replicas", o.Replicas, 1, MaximumReplicas),
	)
}

func (o *DropService) validate() error  { return firstError(checkName("service", o.Name)) }
func (o *StopService) validate() error  { return firstError(checkName("service", o.Name)) }
func (o *StartService) validate() error { return firstError(checkName("service", o.Name)) }
func (o *RetireLeaf) validate() error   { return firstError(checkAddress(o.Address)) }
func (o *RemoveLeaf) validate() error   { return firstError(checkAddress(o.Address)) }
func (o *RemoveVoter) validate() error  { return firstError(checkName("voter", o.Name)) }

func (o *Repartition) validate() error {
	return firstError(checkName("service", o.Service), checkRange("shards", o.Shards, 1, MaximumShards))
}

func (o *DefineClass) validate() error {
	class := o.Class
	if class.Deadline <= 0 || class.Deadline > MaximumDeadline {
		return newError(CodeLimit, "deadline", "the deadline must be more than 0s and at most %s, not %s", MaximumDeadline, class.Deadline)
	}
	if class.HedgePercentile != 0 && !class.Repeatable {
		return newError(CodeInvalid, class.Name, "class %q runs its requests once, so it cannot hedge", class.Name)
	}
	return firstError(
		checkName("class", class.Name),
		checkName("service", class.Service),
		checkRange("priority", class.Priority, 1, MaximumPriority),
		checkShare("coverage", class.Coverage),
		checkShare("hedge percentile", class.HedgePercentile),
		checkShare("extra load", class.ExtraLoad),
	)
}

func (o *DropClass) validate() error {
	return firstError(checkName("service", o.Service), checkName("class", o.Name))
}

func (o *AddLeaf) validate() error {
	if err := firstError(checkName("service", o.Service), checkAddress(o.Address), checkName("zone", o.Zone)); err != nil {
		return err
	}
	if err := checkRange("number of shards of a leaf", len(o.Shards), 1, MaximumShardsPerLeaf); err != nil {
		return err
	}
	seen := make(map[int]bool, len(o.Shards))
	for _, shard := range o.Shards {
		if err := checkRange("shard", shard, 0, MaximumShards-1); err != nil {
			return err
		}
		if seen[shard] {
			return newError(CodeInvalid, "shards", "shard %d is listed twice", shard)
		}
		seen[shard] = true
	}
	return nil
}

func (o *LimitService) validate() error {
	return firstError(checkName("service", o.Service), checkRange("concurrency", o.Concurrency, 0, MaximumConcurrency))
}

func (o *AddVoter) validate() error {
	return firstError(checkName("voter", o.Voter.Name), checkName("zone", o.Voter.Zone))
}

// firstError returns the first non-nil *Error, or an untyped nil error if all are nil.
func firstError(candidates ...*Error) error {
	for _, err := range candidates {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkName(kind, name string) *Error {
	if ValidName(name) {
		return nil
	}
	return newError(CodeInvalid, name, "%q is not a valid %s name: it must be a lower-case letter followed by at most 62 letters, digits and hyphens", name, kind)
}

func checkRange(quantity string, value, minimum, maximum int) *Error {
	if value >= minimum && value <= maximum {
		return nil
	}
	return newError(CodeLimit, quantity, "%s must be from %d to %d, not %d", quantity, minimum, maximum, value)
}

func checkShare(quantity string, value float64) *Error {
	if value >= 0 && value <= 1 && !math.Signbit(value) {
		return nil
	}
	return newError(CodeLimit, quantity, "%s must be from 0 to 1, not %v", quantity, value)
}

func checkAddress(address netip.AddrPort) *Error {
	if address.IsValid() && address.Port() != 0 && address.Addr().Zone() == "" && !address.Addr().Is4In6() {
		return nil
	}
	return newError(CodeInvalid, "address", "%q is not an IP address with a port", address)
}
