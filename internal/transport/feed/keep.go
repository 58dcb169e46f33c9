package feed

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/shedrock/shedrock/internal/state/declared"
	"github.com/shedrock/shedrock/internal/state/disk"
)

// keptFile is the file in an entry's data folder.
const keptFile = "declared"

const folderPerm = 0o700

// StoreIn returns a function that stores a declared state durably in a folder.
func StoreIn(folder string) func(*declared.State) error {
	return func(s *declared.State) error {
		b, err := s.Marshal()
		if err != nil {
			return err
		}
		err = os.MkdirAll(folder, folderPerm)
		if err != nil {
			return errors.Wrap(err, "make the data folder")
		}
		return disk.WriteFileAtomic(filepath.Join(folder, keptFile), b)
	}
}

// LoadStored returns the declared state that a folder holds, or an empty one.
func LoadStored(folder string) (*declared.State, error) {
	b, err := os.ReadFile(filepath.Join(folder, keptFile))
	if os.IsNotExist(err) {
		return declared.New(), nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the kept state")
	}
	return declared.Unmarshal(b)
}
