package stage

import (
	"fmt"
	"os"
)

// Main plays a case and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 the case leaves out the disruption.
func Main(root, out string, play func(s *Stage, trouble bool) (broken bool, err error)) int {
	record, err := NewRecord(out)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	s, err := New(root, record)
	if err != nil {
		record.Say("the case could not run: %v", err)
		return 2
	}
	defer s.Close()
	broken, err := play(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Say("the case could not run: %v", err)
		return 2
	}
	if broken {
		return 1
	}
	return 0
}
