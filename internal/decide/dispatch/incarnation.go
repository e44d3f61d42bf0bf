package dispatch

import "slices"

// maximumBoots is how many boot IDs are remembered of a leaf. Not measured: chosen to bound
// the memory; messages of older incarnations than these do not arrive any more.
const maximumBoots = 8

// incarnations are the boot IDs of a leaf: one for each time that its process started.
type incarnations struct {
	boots         []string // those seen, the current one last
	drainingBoots []string // those that said they drain
}

// boot returns the current boot ID; empty if none was seen.
func (i *incarnations) currentBoot() string {
	if len(i.boots) == 0 {
		return ""
	}
	return i.boots[len(i.boots)-1]
}

// noteBoot records the boot ID of a message and reports whether the leaf restarted. A
// boot ID that was replaced before is stale.
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

// noteDraining records that the leaf said under the boot ID that it drains, and reports
// whether that was news. It holds until the leaf has another boot ID.
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
