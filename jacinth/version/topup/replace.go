package topup

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
)

var (
	sectionLine   = regexp.MustCompile(`^\s*\[([^\]]*)\]`)
	purchasedLine = regexp.MustCompile(`^(\s*purchased\s*[=:]\s*)[+0-9]+`)
)

// ReplacePurchased sets the amount in the purchased line of the budget's section and
// reports whether there is one. Every other byte stays as it was.
func ReplacePurchased(text []byte, budget string, amount int64) ([]byte, bool) {
	lines := bytes.SplitAfter(text, []byte("\n"))
	inside := false
	for i, line := range lines {
		if section := sectionLine.FindSubmatch(line); section != nil {
			inside = isBudget(string(section[1]), budget)
			continue
		}
		match := purchasedLine.FindSubmatchIndex(line)
		if !inside || match == nil {
			continue
		}
		lines[i] = replaceNumber(line, match, amount)
		return bytes.Join(lines, nil), true
	}
	return nil, false
}

func isBudget(section, budget string) bool {
	words := strings.Fields(section)
	return len(words) == 2 && words[0] == "budget" && words[1] == budget
}

// replaceNumber writes the amount between the end of the first submatch and the
// end of the match.
func replaceNumber(line []byte, match []int, amount int64) []byte {
	var replaced []byte
	replaced = append(replaced, line[:match[3]]...)
	replaced = strconv.AppendInt(replaced, amount, 10)
	return append(replaced, line[match[1]:]...)
}
