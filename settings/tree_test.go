package settings

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func hash(digit string) string { return strings.Repeat(digit, 64) }

// validFiles returns a small tree without findings.
func validFiles() map[string]string {
	return map[string]string{
		"tiers/gold.json":       `{"rank": 0, "defaultDeadline": "30s"}`,
		"tiers/bronze.json":     `{"rank": 1, "defaultDeadline": "2m", "teams": ["desk", "press"]}`,
		"pools/drafting.json":   `{"kind": "engine", "model": "draft-1", "maxQueue": 100, "shares": {"desk": 2}}`,
		"pools/filing.json":     `{"kind": "service", "maxQueue": 10, "nonIdempotentPaths": ["/filings"]}`,
		"targets/e1.json":       `{"pool": "drafting", "dataCentre": "col-1", "address": "10.0.1.1:8000", "slots": 4}`,
		"targets/s1.json":       `{"pool": "filing", "dataCentre": "col-1", "address": "10.0.1.2:8000", "slots": 4}`,
		"teams/desk/team.json":  `{"adminTokenHashes": ["` + hash("a") + `"], "callerTokenHashes": ["` + hash("b") + `"], "defaultTier": "gold"}`,
		"teams/press/team.json": `{"adminTokenHashes": ["` + hash("c") + `"], "callerTokenHashes": ["` + hash("d") + `"], "defaultTier": "bronze"}`,
	}
}

func sortedDocuments(files map[string]string) []Document {
	var list []Document
	for path, body := range files {
		list = append(list, Document{Path: path, Body: body})
	}
	slices.SortFunc(list, func(a, b Document) int { return strings.Compare(a.Path, b.Path) })
	return list
}

// mergedFiles returns the valid files with those in files replaced; an empty body
// removes the file.
func mergedFiles(files map[string]string) map[string]string {
	tree := validFiles()
	for path, body := range files {
		tree[path] = body
		if body == "" {
			delete(tree, path)
		}
	}
	return tree
}

