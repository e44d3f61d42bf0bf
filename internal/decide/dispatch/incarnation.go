package dispatch

import "slices"

// maximumBoots is the number of boot IDs remembered for each leaf. It bounds the memory; messages
// of older incarnations no longer arrive.
const maximumBoots = 8

// incarnations are the boot IDs of a leaf, one for each start of its process.
type incarnations struct {
	boots         []string // oldest first, the current one last
	drainingBoots []string // those that reported that they drain
}

// currentBoot returns the current boot ID, or the empty string before the first message.
func (i *incarnations) currentBoot() string {
	if len(i.boots) == 0 {
		return ""
	}
	return i.boots[len(i.boots)-1]
}

// recordBoot records the boot ID of a message and reports whether the leaf restarted. A boot ID
// that has been replaced is stale and ignored.
func (i *incarnations) recordBoot(boot string) bool {
	if boot == "" || slices.Contains(i.boots, boot) {
		return false
	}
	restarted := len(i.boots) > 0
	if len(i.boots) == maximumBoots {
		i.boots = slices.Delete(i.boots, 0, 1)
	}
	i.boots = append(i.boots, boot)
	return restarted
}

// recordDraining records that the incarnation drains, and reports whether this is a change of the
// current incarnation. The state holds until the leaf has another boot ID.
func (i *incarnations) recordDraining(boot string) bool {
	if boot == "" {
		boot = i.currentBoot()
	}
	if slices.Contains(i.drainingBoots, boot) {
		return false
	}
	if len(i.drainingBoots) == maximumBoots {
		i.drainingBoots = slices.Delete(i.drainingBoots, 0, 1)
	}
	i.drainingBoots = append(i.drainingBoots, boot)
	return boot == i.currentBoot()
}

// draining reports whether the current incarnation drains.
func (i *incarnations) draining() bool {
	return slices.Contains(i.drainingBoots, i.currentBoot())
}
