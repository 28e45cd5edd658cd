package cli

import (
	"context"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	fileMode      = 0o644
	directoryMode = 0o755
)

const getExamples = `Examples:
  cornelyard get
  cornelyard get pools/drafting.json
  cornelyard get --version 41 --to declarations-41
`

// getCommand lists or writes declarations.
type getCommand struct {
	path    string
	version uint64
	to      string
}

// Register implements Command.
func (c *getCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("get", "List the declarations, write one out, or write all into a directory.").HelpLong(getExamples)
	command.Arg("path", "Document to write out, such as pools/drafting.json.").StringVar(&c.path)
	command.Flag("version", "Version to read. Default: the newest.").Uint64Var(&c.version)
	command.Flag("to", "Directory to write the documents into.").PlaceHolder("DIR").StringVar(&c.to)
	return command
}

// Run implements Command.
func (c *getCommand) Run(ctx context.Context, s *Session) error {
	hostClient, err := s.newClient()
	if err != nil {
		return err
	}
	defer hostClient.Close()
	found, err := hostClient.Documents(ctx, c.version, c.path)
	if err != nil {
		return err
	}
	if c.path != "" && len(found.Documents) == 0 {
		return Error.New("there is no %s in version %d", c.path, found.Version)
	}
	if found.Stale && !s.JSON() {
		s.PrintErrf("the platform cannot be read; there may be a newer version than %d\n", found.Version)
	}
	if c.to != "" {
		return c.write(s, found)
	}
	return c.print(s, found)
}

func (c *getCommand) print(s *Session, found api.Documents) error {
	if s.JSON() {
		return s.WriteJSON(found)
	}
	for _, d := range found.Documents {
		if d.Path == c.path {
			s.Printf("%s", d.Body)
			return nil
		}
	}
	s.Printf("version %d\n", found.Version)
	for _, d := range found.Documents {
		s.Printf("%s\n", d.Path)
	}
	return nil
}

// write writes the documents to files. Other files in the directory are not
// changed.
func (c *getCommand) write(s *Session, found api.Documents) error {
	for _, d := range found.Documents {
		if err := writeDocument(c.to, d); err != nil {
			return err
		}
	}
	if s.JSON() {
		return s.WriteJSON(found)
	}
	s.Printf("version %d: %d documents in %s\n", found.Version, len(found.Documents), c.to)
	return nil
}

func writeDocument(root string, d settings.Document) error {
	if !filepath.IsLocal(d.Path) {
		return Error.New("the path %q leads out of the directory", d.Path)
	}
	path := filepath.Join(root, filepath.FromSlash(d.Path))
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, []byte(d.Body), fileMode))
}
