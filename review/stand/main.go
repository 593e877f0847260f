//go:build review

// Command stand plays the cases of the review: it starts pier-edge processes beside
// stand-ins of the store, the replicas and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdicts, which are the exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. They report whether the rule held. Each file adds its own.
var cases = map[string]func(log *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		os.Exit(failed)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	log := &record{out: out, start: time.Now()}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		sites.mu.Lock()
		for _, s := range sites.list {
			s.close()
		}
		os.Exit(failed)
	}()
	verdict, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		verdict = failed
		log.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
	}
	_ = out.Close()
	os.Exit(verdict)
}

// conclude writes the last line of the record and returns the verdict.
func conclude(log *record, isBroken bool, format string, args ...any) (int, error) {
	word, verdict := "the rule held: ", held
	if isBroken {
		word, verdict = "THE RULE WAS BROKEN: ", broken
	}
	text := word + fmt.Sprintf(format, args...)
	log.printf("%s", text)
	fmt.Println(text)
	return verdict, nil
}
