package settings

import (
	"encoding/json"
	"os"
)

// WriteAddresses replaces the file with the addresses as JSON. The file appears
// in one step, so that a reader never sees a part of it.
func WriteAddresses(file string, addresses any) error {
	content, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	partial := file + ".partial"
	if err := os.WriteFile(partial, content, 0o644); err != nil {
		return err
	}
	return os.Rename(partial, file)
}
