package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"jacinthpaddle.example/fleet/process/journal"
	"jacinthpaddle.example/fleet/process/vm"
	"jacinthpaddle.example/fleet/version/declaration"
	"jacinthpaddle.example/jacinth/request/audit"
	"jacinthpaddle.example/jacinth/request/ledger"
	"jacinthpaddle.example/jacinth/request/overview"
	"jacinthpaddle.example/jacinth/version/rollout"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// printer writes results as aligned text or as JSON. Its methods are named after what they
// print.
type printer struct {
	out  io.Writer
	json bool
}

// row is one line of a table.
type row []any

// faultList is the JSON form of faults.
type faultList struct {
	Faults []declaration.Fault `json:"faults"`
}

// differenceList is the JSON form of differences.
type differenceList struct {
	Differences []declaration.Difference `json:"differences"`
}

// countList is the JSON form of the number of objects of each kind.
type countList struct {
	Teams    int `json:"teams"`
	Budgets  int `json:"budgets"`
	Models   int `json:"models"`
	Services int `json:"services"`
	Routes   int `json:"routes"`
	Pools    int `json:"pools"`
}

// asJSON writes the value as JSON if JSON output is selected. It reports whether it is.
func (p printer) asJSON(value any) bool {
	if !p.json {
		return false
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(p.out, err)
	}
	return true
}

// table writes a heading and rows in aligned columns.
func (p printer) table(heading row, rows []row) {
	writer := tabwriter.NewWriter(p.out, 0, 0, columnGap, ' ', 0)
	for _, cells := range append([]row{heading}, rows...) {
		texts := make([]string, 0, len(cells))
		for _, cell := range cells {
			texts = append(texts, cellText(cell))
		}
		fmt.Fprintln(writer, strings.Join(texts, "\t"))
	}
	_ = writer.Flush()
}

// cellText formats a cell, as a dash if it is empty.
func cellText(cell any) string {
	if text := fmt.Sprint(cell); text != "" {
		return text
	}
	return "-"
}

func (p printer) faults(faults []declaration.Fault) {
	if p.asJSON(faultList{Faults: faults}) {
		return
	}
	var rows []row
	for _, fault := range faults {
		rows = append(rows, row{fault.Kind, fault.Name, fault.Field, fault.Reason})
	}
	p.table(row{"OBJECT", "NAME", "FIELD", "REASON"}, rows)
}

func (p printer) differences(differences []declaration.Difference) {
	if p.asJSON(differenceList{Differences: differences}) {
		return
	}
	p.differenceTable(differences)
}

func (p printer) differenceTable(differences []declaration.Difference) {
	var rows []row
	for _, change := range differences {
		rows = append(rows, row{change.Kind, change.Name, change.Field, change.Before, change.After})
	}
	p.table(row{"OBJECT", "NAME", "FIELD", "BEFORE", "AFTER"}, rows)
}

func (p printer) counts(set declaration.Set) {
	counts := countList{
		Teams:    len(set.Teams),
		Budgets:  len(set.Budgets),
		Models:   len(set.Models),
		Services: len(set.Services),
		Routes:   len(set.Routes),
		Pools:    len(set.Pools),
	}
	if p.asJSON(counts) {
		return
	}
	fmt.Fprintf(p.out, "no faults: %d teams, %d budgets, %d models, %d services, %d routes, %d pools\n",
		counts.Teams, counts.Budgets, counts.Models, counts.Services, counts.Routes, counts.Pools)
}

func (p printer) applied(applied ApplyResult) {
	if p.asJSON(applied) {
		return
	}
	if len(applied.Differences) > 0 {
		p.differenceTable(applied.Differences)
		fmt.Fprintln(p.out)
	}
	p.confirmations(applied.Confirmations)
	confirmed := 0
	for _, confirmation := range applied.Confirmations {
		if confirmation.Confirmed {
			confirmed++
		}
	}
	fmt.Fprintf(p.out, "\ngeneration %d published, confirmed by %d of %d VMs\n",
		applied.Generation, confirmed, len(applied.Confirmations))
}

