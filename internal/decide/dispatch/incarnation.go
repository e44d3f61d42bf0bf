package dispatch

import "slices"

func (l *leafState) boot() string {
	if len(l.boots) == 0 {
		return ""
	}
	return l.boots[len(l.boots)-1]
}

// noteBoot records the boot id of a message and reports whether the leaf was
// started anew. A boot id that was replaced before is stale.
func (l *leafState) noteBoot(boot string) bool {
	if boot == "" || slices.Contains(l.boots, boot) {
		return false
	}
	anew := len(l.boots) > 0
	if len(l.boots) == maximumBoots {
		l.boots = slices.Delete(l.boots, 0, 1)
	}
	l.boots = append(l.boots, boot)
	return anew
}

// noteDraining records that the leaf said so under the boot id, and reports whether
// that was news. It holds until the leaf has another boot id.
func (l *leafState) noteDraining(boot string) bool {
	if boot == "" {
		boot = l.boot()
	}
	if slices.Contains(l.drained, boot) {
		return false
	}
	if len(l.drained) == maximumBoots {
		l.drained = slices.Delete(l.drained, 0, 1)
	}
	l.drained = append(l.drained, boot)
	return boot == l.boot()
}

func (l *leafState) draining() bool {
	return slices.Contains(l.drained, l.boot())
}
