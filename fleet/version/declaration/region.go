package declaration

import "slices"

// regionsField is the key of home regions.
const regionsField = "regions"

// CheckRegions returns a fault for each home region of a team or route that is not among
// the known ones, sorted. Paths are not checked: the program that sets them answers for
// their regions.
func CheckRegions(set Set, known []string) []Fault {
	checker := newChecker(set)
	for _, each := range regionLists(set) {
		for _, region := range each.regions {
			if !slices.Contains(known, region) {
				checker.addFault(each.fault, "region %q is not known", region)
			}
		}
	}
	return sortUniqueFaults(checker.faults)
}

// NamedRegions returns the home regions that the teams and routes of a set name.
func NamedRegions(set Set) []string {
	var named []string
	for _, each := range regionLists(set) {
		named = append(named, each.regions...)
	}
	slices.Sort(named)
	return slices.Compact(named)
}

// checkRegions reports home regions that an object names twice.
func (c *checker) checkRegions() {
	for _, each := range regionLists(c.set) {
		for index, region := range each.regions {
			if slices.Contains(each.regions[:index], region) {
				c.addFault(each.fault, "region %q is named twice", region)
			}
		}
	}
}

// regionList has the home regions of one object.
type regionList struct {
	// fault names the object and its key.
	fault   Fault
	regions []string
}

func regionLists(set Set) []regionList {
	var lists []regionList
	for _, team := range set.Teams {
		lists = append(lists, regionList{Fault{Kind: "team", Name: team.Name, Field: regionsField}, team.Regions})
	}
	for _, route := range set.Routes {
		lists = append(lists, regionList{Fault{Kind: "route", Name: route.Name, Field: regionsField}, route.Regions})
	}
	return lists
}
