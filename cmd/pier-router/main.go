// Command pier-router runs the request path of an entry VM.
package main

import (
	"github.com/cranberrypier/cranberrypier/internal/program"
	"github.com/cranberrypier/cranberrypier/internal/router"
)

func main() {
	program.Main("pier-router", "Serves requests on an entry VM.", router.Run)
}
