// Package config loads the settings file of one process: its addresses, data centre,
// keys and limits. The file is a JSON document that is read once, at the start.
package config
