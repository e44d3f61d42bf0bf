// Package decide is the root of the rules by which a node chooses, admits, places,
// retries and gives up. It holds no code: each rule is a file or a package below it,
// and docs/DECISIONS.md is their index.
//
// All of them are pure: time and chance come in as arguments, and what has to be sent
// or written is returned. The drivers that carry it out are outside.
package decide
