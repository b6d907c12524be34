package settings

import (
	"encoding/json"
	"os"
)

// WriteAddresses replaces the file with the addresses as JSON. It renames a
// complete temporary file, so that a reader never sees partial content.
func WriteAddresses(file string, addresses any) error {
	content, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	temporary := file + ".partial"
	if err := os.WriteFile(temporary, content, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, file)
}