func (p printer) confirmations(confirmations []rollout.Confirmation) {
	var rows []row
	for _, confirmation := range confirmations {
		rows = append(rows, row{
			confirmation.VM,
			confirmation.Address,
			confirmation.State,
			yesNo(confirmation.Confirmed),
			confirmation.Generation,
			confirmation.Took.Round(time.Millisecond),
			confirmation.Reason,
		})
	}
	p.table(row{"VM", "ADDRESS", "LISTED", "CONFIRMED", "GENERATION", "TOOK", "REASON"}, rows)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func (p printer) overview(summary overview.Overview) {
	if p.asJSON(summary) {
		return
	}
	fmt.Fprintf(p.out, "generation %d\nevacuated %s\n\n", summary.Generation, cellText(strings.Join(summary.Evacuated, ", ")))
	p.budgets(summary.Budgets)
	fmt.Fprintln(p.out)
	p.routers(summary.Routers)
}

func (p printer) budgets(lines []ledger.BudgetTotals) {
	var rows []row
	for _, line := range lines {
		rows = append(rows, row{
			line.Budget,
			line.Purchased,
			line.Granted,
			line.Returned,
			line.Retired,
			line.Billed,
			line.Outstanding,
			line.OpenHolders,
		})
	}
	p.table(row{"BUDGET", "PURCHASED", "GRANTED", "RETURNED", "RETIRED", "BILLED", "OUT", "HOLDERS"}, rows)
}

func (p printer) routers(routers []overview.Router) {
	var rows []row
	for _, router := range routers {
		rows = append(rows, row{
			router.VM,
			router.Address,
			zone(router.Locality),
			router.Incarnation.Short(),
			router.State,
			router.Generation,
			router.InFlight,
			router.PeersUp,
			strings.Join(router.Evacuated, ","),
		})
	}
	p.table(row{"VM", "ADDRESS", "AVAILABILITY ZONE", "INCARNATION", "STATE", "GENERATION", "IN FLIGHT", "PEERS", "EVACUATED"}, rows)
}

func zone(locality vm.Locality) string {
	return locality.Region + "/" + locality.AvailabilityZone
}

func (p printer) audit(result audit.Result) {
	if p.asJSON(result) {
		return
	}
	var rows []row
	for _, line := range result.Budgets {
		rows = append(rows, row{
			line.Budget,
			line.Purchased,
			line.Outstanding,
			line.Billed,
			line.Unbilled,
			line.WrittenOff,
			line.Requests,
			line.OpenRequests,
		})
	}
	p.table(row{"BUDGET", "PURCHASED", "OUT", "BILLED", "UNBILLED", "WRITTEN OFF", "REQUESTS", "OPEN"}, rows)
	p.mismatches(result.Mismatches)
}

// billList is the JSON form of bills.
type billList struct {
	Bills []journal.Entry `json:"bills"`
}

func (p printer) bills(bills []journal.Entry) {
	if p.asJSON(billList{Bills: bills}) {
		return
	}
	var rows []row
	for _, bill := range bills {
		rows = append(rows, row{
			bill.Request, bill.Team, bill.Target, bill.State, bill.Run,
			bill.Bill(), bill.InputTokens, bill.OutputTokens,
		})
	}
	p.table(row{"REQUEST", "TEAM", "TARGET", "STATE", "RUN", "CREDITS", "TOKENS IN", "TOKENS OUT"}, rows)
}

func (p printer) mismatches(mismatches []audit.Mismatch) {
	if len(mismatches) == 0 {
		fmt.Fprintln(p.out, "\nno mismatches")
		return
	}
	var rows []row
	for _, mismatch := range mismatches {
		rows = append(rows, row{mismatch.Rule, mismatch.Name, mismatch.Got, mismatch.Want})
	}
	fmt.Fprintln(p.out)
	p.table(row{"RULE", "NAME", "GOT", "WANT"}, rows)
}

func (p printer) drained(drained DrainResult) {
	if p.asJSON(drained) {
		return
	}
	fmt.Fprintf(p.out, "%s is draining\n", drained.VM)
}

func (p printer) evacuations(list EvacuationList) {
	if p.asJSON(list) {
		return
	}
	fmt.Fprintf(p.out, "evacuated at version %d: %s\n", list.Version, cellText(strings.Join(list.Zones, ", ")))
}

func (p printer) generatedKey(key GeneratedKey) {
	if p.asJSON(key) {
		return
	}
	fmt.Fprintf(p.out, "key     %s\ndigest  %s\n", key.Key, key.Digest)
}

func (p printer) build(build BuildInfo) {
	if p.asJSON(build) {
		return
	}
	fmt.Fprintf(p.out, "jacinth %s (%s)\n", build.Version, build.Go)
}
