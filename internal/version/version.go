// Package version holds the version of the build.
package version

// Version is the version of the build. The Makefile sets it with the linker flag -X.
var Version = "unversioned"
