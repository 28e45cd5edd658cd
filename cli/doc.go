// Package cli holds the commands of the operators' tool, cornelyard.
package cli
