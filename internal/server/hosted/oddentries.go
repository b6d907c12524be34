package hosted

import (
	"errors"
	"maps"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/settings"
)

// maxLoggedBytes bounds a name or an error of another writer's entry in the log. Names
// and values may have up to 1 MB.
const maxLoggedBytes = 300

// oddEntries are the entries of one kind that cannot be used. An entry is logged and
// counted when its fault changes, not each time that the list is read again or that its
// writer renews it. The goroutine of the kind's watch owns the value.
type oddEntries struct {
	faults map[string]string // by key: the fault that was reported last
}

// add records the fault of an entry, and reports whether it is another one than before.
func (o *oddEntries) add(key, fault string) bool {
	if o.faults[key] == fault {
		return false
	}
	if o.faults == nil {
		o.faults = map[string]string{}
	}
	o.faults[key] = fault
	return true
}

// remove forgets an entry that can be used or is deleted.
func (o *oddEntries) remove(key string) { delete(o.faults, key) }

// retain forgets the entries for which isOdd returns false.
func (o *oddEntries) retain(isOdd func(key string) bool) {
	maps.DeleteFunc(o.faults, func(key, _ string) bool { return !isOdd(key) })
}

// reportOddEntry logs and counts an entry that cannot be used. It runs on the goroutine
// of the kind's watch.
func (d *frontDaemon) reportOddEntry(entries *oddEntries, key, message string, err error) {
	fault := shorten(err.Error())
	if !entries.add(key, fault) {
		return
	}
	kind, _, _ := strings.Cut(key, "/")
	d.metrics.Count("undecodable_entries_total", settings.Label{Name: "kind", Value: kind})
	d.log.WithFields(logrus.Fields{"object": shorten(key), "error": fault}).Warn(message)
}

// reportOddCustomers logs and counts the customers of a configuration that cannot be used
// as they stand. It runs on the goroutine of the kind's watch.
func (d *frontDaemon) reportOddCustomers(config string, faults []caller.CustomerFault) {
	byEntry := map[string][]error{}
	for _, fault := range faults {
		entry := config + "#" + fault.Name
		if fault.Name == "" {
			entry = config + "#" + strconv.Itoa(fault.Position)
		}
		byEntry[entry] = append(byEntry[entry], fault.Err)
	}
	d.oddCustomers.retain(func(entry string) bool { return len(byEntry[entry]) > 0 })
	for entry, errs := range byEntry {
		d.reportOddEntry(&d.oddCustomers, entry, "customer of the configuration cannot be used as it stands; the others hold", errors.Join(errs...))
	}
}

func shorten(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return text[:maxLoggedBytes] + "..."
}
