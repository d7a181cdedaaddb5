// Package launch implements the command line of the router.
//
// # Usage
//
//	program := launch.Program{Name: "router", SettingsVariable: "JACINTH_SETTINGS"}
//	os.Exit(launch.Main(program, os.Args[1:], os.Stdout))
package launch

import (
	"fmt"
	"io"
	stdlog "log"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"jacinthpaddle.example/fleet/process/clock"
	"jacinthpaddle.example/fleet/process/event"
	"jacinthpaddle.example/fleet/process/setting"
	"jacinthpaddle.example/router/process/node"
)

// Version is the version that the version subcommand prints.
const Version = "0.1.0"

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitPanicked = 70
)

// LogQueueLines is the maximum number of log lines that wait to be written. It is enough
// for some seconds of a busy process and takes at most about 2 MB.
const LogQueueLines = 4096

// FlushTimeout bounds the wait until the last log lines are written before the process
// ends.
const FlushTimeout = time.Second

// Program is one build of the router.
type Program struct {
	Name string
	// SettingsVariable is the environment variable with the path of the settings file. It
	// is used if the command line does not have the path.
	SettingsVariable string
	// Adapter is nil for the fleet's own protocols.
	Adapter node.Adapter
}

type settingsFlag struct {
	Settings string `arg:"--settings" help:"INI file with the settings"`
}

type arguments struct {
	Run     *settingsFlag `arg:"subcommand:run" help:"serve until SIGTERM, then drain"`
	Check   *settingsFlag `arg:"subcommand:check" help:"check the settings"`
	Version *struct{}     `arg:"subcommand:version" help:"print the version"`
}

// Main executes the command line and returns the exit code. Logs are written to out.
func Main(program Program, args []string, out io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: program.Name, Out: out}, &parsed)
	if err != nil {
		return ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(out)
		return ExitOK
	case err != nil || parser.Subcommand() == nil:
		parser.WriteUsage(out)
		return ExitUsage
	case parsed.Version != nil:
		_, _ = fmt.Fprintln(out, program.Name, Version)
		return ExitOK
	case parsed.Check != nil:
		return check(program.settingsPath(parsed.Check), out)
	default:
		return run(program, program.settingsPath(parsed.Run), out)
	}
}

// settingsPath returns the path of the settings file.
func (p Program) settingsPath(flag *settingsFlag) string {
	if flag.Settings != "" {
		return flag.Settings
	}
	return os.Getenv(p.SettingsVariable)
}

func check(path string, out io.Writer) int {
	_, err := loadSettings(path)
	if err == nil {
		return ExitOK
	}
	var faults *setting.FaultsError
	if !errors.As(err, &faults) {
		_, _ = fmt.Fprintln(out, err)
		return ExitFailed
	}
	for _, fault := range faults.Faults {
		_, _ = fmt.Fprintf(out, "[%s] %s: %s\n", fault.Section, fault.Key, fault.Reason)
	}
	return ExitFailed
}

func loadSettings(path string) (node.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return node.Settings{}, err
	}
	return node.LoadSettings(content)
}

func run(program Program, path string, out io.Writer) int {
	caught := catchSignals()
	settings, err := loadSettings(path)
	if err != nil {
		event.NewLog(out, logrus.InfoLevel).Emit(event.BadSettings, event.Cause(err))
		return ExitFailed
	}
	level, _ := logrus.ParseLevel(settings.Log.Level)
	queue := event.NewAsyncWriter(out, LogQueueLines)
	defer queue.Flush(FlushTimeout)
	log := event.NewLog(queue, level, event.String("vm", settings.VM.Name))
	stdlog.SetFlags(0)
	stdlog.SetOutput(log)
	deps := node.Deps{
		Clock:        clock.New(),
		Log:          log,
		LinesDropped: queue.Dropped,
		Fatal:        fatal(log, queue),
		Adapter:      program.Adapter,
	}
	router, err := node.New(settings, deps)
	if err != nil {
		log.Emit(event.ListenFailed, event.Cause(err))
		return ExitFailed
	}
	go dumpOnSignal(caught.dump, router)
	go reloadOnSignal(caught.reload, router, func() (node.Settings, error) { return loadSettings(path) })
	if err := router.Run(caught.terminated); err != nil {
		return ExitFailed
	}
	return ExitOK
}

// fatal returns a function that ends the process at once. Losing the quota of the process
// is safer than spending it with a control state that cannot be trusted.
func fatal(log *event.Log, queue *event.AsyncWriter) func(value any) {
	return func(value any) {
		log.Emit(event.ControlPanicked, event.String("value", fmt.Sprint(value)))
		queue.Flush(FlushTimeout)
		os.Exit(ExitPanicked)
	}
}
