package soak

import (
	"fmt"
	"regexp"
)

var versionComments = regexp.MustCompile(`(?m)^: (v\d+)\n`)

// softwareVersion returns the version of the i-th target. Two targets in a row of those that
// serve the model have the same version.
func softwareVersion(i, versions int) string { return fmt.Sprintf("v%d", i/6%versions+1) }

// versionComment is the line before each event that names the version of the target.
func versionComment(version string) string { return ": " + version + "\n" }

// withoutVersions removes these lines.
func withoutVersions(body string) string { return versionComments.ReplaceAllString(body, "") }

// addVersions adds the versions that a part of a stream names.
func addVersions(versions map[string]bool, body string) {
	for _, match := range versionComments.FindAllStringSubmatch(body, -1) {
		versions[match[1]] = true
	}
}
