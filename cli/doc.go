// Package cli implements the commands of the operators' command-line tool,
// cornelyard.
package cli
