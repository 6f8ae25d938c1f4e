package server

import (
	"path/filepath"
	"time"

	"github.com/samber/oops"

	"lycheelift.example/lib/journaler"
	"lycheelift.example/lib/recorder"
	settings "lycheelift.example/schema/gen/settings/controld"
)

// recordFolder is the subfolder of the data folder for the record of answers.
const recordFolder = "answers"

// openRecord opens the record of answers and returns it with a function that closes it.
func openRecord(s settings.Control) (*recorder.Store, func(), error) {
	retention, err := time.ParseDuration(s.Retention)
	if err != nil {
		return nil, nil, oops.In("server").Wrapf(err, "retention")
	}
	folder, err := journaler.OpenFolder(filepath.Join(s.Data, recordFolder))
	if err != nil {
		return nil, nil, oops.In("server").Wrapf(err, "open the record of answers")
	}
	record, err := recorder.OpenStore(folder, retention, int64(s.Space)<<20)
	if err != nil {
		return nil, nil, err
	}
	return record, func() { _, _ = record.Close(), folder.Close() }, nil
}
