package supersede

import "testing"

func TestAccept(t *testing.T) {
	var versions Versions
	for _, step := range []struct {
		name                 string
		version, digest, era uint64
		want                 bool
	}{
		{"first", 6, 60, 1, true},
		{"the same again", 6, 60, 1, false},
		{"a lower one", 5, 50, 1, false},
		{"a higher one", 9, 90, 1, true},
		{"other content of the same number in one era", 9, 91, 1, false},
		{"the older one of a restored store", 6, 60, 2, false},
		{"an unknown lower one of a restored store", 7, 70, 2, false},
		{"the one in force, written again", 9, 91, 2, false},
		{"the one in force, issued again", 9, 92, 3, true},
		{"a lower one, issued again", 6, 61, 3, true},
		{"a late response of an earlier era", 6, 60, 2, false},
		{"a higher one than the one in force", 9, 92, 3, true},
	} {
		if got := versions.Accept(step.version, step.digest, step.era); got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
	}
}

// TestVersionsAreBounded checks that the lowest versions are forgotten.
func TestVersionsAreBounded(t *testing.T) {
	var versions Versions
	for version := range uint64(3 * maxVersions) {
		versions.Accept(version, version, 1)
	}
	if got := len(versions.read); got != maxVersions {
		t.Errorf("%d versions remembered, want %d", got, maxVersions)
	}
}
