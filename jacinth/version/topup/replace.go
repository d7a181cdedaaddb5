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

// ReplacePurchased returns the content of an INI file with the amount in the first
// purchased line of the budget's section replaced. All other bytes, including comments,
// are kept. It returns false if there is no such line.
func ReplacePurchased(content []byte, budget string, amount int64) ([]byte, bool) {
	lines := bytes.SplitAfter(content, []byte("\n"))
	inBudgetSection := false
	for i, line := range lines {
		if section := sectionLine.FindSubmatch(line); section != nil {
			inBudgetSection = isBudget(string(section[1]), budget)
			continue
		}
		match := purchasedLine.FindSubmatchIndex(line)
		if !inBudgetSection || match == nil {
			continue
		}
		lines[i] = replaceNumber(line, match, amount)
		return bytes.Join(lines, nil), true
	}
	return nil, false
}

// isBudget reports whether a section name, without its brackets, is that of the budget.
func isBudget(section, budget string) bool {
	words := strings.Fields(section)
	return len(words) == 2 && words[0] == "budget" && words[1] == budget
}

// replaceNumber returns the line with the number after the key replaced. match holds the
// indexes of a match of purchasedLine, whose submatch ends before the number.
func replaceNumber(line []byte, match []int, amount int64) []byte {
	var replaced []byte
	replaced = append(replaced, line[:match[3]]...)
	replaced = strconv.AppendInt(replaced, amount, 10)
	return append(replaced, line[match[1]:]...)
}
