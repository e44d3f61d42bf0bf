// Package version names the build.
package version

// Version is set by the linker; see the Makefile.
var Version = "unversioned"
