package settings

import "fmt"

// Keys and key prefixes of the rows in the platform's table.
const (
	headKey         = "settings/head"
	documentPrefix  = "settings/document/"
	changePrefix    = "settings/change/"
	committedPrefix = "settings/landed/"
)

func documentKey(path string) string { return documentPrefix + path }

// changeKey pads the version with zeros, so that keys sort by version.
func changeKey(version uint64) string { return fmt.Sprintf("%s%020d", changePrefix, version) }

func committedKey(id string) string { return committedPrefix + id }
