// Package decide is the root of the rules by which a node chooses, admits, places, retries and
// gives up requests. It holds no code: each rule is a file or a package below it, and
// docs/DECISIONS.md is their index.
//
// All rules are pure: time and randomness are passed in as arguments, and what has to be sent or
// written is returned. The drivers that carry it out are outside of this folder.
package decide
