package cli

import (
	"context"
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/operator/api"
)

// exampleTemplate extends kingpin's usage template by the long help of the
// selected command or the list of exit statuses.
const exampleTemplate = `{{if .Context.SelectedCommand -}}
{{with .Context.SelectedCommand.HelpLong}}{{.}}
{{end -}}
{{else}}` + exitStatusHelp + `{{end -}}
`

// Main runs the command that the arguments name and returns its exit status.
func Main(ctx context.Context, arguments []string, environment Environment, commands []Command) ExitStatus {
	app := kingpin.New("cornelyard", "Declares what cornelyard serves, and shows what it does.")
	app.UsageTemplate(kingpin.DefaultUsageTemplate + exampleTemplate)
	app.UsageWriter(environment.Stdout)
	app.ErrorWriter(environment.Stderr)
	app.HelpFlag.Short('h')
	s := &Session{Environment: environment}
	s.flags.register(app)
	byName := make(map[string]Command, len(commands))
	for _, command := range commands {
		byName[command.Register(app).FullCommand()] = command
	}
	name, err := parse(app, arguments)
	var ended *terminated
	if errors.As(err, &ended) {
		return ended.status
	}
	if err != nil {
		s.PrintErrf("cornelyard: %v; try --help\n", err)
		return ExitUsage
	}
	err = byName[name].Run(ctx, s)
	s.report(err)
	return statusOf(err)
}

// parse returns the name of the selected command, or *terminated if kingpin has
// already handled the arguments, such as by showing help.
func parse(app *kingpin.Application, arguments []string) (name string, err error) {
	app.Terminate(func(status int) { panic(&terminated{status: ExitStatus(status)}) })
	defer func() {
		if cause := recover(); cause != nil {
			ended, ok := cause.(*terminated)
			if !ok {
				panic(cause)
			}
			err = ended
		}
	}()
	return app.Parse(arguments)
}

// report prints the error: as JSON to the standard output if that format is
// selected, otherwise as text to the standard error output.
func (s *Session) report(err error) {
	if err == nil || err.Error() == "" {
		return
	}
	if s.JSON() {
		_ = s.WriteJSON(api.ErrorReply{Error: toAPIError(err)})
		return
	}
	if findings := toAPIError(err).Findings; len(findings) > 0 {
		s.PrintErrf("%s\n", findings.Error())
		return
	}
	s.PrintErrf("cornelyard: %v\n", err)
}

// toAPIError converts any error to an *api.Error.
func toAPIError(err error) *api.Error {
	var refusal *api.Error
	var findings finding.List
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &findings):
		return &api.Error{Code: api.Findings, Message: findings.Error(), Findings: findings}
	case statusOf(err) == ExitUsage:
		return &api.Error{Code: api.BadRequest, Message: err.Error()}
	default:
		return &api.Error{Code: api.Internal, Message: err.Error()}
	}
}
