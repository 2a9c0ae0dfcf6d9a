// Package command implements the command-line tool for operators. Each command
// has its own file with a register function that is listed in Commands.
package command

import (
	"context"
	"crypto/tls"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed is the code of other failures, including findings of check.
	ExitFailed = 1
	ExitUsage  = 2
	// ExitConflict means that another publisher published first.
	ExitConflict = 3
	// ExitUndetermined means that the outcome of a publish is unknown.
	ExitUndetermined = 4
	// ExitUnreachable means that a daemon did not respond.
	ExitUnreachable = 5
)

const (
	outputText = "text"
	outputJSON = "json"

	defaultTimeout = "20s"
)

// Register adds one command to the application.
type Register func(*App)

// Commands lists the commands in the order in which the help shows them. To add
// a command, write a file with its register function and list the function
// here.
func Commands() []Register {
	return []Register{
		registerCheck, registerPublish, registerDiff, registerGet, registerHistory,
		registerStatus, registerExplain, registerDrain, registerQuarantine,
	}
}

// App is the command-line application. The values of its flags are set before a
// command runs.
type App struct {
	*kingpin.Application
	// Out receives results and Err receives errors.
	Out io.Writer
	Err io.Writer

	addresses []string
	token     string
	caFile    string
	// tlsConfig trusts the certificates in caFile; nil selects those of the
	// system.
	tlsConfig *tls.Config
	output    string
	timeout   time.Duration

	run func(ctx context.Context) error
}

// Run executes the command line args with the commands of this package and
// those in more, and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer, more ...Register) int {
	return run(ctx, args, out, errOut, append(Commands(), more...))
}

// JSON reports whether results and errors are printed as JSON.
func (a *App) JSON() bool { return a.output == outputJSON }

// exitPanic is the panic value with which kingpin's help and completion end the
// command line; run recovers it.
type exitPanic struct{ code int }

// run executes the command line with the given commands and returns the exit
// code.
func run(ctx context.Context, args []string, out, errOut io.Writer, commands []Register) (code int) {
	defer func() {
		switch recovered := recover().(type) {
		case nil:
		case exitPanic:
			code = recovered.code
		default:
			panic(recovered)
		}
	}()
	app := newApp(out, errOut)
	for _, register := range commands {
		register(app)
	}
	if _, err := app.Parse(args); err != nil {
		app.Errorf("%s, try --help", err)
		return ExitUsage
	}
	err := app.loadCAFile()
	if err == nil {
		err = app.run(ctx)
	}
	if err != nil {
		app.report(err)
		return exitCode(err)
	}
	return ExitOK
}

// newApp returns the application with its global flags and without commands.
func newApp(out, errOut io.Writer) *App {
	a := &App{Application: kingpin.New("monsooncrank", "Publishes and inspects the configuration of monsooncrank and its daemons."),
		Out: out, Err: errOut}
	a.UsageWriter(out).ErrorWriter(errOut).Terminate(func(code int) { panic(exitPanic{code}) })
	a.UsageTemplate(kingpin.DefaultUsageTemplate + exampleTemplate)
	a.HelpFlag.Short('h')
	a.Flag("address", "Address of a daemon's operator API (host:port, or a URL); separate several with commas.").
		Envar("MONSOONCRANK_ADDRESS").Default("127.0.0.1:7080").SetValue((*addressList)(&a.addresses))
	a.Flag("token", "Operator token. Set it by the environment variable to hide it from the process list.").
		Envar("MONSOONCRANK_TOKEN").StringVar(&a.token)
	a.Flag("ca-file", "CA certificates (PEM) for https addresses, used instead of those of the system.").
		Envar("MONSOONCRANK_CA_FILE").StringVar(&a.caFile)
	a.Flag("output", "Format of results and errors: text or json.").Short('o').
		Envar("MONSOONCRANK_OUTPUT").Default(outputText).HintOptions(outputText, outputJSON).EnumVar(&a.output, outputText, outputJSON)
	a.Flag("timeout", "Time limit of the command.").Envar("MONSOONCRANK_TIMEOUT").Default(defaultTimeout).DurationVar(&a.timeout)
	return a
}

// exampleTemplate is the part of the help that prints the examples of a command
// after its flags.
const exampleTemplate = `{{if .Context.SelectedCommand}}{{.Context.SelectedCommand.HelpLong}}{{end}}`

// Add adds a command with examples of its use, one on each line.
func (a *App) Add(name, help, example string) *Command {
	return a.command(a.Command(name, help), example)
}

// command wraps a kingpin command and adds the examples to its help.
func (a *App) command(clause *kingpin.CmdClause, example string) *Command {
	if example != "" {
		clause.HelpLong("\nExample:\n  " + strings.ReplaceAll(example, "\n", "\n  ") + "\n")
	}
	return &Command{CmdClause: clause, app: a}
}

// Command is one command of the application.
type Command struct {
	*kingpin.CmdClause
	app *App
}

// OnRun sets the function that executes the command. Its context ends when the
// process is interrupted; commands that call daemons also limit it by the
// timeout flag (see App.TimeoutContext).
func (c *Command) OnRun(run func(ctx context.Context) error) {
	c.Action(func(*kingpin.ParseContext) error {
		c.app.run = run
		return nil
	})
}

// Sub adds a subcommand.
func (c *Command) Sub(name, help, example string) *Command {
	return c.app.command(c.Command(name, help), example)
}

// TimeoutContext returns a context that ends after the duration of the timeout
// flag.
func (a *App) TimeoutContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.timeout)
}

// addressList is a flag value that holds addresses separated by commas.
type addressList []string

// Set implements kingpin.Value.
func (l *addressList) Set(value string) error {
	*l = (*l)[:0]
	for _, address := range strings.Split(value, ",") {
		if address = strings.TrimSpace(address); address != "" {
			*l = append(*l, address)
		}
	}
	if len(*l) == 0 {
		return &UsageError{Reason: "no address given"}
	}
	return nil
}

// String implements kingpin.Value.
func (l *addressList) String() string { return strings.Join(*l, ",") }
