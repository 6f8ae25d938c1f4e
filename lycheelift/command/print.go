package command

import (
	"fmt"
	"io"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// print writes a message as JSON, or as the table that render makes.
func (s *shared) print(w io.Writer, m proto.Message, render func(io.Writer)) error {
	switch s.output {
	case outputJSON:
		data, err := protojson.Marshal(m)
		if err != nil {
			return oops.Wrapf(err, "format the reply")
		}
		_, err = fmt.Fprintln(w, string(data))
		return oops.Wrap(err)
	case outputTable:
		render(w)
		return nil
	default:
		return oops.Errorf("--output must be %s or %s", outputTable, outputJSON)
	}
}