func TestParseTreeFindsEveryFault(t *testing.T) {
	cases := []struct {
		name  string
		files map[string]string
		want  []string
	}{
		{"good", nil, nil},
		{"syntax", map[string]string{"tiers/gold.json": "{\n\"rank\": 0,,\n}"}, []string{"tiers/gold.json:2:11: invalid character ','"}},
		{"unknown field", map[string]string{"pools/filing.json": "{\"kind\": \"service\",\n \"maxQueue\": 1, \"max\": 2}"}, []string{"pools/filing.json:2:17: max: unknown field (allowed: kind, model,"}},
		{"several in several files", map[string]string{
			"tiers/gold.json": `{"rank": -1, "defaultDeadline": "soon"}`,
			"targets/e1.json": `{"pool": "drafting", "dataCentre": "Colombo 1", "address": "host:80", "slots": 0}`,
		}, []string{
			`targets/e1.json:1:36: dataCentre: the name "Colombo 1" is not allowed`,
			`targets/e1.json:1:60: address: "host:80" is not an address`,
			"targets/e1.json:1:80: slots: the number of slots is out of range (allowed: 1 to 65536)",
			"tiers/gold.json:1:10: rank: the rank is negative",
			`tiers/gold.json:1:33: defaultDeadline: got "soon" (allowed: a duration such as "1.5s")`,
		}},
		{"unknown kind and policy", map[string]string{"pools/filing.json": `{"kind": "db", "policy": "random", "maxQueue": 1}`}, []string{
			`kind: unknown kind "db" (allowed: engine, service)`,
			`policy: unknown policy "random" (allowed: predictive,`,
		}},
		{"engine without model", map[string]string{"pools/drafting.json": `{"kind": "engine", "maxQueue": 1}`}, []string{"model: a pool of engines needs a model"}},
		{"service with a model", map[string]string{"pools/filing.json": `{"kind": "service", "model": "m", "maxQueue": 1}`}, []string{"model: a pool of services has no model"}},
		{"no queue", map[string]string{"pools/filing.json": `{"kind": "service", "maxQueue": 0}`}, []string{"maxQueue: the queue has no room"}},
		{"path without slash", map[string]string{"pools/filing.json": `{"kind": "service", "maxQueue": 1, "nonIdempotentPaths": ["/a", "b"]}`}, []string{"nonIdempotentPaths[1]: the path does not begin"}},
		{"negative share", map[string]string{"pools/drafting.json": `{"kind": "engine", "model": "m", "maxQueue": 1, "shares": {"desk": -1}}`}, []string{"shares.desk: the share is out of range"}},
		{"unknown references", map[string]string{
			"tiers/bronze.json":    `{"rank": 1, "defaultDeadline": "2m", "teams": ["press", "nobody"]}`,
			"pools/drafting.json":  `{"kind": "engine", "model": "m", "maxQueue": 1, "shares": {"ghost": 1}}`,
			"targets/e1.json":      `{"pool": "draft", "dataCentre": "col-1", "address": "10.0.1.1:8000", "slots": 4}`,
			"teams/desk/team.json": `{"callerTokenHashes": [], "defaultTier": "silver"}`,
		}, []string{
			`pools/drafting.json:1:69: shares.ghost: unknown team "ghost" (allowed: desk, press)`,
			`targets/e1.json:1:10: pool: unknown pool "draft" (allowed: drafting, filing)`,
			`teams/desk/team.json:1:42: defaultTier: unknown tier "silver" (allowed: bronze, gold)`,
			`tiers/bronze.json:1:57: teams[1]: unknown team "nobody"`,
		}},
		{"tier for others", map[string]string{"tiers/bronze.json": `{"rank": 1, "defaultDeadline": "2m", "teams": ["desk"]}`}, []string{"teams/press/team.json:1:198: defaultTier: the team may not use this tier"}},
		{"rank twice", map[string]string{"tiers/bronze.json": `{"rank": 0, "defaultDeadline": "2m"}`}, []string{"tiers/gold.json:1:10: rank: the same rank is declared in tiers/bronze.json"}},
		{"model twice", map[string]string{"pools/other.json": `{"kind": "engine", "model": "draft-1", "maxQueue": 1}`}, []string{"pools/other.json:1:29: model: the same model is declared in pools/drafting.json"}},
		{"address twice", map[string]string{"targets/e2.json": `{"pool": "filing", "dataCentre": "col-2", "address": "10.0.1.1:8000", "slots": 1}`}, []string{"targets/e2.json:1:54: address: the same address is declared in targets/e1.json"}},
		{"token twice", map[string]string{"teams/press/team.json": `{"callerTokenHashes": ["` + hash("d") + `", "` + hash("b") + `"], "defaultTier": "gold"}`}, []string{"callerTokenHashes[1]: the same caller token hash is declared in teams/desk/team.json"}},
		{"token instead of its hash", map[string]string{"teams/press/team.json": `{"callerTokenHashes": ["secret"], "defaultTier": "gold"}`}, []string{"callerTokenHashes[0]: this is not the hash of a token"}},
		{"name", map[string]string{"pools/Big One.json": `{"kind": "service", "maxQueue": 1}`}, []string{"pools/Big One.json:1:1: the name Big One is not allowed"}},
		{"path", map[string]string{"pool/x.json": `{}`}, []string{"pool/x.json:1:1: no document may have this path (allowed: tiers/NAME.json,"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, findings := ParseTree(sortedDocuments(mergedFiles(c.files)))
			if len(findings) != len(c.want) {
				t.Fatalf("got %d findings, want %d:\n%v", len(findings), len(c.want), findings)
			}
			for i, want := range c.want {
				if !strings.Contains(findings[i].String(), want) {
					t.Errorf("finding %d:\n got %s\nwant %s", i, findings[i], want)
				}
			}
		})
	}
}

