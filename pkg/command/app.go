// Package command is the operators' command. Each command has its own file with
// a register function, which Commands lists.
package command

import (
	"context"
	"crypto/tls"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// The exit codes.
const (
	ExitOK = 0
	// ExitFailed also says that check has found a mistake.
	ExitFailed = 1
	ExitUsage  = 2
	// ExitConflict says that another publisher was first.
	ExitConflict = 3
	// ExitUndetermined says that the outcome is not known.
	ExitUndetermined = 4
	// ExitUnreachable says that no daemon answered.
	ExitUnreachable = 5
)

const (
	outputText = "text"
	outputJSON = "json"

	defaultTimeout = "20s"
)

// Register adds one command to the application.
type Register func(*App)

// Commands lists the commands in the order of the help. To add one, write a file
// with its register function and list it here.
func Commands() []Register {
	return []Register{
		registerCheck, registerPublish, registerDiff, registerGet, registerHistory,
		registerStatus, registerExplain, registerDrain, registerQuarantine,
	}
}

// App is the application with its settings. Commands read them when they run.
type App struct {
	*kingpin.Application
	// Out takes results, Err takes errors.
	Out io.Writer
	Err io.Writer

	addresses []string
	token     string
	caFile    string
	// certificates are those of caFile; nil stands for the system's.
	certificates *tls.Config
	output       string
	timeout      time.Duration

	run func(ctx context.Context) error
}

// Run runs the command line with the commands of this package and more, and
// returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer, more ...Register) int {
	return run(ctx, args, out, errOut, append(Commands(), more...))
}

// JSON reports whether results and errors are wanted as JSON.
func (a *App) JSON() bool { return a.output == outputJSON }

// exit is how kingpin's help and completion end the command line.
type exit struct{ code int }

func run(ctx context.Context, args []string, out, errOut io.Writer, commands []Register) (code int) {
	defer func() {
		switch end := recover().(type) {
		case nil:
		case exit:
			code = end.code
		default:
			panic(end)
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
	err := app.loadCertificates()
	if err == nil {
		err = app.run(ctx)
	}
	if err != nil {
		app.report(err)
		return exitCode(err)
	}
	return ExitOK
}

func newApp(out, errOut io.Writer) *App {
	a := &App{Application: kingpin.New("monsooncrank", "Publishes and inspects the configuration of monsooncrank and its daemons."),
		Out: out, Err: errOut}
	a.UsageWriter(out).ErrorWriter(errOut).Terminate(func(code int) { panic(exit{code}) })
	a.UsageTemplate(kingpin.DefaultUsageTemplate + exampleTemplate)
	a.HelpFlag.Short('h')
	a.Flag("address", "Operators' address of a daemon (host:port, or a URL); several are separated by commas.").
		Envar("MONSOONCRANK_ADDRESS").Default("127.0.0.1:7080").SetValue((*addressList)(&a.addresses))
	a.Flag("token", "Operators' token. The environment variable keeps it out of the list of processes.").
		Envar("MONSOONCRANK_TOKEN").StringVar(&a.token)
	a.Flag("ca-file", "Certificates (PEM) that https addresses are verified against, in place of the system's.").
		Envar("MONSOONCRANK_CA_FILE").StringVar(&a.caFile)
	a.Flag("output", "Format of results and errors: text or json.").Short('o').
		Envar("MONSOONCRANK_OUTPUT").Default(outputText).HintOptions(outputText, outputJSON).EnumVar(&a.output, outputText, outputJSON)
	a.Flag("timeout", "Time for the command.").Envar("MONSOONCRANK_TIMEOUT").Default(defaultTimeout).DurationVar(&a.timeout)
	return a
}

// exampleTemplate prints the examples of a command after its flags.
const exampleTemplate = `{{if .Context.SelectedCommand}}{{.Context.SelectedCommand.HelpLong}}{{end}}`

// Add adds a command with an example of its use.
func (a *App) Add(name, help, example string) *Command {
	return a.command(a.Command(name, help), example)
}

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

// Runs sets what the command does. The context ends with the process; commands
// that talk to daemons bound it by the timeout flag (see App.Bounded).
func (c *Command) OnRun(run func(ctx context.Context) error) {
	c.Action(func(*kingpin.ParseContext) error {
		c.app.run = run
		return nil
	})
}

// Sub adds a command below this one.
func (c *Command) Sub(name, help, example string) *Command {
	return c.app.command(c.Command(name, help), example)
}

// Bounded returns a context that ends after the timeout flag.
func (a *App) TimeoutContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.timeout)
}

// addressList collects addresses separated by commas.
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
