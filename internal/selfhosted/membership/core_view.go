package membership

import (
	"slices"
	"strings"
)

// Self returns this node's own record.
func (c *Core) Self() Member { return c.self }

// Joined reports whether this node has received a packet from another node, or has no seeds.
func (c *Core) Joined() bool { return c.joined || len(c.seeds) == 0 }

// Superseded reports whether a process with a higher incarnation holds the name of this node.
func (c *Core) Superseded() bool { return c.superseded }

// Members returns all members that are not gone, including this node, in order of their names. The
// list is rebuilt only after a change and must not be modified.
func (c *Core) Members() []Member {
	if c.memberList == nil || c.memberListVersion != c.view.version || c.memberList[c.memberListSelf] != c.self {
		c.memberList = make([]Member, 0, c.memberCount())
		for _, p := range c.view.ordered {
			c.memberList = append(c.memberList, p.Member)
		}
		c.memberListSelf, _ = slices.BinarySearchFunc(c.memberList, c.self.Name, func(m Member, name string) int {
			return strings.Compare(m.Name, name)
		})
		c.memberList = slices.Insert(c.memberList, c.memberListSelf, c.self)
		c.memberListVersion = c.view.version
	}
	return c.memberList
}

// Lookup returns the record of a member, including a member that is gone.
func (c *Core) Lookup(name string) (Member, bool) {
	if name == c.self.Name {
		return c.self, true
	}
	p := c.view.byName[name]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}

// ViewHash returns a hash of the view: the XOR of Member.ViewHash over all members that are not
// gone, including this node. Equal views have equal hashes.
func (c *Core) ViewHash() uint64 {
	hash := c.self.ViewHash()
	for _, p := range c.view.live {
		hash ^= p.Member.ViewHash()
	}
	return hash
}

// HeldZones returns the names of the zones that are held.
func (c *Core) HeldZones() []string {
	var names []string
	for _, z := range c.view.zones {
		if z.held {
			names = append(names, z.name)
		}
	}
	return names
}

// memberCount returns the number of members that are not gone, including this node.
func (c *Core) memberCount() int { return len(c.view.live) + 1 }
