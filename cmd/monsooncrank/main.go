// Command monsooncrank is the operators' command.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/monsooncrank/monsooncrank/pkg/demo"
	"github.com/monsooncrank/monsooncrank/pkg/measure"
)

func main() {
	app := kingpin.New("monsooncrank", "Operates monsooncrank.")
	demo.Register(app)
	measure.Register(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
