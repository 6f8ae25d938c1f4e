package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

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
	if s.output == outputTable {
		render(w)
		return nil
	}
	data, err := protojson.Marshal(m)
	if err != nil {
		return oops.Wrapf(err, "format the reply")
	}
	var out bytes.Buffer // protojson varies its whitespace on purpose; Compact makes the output stable for scripts.
	if err := json.Compact(&out, data); err != nil {
		return oops.Wrapf(err, "format the reply")
	}
	_, err = fmt.Fprintln(w, out.String())
	return oops.Wrap(err)
}

// table writes rows as aligned columns.
func table(w io.Writer, rows [][]string) {
	const gap = 2
	columns := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(columns, strings.Join(r, "\t"))
	}
	_ = columns.Flush()
}

// indent formats a JSON document with indentation, or returns it unchanged if it is not valid JSON.
func indent(data []byte) string {
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return string(data)
	}
	return out.String()
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
