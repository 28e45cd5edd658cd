// Package config holds the settings of one process: its addresses, its data
// centre, its keys and its limits. They come from one JSON file and do not
// change while the process runs.
package config
