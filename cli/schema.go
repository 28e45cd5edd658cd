package cli

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/invopop/jsonschema"

	"github.com/cornelyard/cornelyard/settings"
)

const schemaExamples = `Examples:
  cornelyard schema pool > pool.schema.json
  cornelyard schema --to schemas
`

// durationPattern matches the durations that time.ParseDuration accepts.
const durationPattern = `^[-+]?([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|ms|s|m|h)(([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|ms|s|m|h))*$|^0$`

// schemaCommand writes JSON schemas of documents, for use in editors.
type schemaCommand struct {
	kind string
	to   string
}

// Register implements Command.
func (c *schemaCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("schema", "Write the JSON schema of a kind of document, or of all into a directory. Needs no host.").HelpLong(schemaExamples)
	command.Arg("kind", "One of: "+strings.Join(kindNames(), ", ")+".").EnumVar(&c.kind, kindNames()...)
	command.Flag("to", "Directory to write NAME.schema.json files into.").PlaceHolder("DIR").StringVar(&c.to)
	return command
}

// Run implements Command.
func (c *schemaCommand) Run(_ context.Context, s *Session) error {
	if c.kind == "" && c.to == "" {
		return &usageError{message: "give a kind (" + strings.Join(kindNames(), ", ") + ") or --to"}
	}
	for _, kind := range schemaKinds() {
		if c.kind != "" && c.kind != kind.name {
			continue
		}
		if err := c.write(s, kind); err != nil {
			return err
		}
	}
	return nil
}

func (c *schemaCommand) write(s *Session, kind schemaKind) error {
	schema := newReflector().Reflect(kind.value)
	if c.to == "" {
		return s.WriteJSON(schema)
	}
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.MkdirAll(c.to, directoryMode); err != nil {
		return Error.Wrap(err)
	}
	path := filepath.Join(c.to, kind.name+".schema.json")
	if err := os.WriteFile(path, append(data, '\n'), fileMode); err != nil {
		return Error.Wrap(err)
	}
	s.Printf("%s\n", path)
	return nil
}

func newReflector() *jsonschema.Reflector {
	return &jsonschema.Reflector{Anonymous: true, ExpandedStruct: true, Mapper: mapType}
}

// mapType returns the schema of types with their own JSON encoding.
func mapType(t reflect.Type) *jsonschema.Schema {
	if t != reflect.TypeFor[settings.Duration]() {
		return nil
	}
	return &jsonschema.Schema{
		Type:        "string",
		Pattern:     durationPattern,
		Description: settings.Duration(0).JSONFormat(),
	}
}
