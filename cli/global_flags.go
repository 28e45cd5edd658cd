package cli

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Names of the environment variables.
const (
	envToken    = "CORNELYARD_TOKEN"
	envOperator = "CORNELYARD_OPERATOR"
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// globalFlags are the flags common to all commands.
type globalFlags struct {
	operators []string
	tokenFile string
	output    string
	timeout   time.Duration
}

func (g *globalFlags) register(app *kingpin.Application) {
	app.Flag("operator", "Operator address of a host, as IP:port. May be repeated; the hosts are tried in turn. Default: $"+envOperator+", separated by commas.").
		PlaceHolder("ADDRESS").StringsVar(&g.operators)
	app.Flag("token-file", "File that holds the token. Default: the token in $"+envToken+".").
		PlaceHolder("FILE").StringVar(&g.tokenFile)
	app.Flag("output", "Format of the output: text or json.").
		Default(formatText).EnumVar(&g.output, formatText, formatJSON)
	app.Flag("timeout", "Bound of one request to one host.").
		Default("30s").DurationVar(&g.timeout)
}

// addresses returns the operator addresses of the flags or the environment.
func (g *globalFlags) addresses(getenv func(string) string) ([]string, error) {
	addresses := g.operators
	if len(addresses) == 0 {
		addresses = splitList(getenv(envOperator))
	}
	if len(addresses) == 0 {
		return nil, &usageError{message: "no host is given: use --operator or $" + envOperator}
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, &usageError{message: strconv.Quote(address) + " is not an operator address, IP:port"}
		}
	}
	return addresses, nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// token returns the bearer token of the token file or the environment. It is never
// passed as an argument, as other users of the machine can read those.
func (g *globalFlags) token(getenv func(string) string) (string, error) {
	if g.tokenFile == "" {
		token := getenv(envToken)
		if token == "" {
			return "", &usageError{message: "no token is given: use --token-file or $" + envToken}
		}
		return token, nil
	}
	data, err := os.ReadFile(g.tokenFile)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return strings.TrimSpace(string(data)), nil
}