func TestRemovalsOfReferencedDocuments(t *testing.T) {
	cases := []struct {
		name    string
		removed []string
		want    string
	}{
		{"tier in use", []string{"tiers/gold.json"}, "tiers/gold.json: removed while in use by teams/desk/team.json"},
		{"team with a share", []string{"teams/desk/team.json"}, "teams/desk/team.json: removed while in use by pools/drafting.json, tiers/bronze.json"},
		{"last target", []string{"targets/e1.json"}, "pools/drafting.json:1:1: the change takes the pool's last target away"},
		{"pool with a target", []string{"pools/filing.json"}, "pools/filing.json: removed while in use by targets/s1.json"},
		{"pool and its target", []string{"pools/filing.json", "targets/s1.json"}, ""},
	}
	base, _ := ParseTree(sortedDocuments(validFiles()))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var edits []Edit
			for _, path := range c.removed {
				edits = append(edits, Edit{Path: path})
			}
			got := introducedFindings(base, base.withEdits(edits, 2)).Error()
			if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestExistingFindingsDoNotBlockOtherChanges changes a tree whose fault an earlier
// release accepted. Only a change that writes the faulty document again may be refused
// for it.
func TestExistingFindingsDoNotBlockOtherChanges(t *testing.T) {
	base := newTree(sortedDocuments(mergedFiles(map[string]string{"tiers/bronze.json": `{"rank": -1, "defaultDeadline": "2m"}`})), 1)
	other := base.withEdits([]Edit{{Path: "tiers/gold.json", After: `{"rank": 0, "defaultDeadline": "9s"}`}}, 2)
	if err := introducedFindings(base, other).Err(); err != nil {
		t.Errorf("a change of another document was refused: %v", err)
	}
	same := base.withEdits([]Edit{{Path: "tiers/bronze.json", After: `{"rank":  -1, "defaultDeadline": "2m"}`}}, 2)
	if introducedFindings(base, same) == nil {
		t.Error("a change that writes the faulty document again was accepted")
	}
}

func TestTreesShareUnchangedEntries(t *testing.T) {
	base, _ := ParseTree(sortedDocuments(validFiles()))
	before := base.snapshot(1)
	next := base.withEdits([]Edit{{Path: "tiers/gold.json", After: `{"rank": 0, "defaultDeadline": "9s"}`}}, 2)
	after := next.snapshot(2)
	if before.Teams["desk"] != after.Teams["desk"] || before.Pools["drafting"] != after.Pools["drafting"] {
		t.Error("an unchanged declaration was parsed again")
	}
	if before.Tiers["gold"] == after.Tiers["gold"] {
		t.Error("the changed declaration is still the old one")
	}
	if team, ok := after.CallerTeam(hash("b")); !ok || team != "desk" {
		t.Errorf("the caller token belongs to team %q", team)
	}
	if targets := after.PoolTargets("drafting", "col-1"); len(targets) != 1 || targets[0].Name != "e1" {
		t.Errorf("the pool's targets are %v", targets)
	}
}

func FuzzParseTree(f *testing.F) {
	for path, body := range validFiles() {
		f.Add(path, body)
	}
	f.Add("tiers/gold.json", `{"rank":1e400,"defaultDeadline":"1s"}`)
	f.Add("pools/p.json", `{"shares":{"":{}}}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		tree, findings := ParseTree([]Document{{Path: path, Body: body}})
		for _, found := range findings {
			if found.Message == "" || found.File == "" {
				t.Errorf("finding without a message or file: %+v", found)
			}
		}
		tree.snapshot(1)
	})
}

// BenchmarkChange measures a change of one team: the check on the host that commits
// it, and the new tree and snapshot on every host.
func BenchmarkChange(b *testing.B) {
	for _, teams := range []int{10, 440, 4400} {
		base := newTree(sortedDocuments(manyTeams(teams)), 1)
		b.Run(fmt.Sprintf("check/teams=%d", teams), func(b *testing.B) {
			next := base.withEdits(benchmarkEdit(2), 2)
			b.ReportAllocs()
			for b.Loop() {
				if err := introducedFindings(base, next).Err(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("install/teams=%d", teams), func(b *testing.B) {
			version := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				version++
				base.withEdits(benchmarkEdit(version), version).snapshot(version)
			}
		})
	}
}

// BenchmarkExport measures the encoding and decoding of an export, which happens when
// a host that starts during an outage fetches the settings from a peer.
func BenchmarkExport(b *testing.B) {
	for _, teams := range []int{10, 440, 4400} {
		s := &state{version: 1, tree: newTree(sortedDocuments(manyTeams(teams)), 1)}
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				data, err := encodeState(s)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decodeState(data, emptyState()); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			}
		})
	}
}

func benchmarkEdit(version uint64) []Edit {
	body := fmt.Sprintf(`{"callerTokenHashes": ["%064x"], "defaultTier": "gold"}`, version)
	return []Edit{{Path: "teams/desk/team.json", After: body}}
}

func manyTeams(count int) map[string]string {
	files := validFiles()
	for i := range count {
		caller, admin := TokenHash(fmt.Sprint("caller", i)), TokenHash(fmt.Sprint("admin", i))
		body := fmt.Sprintf(`{"callerTokenHashes": [%q], "adminTokenHashes": [%q], "defaultTier": "gold"}`, caller, admin)
		files[fmt.Sprintf("teams/t%d/team.json", i)] = body
	}
	return files
}
